/**
 * Client of the daemons' operator listeners.
 *
 * @module
 */
import { createAnswerAgent, createConnect } from "@primroseshed/daemon";
import { request } from "undici";
import { CommandError } from "./exit_codes.ts";

/** Addresses of daemons and the key that their operator listeners require. */
export interface DaemonAccess {
  /** Base URLs of operator listeners, `http://IP:PORT`. */
  daemons: string[];
  key: string;
}

const TIMEOUT_MS = 3_000;

const dispatcher = createAnswerAgent({
  connect: createConnect({ timeout: TIMEOUT_MS }),
});

function describeFailure(error: unknown): string {
  const { code, message } = error as { code?: string; message?: string };
  return code ?? message ?? String(error);
}

interface Answer {
  status: number;
  text: string;
}

async function readAnswer(
  daemon: string,
  path: string,
  { key, body }: { key: string; body?: unknown },
): Promise<Answer> {
  try {
    const response = await request(`${daemon}${path}`, {
      dispatcher,
      method: body === undefined ? "GET" : "POST",
      headers: { authorization: `Bearer ${key}` },
      body: body === undefined ? null : JSON.stringify(body),
      signal: AbortSignal.timeout(TIMEOUT_MS),
    });
    // An answer may be cut inside its body.
    const text = await response.body.text();
    return { status: response.statusCode, text };
  } catch (error) {
    const hint = "check --daemon and that primrosed runs there";
    throw new CommandError(
      "unreachable",
      `Cannot reach the daemon at ${daemon} (${
        describeFailure(error)
      }); ${hint}`,
    );
  }
}

function parseAnswer<T>(daemon: string, path: string, text: string): T {
  try {
    return JSON.parse(text) as T;
  } catch (error) {
    throw new CommandError(
      "failed",
      `Cannot read the answer of ${daemon} to ${path}: ${
        (error as Error).message
      }`,
    );
  }
}

/**
 * Sends a request to one daemon and returns the JSON value of its response.
 *
 * @throws {CommandError} The daemon cannot be reached, its answer is cut or no JSON, or it responds with an error.
 */
export async function callDaemon<T>(
  daemon: string,
  path: string,
  options: { key: string; body?: unknown },
): Promise<T> {
  const { status, text } = await readAnswer(daemon, path, options);
  if (status >= 300) {
    throw new CommandError(
      "failed",
      `Cannot call ${path} at ${daemon}: ${messageOf(text)}`,
    );
  }
  return parseAnswer<T>(daemon, path, text);
}

function messageOf(text: string): string {
  try {
    return (JSON.parse(text) as { error: { message: string } }).error.message;
  } catch {
    return text.slice(0, 200);
  }
}

/** Response of one daemon, or the error if the call failed. */
export type CallResult<T> =
  | { daemon: string; ok: true; value: T }
  | { daemon: string; ok: false; error: CommandError };

/** Calls all daemons at once; the failure of one does not affect the others. */
export async function callAll<T>(
  { daemons, key }: DaemonAccess,
  path: string,
): Promise<CallResult<T>[]> {
  return await Promise.all(
    daemons.map(async (daemon): Promise<CallResult<T>> => {
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
    }),
  );
}

/**
 * Calls all daemons at once and returns the first response in the order of `access.daemons`.
 *
 * @throws {CommandError} Every call failed.
 */
export async function callAny<T>(
  access: DaemonAccess,
  path: string,
): Promise<T> {
  const results = await callAll<T>(access, path);
  const first = results.find((result) => result.ok);
  if (first?.ok) return first.value;
  const failed = results.find((result) => !result.ok);
  throw failed?.ok === false
    ? failed.error
    : new CommandError("usage", "Cannot call any daemon; pass --daemon");
}

/** Returns the error message of each failed call. */
export function failuresOf<T>(results: readonly CallResult<T>[]): string[] {
  return results.flatMap((result) => result.ok ? [] : [result.error.message]);
}

/**
 * Ends the command if some daemons could not be called.
 *
 * @throws {CommandError} Contains the error message of each failed call.
 */
export function throwIfAnyFailed<T>(results: readonly CallResult<T>[]): void {
  const failed = failuresOf(results);
  if (failed.length > 0) {
    throw new CommandError("unreachable", failed.join("\n"));
  }
}
