/**
 * HeaderMap as they are on the wire: each character of a name or value stands for one byte.
 *
 * HTTP allows the bytes 0x80 to 0xFF in values and says nothing of their encoding, so a relay passes them on as they are.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { validateHeaderName, validateHeaderValue } from "node:http";

/** HeaderMap by lower-case name; a list where a header is repeated. */
export type HeaderMap = Record<string, string | string[] | undefined>;

const LENGTH_HEADER = "content-length";

function addValue(headers: HeaderMap, name: string, value: string): void {
  const known = headers[name];
  if (known === undefined) headers[name] = value;
  else if (typeof known === "string") headers[name] = [known, value];
  else known.push(value);
}

/**
 * Decodes headers that the HTTP client received, names and values alternating.
 *
 * @example
 * ```ts
 * decodeHeaders([Buffer.from("X-Note"), Buffer.from([0xe9])]); // { "x-note": "\u00e9" }
 * ```
 */
export function decodeHeaders(received: readonly Buffer[]): HeaderMap {
  // Without a prototype, a header may have any name.
  const headers: HeaderMap = Object.create(null);
  for (let index = 0; index < received.length; index += 2) {
    const name = received[index]!.toString("latin1").toLowerCase();
    addValue(headers, name, received[index + 1]!.toString("latin1"));
  }
  const length = headers[LENGTH_HEADER];
  if (length === undefined) return headers;
  // Node changes the bytes of `content-disposition` where it comes after the length.
  delete headers[LENGTH_HEADER];
  headers[LENGTH_HEADER] = length;
  return headers;
}

/**
 * Encodes text in UTF-8 for a header's value, with one character for each byte.
 *
 * @example
 * ```ts
 * encodeHeaderText("\u00e9"); // "\u00c3\u00a9"
 * ```
 */
export function encodeHeaderText(text: string): string {
  return Buffer.from(text, "utf8").toString("latin1");
}

/**
 * Returns the name of a header that no response can carry; undefined where all can be written.
 *
 * @example
 * ```ts
 * findUnwritable({ "content-type": "text/plain", "x-note": "\u20ac" }); // "x-note"
 * ```
 */
export function findUnwritable(headers: HeaderMap): string | undefined {
  for (const [name, value] of Object.entries(headers)) {
    if (value !== undefined && !isWritable(name, value)) return name;
  }
  return undefined;
}

function isWritable(name: string, value: string | string[]): boolean {
  try {
    validateHeaderName(name);
    for (const each of [value].flat()) validateHeaderValue(name, each);
    return true;
  } catch {
    // Node reports by an exception that it would refuse the header.
    return false;
  }
}
