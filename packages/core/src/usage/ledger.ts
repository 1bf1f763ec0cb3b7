/**
 * Counts usage by owner, team, deployment and rank, and publishes cumulative totals.
 *
 * @module
 */
import {
  appendRecord,
  createRecord,
  removePendingRecord,
} from "../fold/append.ts";
import type { UsageCounter } from "../fold/types.ts";
import type { EventOf } from "../event/types.ts";
import type { Effects } from "../reduce_types.ts";
import type { Request } from "../request/types.ts";
import type { State } from "../state/types.ts";
import type { UsageLedger } from "./types.ts";

/** Interval between two publications, ms; an entry that dies loses at most the usage of this time. */
export const USAGE_INTERVAL_MS = 10_000;

/** Creates an empty ledger. */
export function createLedger(): UsageLedger {
  return {
    counters: new Map(),
    sequence: 0,
    publishedRequests: 0,
    publishedAt: 0,
    requests: 0,
    recordId: "",
  };
}

function counterOf(
  ledger: UsageLedger,
  { principal, deployment, rank }: Request,
): UsageCounter {
  const key = [principal.owner, principal.team, deployment, rank].join("/");
  const existing = ledger.counters.get(key);
  if (existing !== undefined) return existing;
  const counter: UsageCounter = {
    owner: principal.owner,
    team: principal.team,
    deployment,
    rank,
    requests: 0,
    promptTokens: 0,
    cachedTokens: 0,
    outputTokens: 0,
    bookings: 0,
  };
  ledger.counters.set(key, counter);
  return counter;
}

/** Counts a request that ended after at least one attempt; tokens delivered count once, however often it resumed. */
export function countUsage(state: State, request: Request): void {
  if (request.verdict === "not_run" && request.deliveredTokens === 0) return;
  const counter = counterOf(state.usage, request);
  counter.requests += 1;
  counter.promptTokens += request.reportedPromptTokens;
  counter.cachedTokens += request.reportedCachedTokens;
  counter.outputTokens += request.deliveredTokens;
  if (!request.idempotent && request.verdict === "ran") counter.bookings += 1;
  state.usage.requests += 1;
}

/** Requests a signature of the counters once per interval if they changed. */
export function* publishUsage(state: State): Effects {
  const { usage } = state;
  const isDue = state.now - usage.publishedAt >= USAGE_INTERVAL_MS;
  if (!isDue || usage.requests === usage.publishedRequests) return;
  usage.publishedAt = state.now;
  usage.publishedRequests = usage.requests;
  usage.sequence += 1;
  yield {
    kind: "sign_usage",
    sequence: usage.sequence,
    counters: structuredClone([...usage.counters.values()]),
  };
}

/** Appends signed counters to the log. */
export function* appendUsage(
  state: State,
  event: EventOf<"usage_signed">,
): Effects {
  const entry = `${state.node.name}#${state.node.incarnation}`;
  const { sequence, counters, signature } = event;
  const record = createRecord(state, {
    type: "usage",
    entry,
    sequence,
    counters,
    signature,
  });
  // Counters are cumulative, so an older record that is still pending adds nothing.
  removePendingRecord(state, state.usage.recordId);
  state.usage.recordId = record.id;
  yield* appendRecord(state, record);
  yield {
    kind: "log",
    event: "usage_published",
    fields: { sequence, counters: counters.length },
  };
}
