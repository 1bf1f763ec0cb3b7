/**
 * Events of read sharing.
 *
 * @module
 */
import type { LogPosition } from "../store_timeline/position.ts";
import type { LeavingRunner } from "../gateway/fleet_types.ts";
import type { HoldingsReport } from "../admission/types.ts";
import type { LoadReport, RunnerEvidence } from "../load/types.ts";
import type { DaemonEntry, RunnerLimit } from "./types.ts";

/** Every event of read sharing, without the time at which it happened. */
export type ReadSharingEvent =
  | {
    kind: "daemons_read";
    daemons: DaemonEntry[];
    /** True where `daemons` is the complete list. */
    isWhole: boolean;
    /** True where an upstream passed it on. */
    isPassedOn: boolean;
  }
  /** The upstream is about to pass on its data. */
  | { kind: "upstream_began"; node: string }
  | {
    kind: "upstream_answered";
    node: string;
    /** Time at which the poll was sent, ms. */
    sentAt: number;
    /** True while the upstream reads the store, with success, and has passed on its data. */
    isReader: boolean;
    /** Newest timeline of the store that the upstream knows; undefined where it knows none. */
    timeline: number | undefined;
    /** Undefined where the upstream cannot confirm its data. */
    routingAgeMs: number | undefined;
    runnersAgeMs: number | undefined;
  }
  | { kind: "upstream_lost"; node: string; cause: string }
  | {
    kind: "follower_polled";
    follower: string;
    poll: number;
    /** Position in the store up to which the follower knows changes of runners. */
    runnersPosition: LogPosition;
  }
  | { kind: "follower_left"; follower: string }
  /** Another daemon failed to reach these runners. */
  | { kind: "suspects_reported"; runners: string[] }
  /** Another daemon has heard of these limits, and of runners that leave. */
  | {
    kind: "limits_reported";
    limits: RunnerLimit[];
    leaving?: LeavingRunner[] | undefined;
    loads?: LoadReport[] | undefined;
    evidence?: RunnerEvidence[] | undefined;
    holdings?: HoldingsReport | undefined;
    /** The follower that sent it; undefined where it came from the daemon that this one follows. */
    follower?: string | undefined;
  };
