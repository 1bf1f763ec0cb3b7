/**
 * Reads what a backend server says of itself in the headers of its answers.
 *
 * @module
 */
import type { EventBody } from "@primroseshed/core";

/** Value of a header; a list where the header is repeated. */
export type HeaderValue = string | readonly string[] | undefined;

/** Status of a backend server that turns a request away. */
const REFUSED_STATUS = 503;
const MS_PER_SECOND = 1_000;

function valuesOf(value: HeaderValue): readonly string[] {
  if (value === undefined) return [];
  return typeof value === "string" ? [value] : value;
}

/**
 * Returns the longest back-off that a refusal asks for in `retry-after`, ms; undefined where it asks for none. Dates,
 * negative numbers and other text ask for none.
 *
 * @example
 * ```ts
 * parseBackoff(503, "2.5"); // 2500
 * parseBackoff(200, "2.5"); // undefined
 * ```
 */
export function parseBackoff(
  status: number,
  value: HeaderValue,
): number | undefined {
  if (status !== REFUSED_STATUS) return undefined;
  const seconds = valuesOf(value).map(Number).filter(Number.isFinite);
  const longest = Math.max(0, ...seconds);
  return longest > 0 ? longest * MS_PER_SECOND : undefined;
}

/** Returns whether any value of a header is `1`, with which a backend server says that it leaves. */
export function parseLeaving(value: HeaderValue): boolean {
  return valuesOf(value).flatMap((text) => text.split(","))
    .some((text) => text.trim() === "1");
}

const LEAVING_HEADER = "primrose-leaving";

/** Dispatches what the head of an answer on the product's own interface says of its backend server, if it says anything. */
export function reportServer(
  { request, attempt, status, headers }: {
    request: string;
    attempt: number;
    status: number;
    headers: Record<string, HeaderValue>;
  },
  { dispatch }: { dispatch(event: EventBody): void },
): void {
  const backoffMs = parseBackoff(status, headers["retry-after"]);
  const isLeaving = parseLeaving(headers[LEAVING_HEADER]);
  if (backoffMs === undefined && !isLeaving) return;
  dispatch({ kind: "server_reported", request, attempt, backoffMs, isLeaving });
}
