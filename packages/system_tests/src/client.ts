/**
 * Sends a caller's requests to a daemon under test and parses the responses.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { request as httpRequest } from "node:http";
import type { Daemon } from "@primroseshed/daemon";
import { CALLER_KEYS } from "@primroseshed/stand_ins";

/** Body of an error response. */
export interface ErrorBody {
  error: { code: string; message: string; verdict: string };
}

/** Returns the headers of a caller's request. */
export function createHeaders(
  extra: Record<string, string> = {},
  key: string = CALLER_KEYS.tavua,
): Record<string, string> {
  return {
    authorization: `Bearer ${key}`,
    "content-type": "application/json",
    ...extra,
  };
}

/** Returns the body of a chat completion request for one prompt. */
export function createChatBody(
  prompt: string,
  extra: Record<string, unknown> = {},
): string {
  return JSON.stringify({
    model: "assistant",
    messages: [{ role: "user", content: prompt }],
    ...extra,
  });
}

/** Returns the prompt in the form in which the engine receives it. */
export function enginePrompt(prompt: string): string {
  return `user\n${prompt}\n`;
}

/** Requests a chat completion. */
export function chat(
  daemon: Daemon,
  prompt: string,
  { headers = {}, ...extra }:
    & { headers?: Record<string, string> }
    & Record<string, unknown> = {},
): Promise<Response> {
  return fetch(`${daemon.addresses.callers}/v1/chat/completions`, {
    method: "POST",
    headers: createHeaders(headers),
    body: createChatBody(prompt, extra),
  });
}

/** Books an item at the lending service. */
export function book(
  daemon: Daemon,
  item: string,
  headers: Record<string, string> = {},
): Promise<Response> {
  return fetch(`${daemon.addresses.callers}/services/lending/bookings`, {
    method: "POST",
    headers: createHeaders(headers),
    body: JSON.stringify({ item }),
  });
}

/** Sends a body to a service that returns it with its content type, a byte for each character of that. */
export function echo(
  daemon: Daemon,
  { body, ...headers }: { body: string } & Record<string, string>,
): Promise<{ status: number; type: string | undefined; text: string }> {
  return new Promise((resolve, reject) => {
    const url = `${daemon.addresses.callers}/services/lending/echo`;
    const options = { method: "POST", headers: createHeaders(headers) };
    const request = httpRequest(url, options, async (response) => {
      const chunks: Buffer[] = [];
      for await (const chunk of response) chunks.push(chunk as Buffer);
      resolve({
        status: response.statusCode!,
        type: response.headers["content-type"],
        text: Buffer.concat(chunks).toString(),
      });
    });
    request.on("error", reject);
    // Node would encode the headers in UTF-8 with a body that is a string.
    request.end(Buffer.from(body));
  });
}

/** Content of a finished stream. */
export interface StreamContent {
  text: string;
  done: boolean;
  error?: ErrorBody["error"];
  usage?: { completion_tokens: number };
}

/** Parses the events of a finished stream. */
export function parseStream(body: string): StreamContent {
  const content: StreamContent = { text: "", done: false };
  for (const line of body.split("\n")) {
    if (!line.startsWith("data: ")) continue;
    const data = line.slice("data: ".length);
    if (data === "[DONE]") {
      content.done = true;
      continue;
    }
    const event = JSON.parse(data);
    if (event.error) content.error = event.error;
    if (event.usage) content.usage = event.usage;
    content.text += event.choices?.[0]?.delta?.content ?? "";
  }
  return content;
}
