/**
 * A caller's request, from its arrival until its end.
 *
 * @module
 */
import type { Arrival } from "../event/types.ts";
import type { Rank } from "../config/types.ts";
import type { KnownChains } from "../quarantine/types.ts";
import type { Verdict } from "../verdict/types.ts";

/** Phase of a request; see {@link requestMachine}. */
export type RequestPhase =
  | "claiming"
  | "waiting"
  | "queued"
  | "backoff"
  | "running"
  | "done";

/** A request and its progress. */
export interface Request
  extends Omit<Arrival, "deadlineMs" | "promptParts" | "fingerprint"> {
  /** Ids of what may be blamed where a server crashes under the request. */
  crashSuspects: readonly string[];
  phase: RequestPhase;
  arrivedAt: number;
  deadlineAt: number;
  /** Latest time at which a start still meets the rank's first-token target. */
  startBy: number;
  /** Cost expected at arrival, in output-token equivalents. */
  predictedCost: number;
  /** Cost charged so far, in output-token equivalents. */
  chargedCost: number;
  /** Output tokens expected at arrival. */
  predictedOutput: number;
  /** Number of the newest attempt, from 1; 0 before the first. */
  attempt: number;
  /** Attempts that failed; preemptions do not count. */
  failures: number;
  target: string | undefined;
  startedAt: number | undefined;
  /** Part of a response that cannot be resumed has reached the caller. */
  committed: boolean;
  /** Times that the request was preempted. */
  preemptions: number;
  /** Low-usage work: it may start over the allowance, and goes first among its rank at the engine. */
  lowUsage: boolean;
  /** Started on its rank's floor, so it is not preempted. */
  usesFloor: boolean;
  /** Its prompt is counted as in prefill at its target. */
  prefilling: boolean;
  /** Targets excluded from further attempts, since an attempt failed there. */
  excluded: string[];
  /** Whole tokens delivered to the caller. */
  deliveredTokens: number;
  firstTokenAt: number | undefined;
  lastTokenAt: number | undefined;
  /** Combined verdict of the attempts so far. */
  verdict: Verdict;
  lastProgressAt: number;
  /** Id of this request's claim record, while it holds the claim. */
  claim: string | undefined;
  /** True where the request is a trial of a quarantined part of its prompt. */
  isTrial: boolean;
  /** True once the attempt has shown that the prompt crashes nothing. */
  isSound: boolean;
  /** Chains of crashes under the parts of the prompt that were known when the attempt began. */
  chains: KnownChains;
  /** Prompt tokens that the engine reported. */
  reportedPromptTokens: number;
  /** Prompt tokens that the engine reported as cached. */
  reportedCachedTokens: number;
}

/** Returns the names of a request's fair-queueing path. */
export function pathOf(
  { principal }: Pick<Request, "principal">,
): [string, string, string] {
  return [principal.owner, principal.team, principal.caller];
}

/** Creates a record with the same number for each rank. */
export function perRank(value: number): Record<Rank, number> {
  return { urgent: value, standard: value, batch: value };
}
