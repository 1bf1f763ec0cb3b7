/**
 * Headers between a daemon that forwards a request through another one, and that daemon.
 *
 * The response of the other daemon is always chunked, with the framing of the runner's response in a header and the
 * outcome at the runner in a trailer, so that a runner that broke off is told from a daemon that did.
 *
 * @module
 */
import {
  type FailureSide,
  type ForwardRefusal,
  type Outcome,
  VERDICTS,
} from "@primroseshed/core";
import * as z from "zod";
import type { ResponseHeaders } from "./adapters.ts";

const ORDER_HEADER = "primrose-forward";
const REFUSAL_HEADER = "primrose-forward-refusal";
const OUTCOME_HEADER = "primrose-forward-outcome";
const FRAMING_HEADER = "primrose-forward-framing";
/** Longest forward order, characters. */
const MAX_ORDER_CHARS = 8 * 1024;
const REFUSED_STATUS = 503;
const FAILED_STATUS = 502;
const COMPLETE = "completed";

/** Headers that concern one connection only, or forwarding itself. */
const HOP_HEADERS: ReadonlySet<string> = new Set([
  "connection",
  "keep-alive",
  "transfer-encoding",
  "content-length",
  "trailer",
  "upgrade",
  "expect",
  ORDER_HEADER,
  REFUSAL_HEADER,
  OUTCOME_HEADER,
  FRAMING_HEADER,
]);

const orderSchema = z.object({
  /** Key of the daemon that is to send the request. */
  forwardKey: z.string(),
  runner: z.string(),
  team: z.string().optional(),
  /** Key of the caller. */
  key: z.string().optional(),
  /** True where a kept connection to the runner may be used. */
  isRepeatable: z.boolean(),
  /** True where the request is a trial of a quarantined part of its prompt. */
  isTrial: z.boolean(),
});

/** What one daemon tells another that is to send a request for it. */
export type ForwardOrder = z.output<typeof orderSchema>;

/** Returns the header of a forward order, name and value. */
export function encodeForwardOrder(
  order: { [K in keyof ForwardOrder]: ForwardOrder[K] | undefined },
): [string, string] {
  const text = JSON.stringify(order);
  return [ORDER_HEADER, Buffer.from(text).toString("base64url")];
}

/** Returns the order in a request's headers; undefined where it has none that can be read. */
export function decodeForwardOrder(
  headers: ResponseHeaders,
): ForwardOrder | undefined {
  const text = headers[ORDER_HEADER];
  if (typeof text !== "string" || text.length > MAX_ORDER_CHARS) {
    return undefined;
  }
  try {
    const json = Buffer.from(text, "base64url").toString("utf8");
    return orderSchema.parse(JSON.parse(json));
  } catch {
    // The caller of this function answers and logs an order that cannot be read.
    return undefined;
  }
}

/** Returns headers, names and values alternating, without those of one connection and of forwarding. */
export function withoutForwardHeaders(headers: readonly string[]): string[] {
  const kept: string[] = [];
  for (let index = 0; index < headers.length; index += 2) {
    if (HOP_HEADERS.has(headers[index]!.toLowerCase())) continue;
    kept.push(headers[index]!, headers[index + 1]!);
  }
  return kept;
}

/** Head of a response to a forwarded request that reached no runner, or to which no runner responded. */
export interface ForwardFailureHead {
  status: number;
  headers: Record<string, string>;
}

/** Returns the head of a refusal to forward. */
export function refusalHead(cause: ForwardRefusal): ForwardFailureHead {
  return { status: REFUSED_STATUS, headers: { [REFUSAL_HEADER]: cause } };
}

/** Returns the head for an attempt that failed before its response began. */
export function failureHead(outcome: Outcome): ForwardFailureHead {
  return { status: FAILED_STATUS, headers: { [OUTCOME_HEADER]: outcome } };
}

/** Returns the headers with which a runner's response is passed on. */
export function encodeForwardedHeaders(
  headers: ResponseHeaders,
): ResponseHeaders {
  const passed = Object.entries(headers).filter(([name]) =>
    !HOP_HEADERS.has(name)
  );
  const length = headers["content-length"];
  const framing = typeof length === "string"
    ? length
    : headers["transfer-encoding"] === undefined
    ? "none"
    : "chunked";
  return { ...Object.fromEntries(passed), [FRAMING_HEADER]: framing };
}

/** Returns the trailers of a response that is passed on; `outcome` is undefined where it is complete. */
export function encodeTrailers(
  outcome: Outcome | undefined,
): Record<string, string> {
  return { [OUTCOME_HEADER]: outcome ?? COMPLETE };
}

/** How an attempt through another daemon failed. */
export interface ForwardFailure {
  outcome: Outcome;
  side: FailureSide;
  refusal?: ForwardRefusal;
}

const REFUSALS: ReadonlySet<string> = new Set<ForwardRefusal>([
  "unauthorized",
  "not_ready",
  "stopping",
  "not_allowed",
  "runner_gone",
  "quarantined",
  "path_lost",
  "busy",
]);

function readOutcome(value: unknown): Outcome | undefined {
  return typeof value === "string" && Object.hasOwn(VERDICTS, value)
    ? value as Outcome
    : undefined;
}

/** Returns the runner's headers out of those of another daemon's response, or how the attempt failed. */
export function decodeForwardedHeaders(
  headers: ResponseHeaders,
):
  | { ok: true; headers: ResponseHeaders }
  | { ok: false; failure: ForwardFailure } {
  const refusal = headers[REFUSAL_HEADER];
  if (typeof refusal === "string" && REFUSALS.has(refusal)) {
    return failed({
      outcome: "status_not_run",
      side: "forwarder",
      refusal: refusal as ForwardRefusal,
    });
  }
  const outcome = readOutcome(headers[OUTCOME_HEADER]);
  if (outcome !== undefined) return failed({ outcome, side: "runner" });
  const framing = headers[FRAMING_HEADER];
  if (typeof framing !== "string") {
    return failed({ outcome: "broken_frame", side: "forwarder" });
  }
  const passed = Object.entries(headers).filter(([name]) =>
    !HOP_HEADERS.has(name)
  );
  return {
    ok: true,
    headers: { ...Object.fromEntries(passed), ...framingHeaders(framing) },
  };
}

function failed(failure: ForwardFailure) {
  return { ok: false as const, failure };
}

function framingHeaders(framing: string): ResponseHeaders {
  if (framing === "none") return {};
  return framing === "chunked"
    ? { "transfer-encoding": "chunked" }
    : { "content-length": framing };
}

/** Returns how an attempt failed whose response has ended with these trailers; undefined where it is complete. */
export function decodeTrailers(
  trailers: ResponseHeaders,
): ForwardFailure | undefined {
  const outcome = readOutcome(trailers[OUTCOME_HEADER]);
  if (outcome === COMPLETE) return undefined;
  return outcome === undefined
    ? { outcome: "body_cut_off", side: "forwarder" }
    : { outcome, side: "runner" };
}
