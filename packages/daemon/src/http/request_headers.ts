/**
 * Reads the request headers that primroseshed defines and selects the headers to forward.
 *
 * @module
 */
import type { IncomingHttpHeaders } from "node:http";
import { nearestName, type Rank, RANKS } from "@primroseshed/core";
import { RequestError } from "./errors.ts";
import type { HeaderMap } from "./header_bytes.ts";

/** Rank, deadline and idempotency of a request. */
export interface RequestOptions {
  rank: Rank;
  deadlineMs?: number;
  key?: string;
}

const MAX_DEADLINE_MS = 24 * 3_600_000;
const MAX_KEY_CHARS = 255;
const KEY_PATTERN = /^[\x21-\x7e]+$/;

function readRank(value: string | undefined): Rank {
  if (value === undefined) return "standard";
  const rank = RANKS.find((known) => known === value);
  if (rank !== undefined) return rank;
  const nearest = nearestName(value, RANKS);
  const hint = nearest ? `; did you mean "${nearest}"?` : "";
  throw new RequestError(
    "invalid_request",
    `primrose-rank: "${value}" is not one of ${RANKS.join(", ")}${hint}`,
  );
}

function readDeadline(value: string | undefined): number | undefined {
  if (value === undefined) return undefined;
  const deadline = Number(value);
  if (
    Number.isInteger(deadline) && deadline > 0 && deadline <= MAX_DEADLINE_MS
  ) return deadline;
  const message =
    `primrose-deadline-ms: "${value}" is not a whole number from 1 to ${MAX_DEADLINE_MS}`;
  throw new RequestError("invalid_request", message);
}

function readKey(value: string | undefined): string | undefined {
  if (value === undefined) return undefined;
  if (value.length <= MAX_KEY_CHARS && KEY_PATTERN.test(value)) return value;
  const message =
    `Idempotency-Key: must be 1 to ${MAX_KEY_CHARS} printable characters without spaces`;
  throw new RequestError("invalid_request", message);
}

function joinValues(value: string | string[] | undefined): string | undefined {
  return Array.isArray(value) ? value.join(",") : value;
}

/**
 * Reads rank, deadline and idempotency key.
 *
 * @throws {RequestError} A header has an invalid value.
 */
export function readRequestOptions(
  headers: IncomingHttpHeaders,
): RequestOptions {
  const deadlineMs = readDeadline(joinValues(headers["primrose-deadline-ms"]));
  const key = readKey(joinValues(headers["idempotency-key"]));
  return {
    rank: readRank(joinValues(headers["primrose-rank"])),
    ...(deadlineMs !== undefined && { deadlineMs }),
    ...(key !== undefined && { key }),
  };
}

/** Headers that apply to one connection, or to what is asked of the daemon itself, and are never forwarded. */
const HOP_BY_HOP: ReadonlySet<string> = new Set([
  "connection",
  "expect",
  "keep-alive",
  "proxy-authenticate",
  "proxy-authorization",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
]);
/** Header with the name of the daemon that sends a request for one of its callers. */
export const RELAYED_BY_HEADER = "primrose-relayed-by";
/** Headers that primroseshed consumes, or sets itself for each attempt. */
const CONSUMED: ReadonlySet<string> = new Set([
  "authorization",
  "host",
  "content-length",
  RELAYED_BY_HEADER,
]);

/** Returns the headers to forward: neither hop-by-hop nor named by `Connection`; `consume` drops consumed ones too. */
export function forwardableHeaders(
  headers: Readonly<HeaderMap>,
  { consume }: { consume: boolean },
): Record<string, string | string[]> {
  const named = new Set(
    String(headers.connection ?? "").toLowerCase().split(",").map((name) =>
      name.trim()
    ),
  );
  const forwarded: Record<string, string | string[]> = {};
  for (const [name, value] of Object.entries(headers)) {
    const isDropped = HOP_BY_HOP.has(name) || named.has(name) ||
      (consume && CONSUMED.has(name));
    if (value !== undefined && !isDropped) forwarded[name] = value;
  }
  return forwarded;
}
