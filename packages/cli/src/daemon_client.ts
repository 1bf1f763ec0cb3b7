/**
 * Client of the daemons' operator listeners.
 *
 * @module
 */
import { request } from "undici";
import { CommandError } from "./exit_codes.ts";

/** Where daemons are and how to be let in. */
export interface Access {
  /** `http://IP:PORT` of operator listeners. */
  daemons: string[];
  key: string;
}

const TIMEOUT_MS = 3_000;

function describeFailure(error: unknown): string {
  const { code, message } = error as { code?: string; message?: string };
  return code ?? message ?? String(error);
}

/**
 * Calls one daemon.
 *
 * @throws {CommandError} The daemon cannot be reached or refuses.
 */
export async function callDaemon<T>(
  daemon: string,
  path: string,
  { key, body }: { key: string; body?: unknown },
): Promise<T> {
  let response: Awaited<ReturnType<typeof request>>;
  try {
    response = await request(`${daemon}${path}`, {
      method: body === undefined ? "GET" : "POST",
      headers: { authorization: `Bearer ${key}` },
      body: body === undefined ? null : JSON.stringify(body),
      signal: AbortSignal.timeout(TIMEOUT_MS),
    });
  } catch (error) {
    const hint = "check --daemon and that primrosed runs there";
    throw new CommandError(
      "unreachable",
      `Cannot reach the daemon at ${daemon} (${
        describeFailure(error)
      }); ${hint}`,
    );
  }
  const text = await response.body.text();
  if (response.statusCode >= 300) {
    throw new CommandError(
      "failed",
      `Cannot read ${path} from ${daemon}: ${messageOf(text)}`,
    );
  }
  return JSON.parse(text) as T;
}

function messageOf(text: string): string {
  try {
    return (JSON.parse(text) as { error: { message: string } }).error.message;
  } catch {
    return text.slice(0, 200);
  }
}

/** Answer of one daemon, or why there is none. */
export type Answer<T> =
  | { daemon: string; ok: true; value: T }
  | { daemon: string; ok: false; error: CommandError };

/** Calls every daemon; one that fails does not keep the others from answering. */
export async function callAll<T>(
  { daemons, key }: Access,
  path: string,
): Promise<Answer<T>[]> {
  return await Promise.all(daemons.map(async (daemon): Promise<Answer<T>> => {
    try {
      return {
        daemon,
        ok: true,
        value: await callDaemon<T>(daemon, path, { key }),
      };
    } catch (error) {
      if (error instanceof CommandError) return { daemon, ok: false, error };
      throw error;
    }
  }));
}

/**
 * Calls daemons in turn until one answers.
 *
 * @throws {CommandError} None answered.
 */
export async function callAny<T>(access: Access, path: string): Promise<T> {
  const answers = await callAll<T>(access, path);
  const first = answers.find((answer) => answer.ok);
  if (first?.ok) return first.value;
  const failed = answers.find((answer) => !answer.ok);
  throw failed?.ok === false
    ? failed.error
    : new CommandError("usage", "Cannot call any daemon; pass --daemon");
}

/** Lists why daemons gave no answer. */
export function failuresOf<T>(answers: readonly Answer<T>[]): string[] {
  return answers.flatMap((answer) => answer.ok ? [] : [answer.error.message]);
}

/**
 * Ends a command in which some daemons gave no answer.
 *
 * @throws {CommandError} Names each of them.
 */
export function throwIfUnreachable<T>(answers: readonly Answer<T>[]): void {
  const failed = failuresOf(answers);
  if (failed.length > 0) {
    throw new CommandError("unreachable", failed.join("\n"));
  }
}
