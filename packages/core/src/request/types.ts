/**
 * A caller's request while the reducer knows of it.
 *
 * @module
 */
import type { Arrival } from "../event/types.ts";
import type { Rank } from "../config/types.ts";
import type { Verdict } from "../verdict/types.ts";

/** Life of a request; see {@link requestMachine}. */
export type RequestPhase =
  | "claiming"
  | "waiting"
  | "queued"
  | "backoff"
  | "running"
  | "done";

/** A request and all that was decided about it. */
export interface Request extends Omit<Arrival, "deadlineMs"> {
  phase: RequestPhase;
  arrivedAt: number;
  deadlineAt: number;
  /** Latest time at which a start still meets the rank's first-token target. */
  startBy: number;
  /** Cost expected at arrival, in output-token equivalents. */
  predictedCost: number;
  /** Cost charged so far, in output-token equivalents. */
  charged: number;
  predictedOutput: number;
  attempt: number;
  /** Attempts that failed; work that gave way does not count. */
  failures: number;
  target: string | undefined;
  startedAt: number | undefined;
  /** Part of an answer that cannot be resumed has reached the caller. */
  committed: boolean;
  preemptions: number;
  /** Its caller uses less than a fair share, so it may overdraw and goes first at the engine. */
  light: boolean;
  /** Started on its rank's floor, so it does not give way. */
  byFloor: boolean;
  /** Its prompt counts as being prefilled at its target. */
  prefilling: boolean;
  /** Targets already tried. */
  avoid: string[];
  /** Whole tokens delivered to the caller. */
  delivered: number;
  firstTokenAt: number | undefined;
  lastTokenAt: number | undefined;
  /** Strongest verdict of the attempts so far. */
  verdict: Verdict;
  lastProgressAt: number;
  /** Id of this request's claim record, while it holds the claim. */
  claim: string | undefined;
  promptTokensSeen: number;
  cachedTokensSeen: number;
}

/** Names of a request's fair-queueing path. */
export function pathOf(
  { principal }: Pick<Request, "principal">,
): [string, string, string] {
  return [principal.owner, principal.team, principal.caller];
}

/** Creates a number for each rank. */
export function perRank(value: number): Record<Rank, number> {
  return { urgent: value, standard: value, batch: value };
}
