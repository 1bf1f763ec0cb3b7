/**
 * Types of shared load reports and of the choice by expected time.
 *
 * @module
 */
import type { Average, Rate } from "../util/ewma.ts";

/** Load that a runner reported to some daemon, as it is passed on to others. */
export interface LoadReport {
  runner: string;
  /** Requests that run there, of all daemons. */
  running: number;
  /** Requests that wait there for a slot, of all daemons. */
  waiting: number;
  /** Time since the runner reported it, ms. */
  ageMs: number;
  /**
   * Time to the first event that the daemon observed last, as a ratio to what it expects of the service's runners;
   * undefined where it has no new observation.
   */
  slowness?: number | undefined;
}

/** The newest report of a runner, until it is passed on. */
export interface PendingLoad {
  running: number;
  waiting: number;
  /** Time of the report, ms. */
  at: number;
  slowness: number | undefined;
}

/** Change of the number of this daemon's requests at a runner. */
export interface InFlightChange {
  /** Time of the change, ms. */
  at: number;
  change: 1 | -1;
}

/** Times to the first event of a runner, against those expected. */
export interface Slowness {
  /** Mean ratio of the observed to the expected time; 1 is as expected. */
  ratio: number;
  /** Time of the last observation, ms. */
  at: number;
  /** True from the time at which the ratio exceeds {@link SLOW_FACTOR} until it falls below {@link RECOVERED_FACTOR}. */
  isSlow: boolean;
  /** The last own observation, as it was passed on; other daemons send it back. */
  lastOwn: number | undefined;
}

/** What a daemon has observed that speaks against a runner: a failure that is the runner's fault, or slowness. */
export interface RunnerEvidence {
  runner: string;
  /** Node of the daemon that observed it. */
  node: string;
  /** Time since then, ms. */
  ageMs: number;
}

/** Evidence that is not passed on yet. */
export interface PendingEvidence {
  runner: string;
  node: string;
  /** Time of the observation, ms. */
  at: number;
}

/** Whether a runner gets requests: all, none, or one at a time. */
export type EjectionPhase = "serving" | "ejected" | "trial";

/** Ejection of a runner by this daemon. */
export interface Ejection {
  phase: EjectionPhase;
  /** Time until which an ejected runner gets no request, ms. */
  until: number;
  /** Time at which the last trial request was sent, ms. */
  triedAt: number;
  /** Consecutive ejections, as far as they lengthen the next one. */
  count: number;
  /** Mean ratio of the observed to the expected times of this daemon's own requests. */
  factor: number;
  /** Times at which daemons observed something against the runner, ms, by node. */
  evidence: Map<string, number>;
}

/** What the choice by expected time keeps of a runner. */
export interface RunnerLoad {
  /** Rank of the runner for this daemon by rendezvous hashing, 0 to 1; the subset holds the highest. */
  affinity: number;
  /** Recent changes of this daemon's requests there, oldest first. */
  inFlightChanges: InFlightChange[];
  slowness: Slowness;
  ejection: Ejection;
}

/** State of shared load reports and of the choice by expected time; only services with the policy `shared` use it. */
export interface LoadSharing {
  /** The newest report of each runner that is not passed on yet, by runner; the oldest first. */
  pending: Map<string, PendingLoad>;
  /** Evidence against runners that is not passed on yet; the oldest first. */
  newEvidence: PendingEvidence[];
  /** Time from which on reports are passed on, ms. */
  nextPassAt: number;
  /** Time at which reports of other daemons last arrived, ms. */
  heardAt: number;
  runnerLoads: Map<string, RunnerLoad>;
  /** Rates of the requests that this daemon sends, by kind of work. */
  sendRates: Map<string, Rate>;
  /** Mean logarithm of the ratio of the observed to the expected time to the first event, by service. */
  baselines: Map<string, Average>;
}

/** What was expected of an attempt at its send. */
export interface FirstEventExpectation {
  /** Time to the first event, ms. */
  ms: number;
  /** True where the time may include a wait for a slot, so that it tells little of the runner's speed. */
  isLoaded: boolean;
}

/** Expected and observed time of an attempt from its send to its first event. */
export interface FirstEventTimes {
  expectedMs: number;
  observedMs: number;
}
