/**
 * Reads OpenAI-compatible chat completion requests.
 *
 * @module
 */
import { createHash } from "node:crypto";
import {
  checkSchema,
  hashPrefixes,
  nearestName,
  type Problem,
} from "@primroseshed/core";
import * as z from "zod";
import { RequestError } from "./errors.ts";

const part = z.looseObject({ type: z.string(), text: z.string().optional() });
const message = z.looseObject({
  role: z.enum(["system", "developer", "user", "assistant", "tool"]),
  content: z.union([z.string(), z.array(part), z.null()]).optional(),
});
const chatSchema = z.looseObject({
  model: z.string().min(1),
  messages: z.array(message).min(1),
  stream: z.boolean().nullish(),
  stream_options: z.looseObject({ include_usage: z.boolean().optional() })
    .nullish(),
  max_tokens: z.number().int().positive().nullish(),
  max_completion_tokens: z.number().int().positive().nullish(),
  adapter: z.string().optional(),
});

/** A chat completion request with the values that routing needs. */
export interface ChatRequest {
  body: z.output<typeof chatSchema>;
  stream: boolean;
  includeUsage: boolean;
  promptTokens: number;
  maxOutputTokens: number | undefined;
  prefixes: number[];
  /** Hashes of the messages but the last one, in order. */
  promptParts: string[];
}

/** Average number of characters of a token, for estimates before the engine reports a count. */
const CHARS_PER_TOKEN = 4;
/** Length of the id of a part of a prompt, hexadecimal digits. */
const PART_ID_CHARS = 16;

function parseJson(bytes: Buffer): unknown {
  try {
    return JSON.parse(bytes.toString("utf8"));
  } catch (error) {
    throw new RequestError(
      "invalid_request",
      `Cannot parse the body as JSON: ${(error as Error).message}`,
    );
  }
}

function describe(problem: Problem): string {
  return problem.field
    ? `${problem.field}: ${problem.message}`
    : `body: ${problem.message}`;
}

type Message = ChatRequest["body"]["messages"][number];

function messageText({ role, content }: Message): string {
  const text = Array.isArray(content)
    ? content.map(({ text }) => text ?? "").join("")
    : content ?? "";
  return `${role}\n${text}\n`;
}

function promptText(body: ChatRequest["body"]): string {
  return body.messages.map(messageText).join("");
}

function hashMessage(message: Message): string {
  return createHash("sha256").update(messageText(message)).digest("hex")
    .slice(0, PART_ID_CHARS);
}

/**
 * Parses and checks a chat completion request.
 *
 * @throws {RequestError} The body is not valid; the message names the field and what to change.
 */
export function readChatRequest(bytes: Buffer): ChatRequest {
  const value = parseJson(bytes);
  const checked = checkSchema(chatSchema, value, { sources: [] });
  if (!checked.ok) {
    throw new RequestError(
      "invalid_request",
      checked.problems.map(describe).join("; "),
    );
  }
  const body = checked.value;
  const prompt = promptText(body);
  return {
    body,
    stream: body.stream === true,
    includeUsage: body.stream_options?.include_usage === true,
    promptTokens: Math.max(1, Math.ceil(prompt.length / CHARS_PER_TOKEN)),
    maxOutputTokens: body.max_completion_tokens ?? body.max_tokens ?? undefined,
    prefixes: hashPrefixes(prompt),
    promptParts: body.messages.slice(0, -1).map(hashMessage),
  };
}

/** Returns the message about a model or service that does not exist, with the most similar name. */
export function unknownNameMessage(
  kind: "model" | "service",
  name: string,
  known: readonly string[],
): string {
  const nearest = nearestName(name, known);
  const hint = nearest
    ? `did you mean "${nearest}"?`
    : `use one of: ${known.join(", ") || "none declared for you"}`;
  return `Cannot find a ${kind} named "${name}"; ${hint}`;
}
