/**
 * Types of read sharing: a few daemons of each availability zone read the store, and the others follow one of them.
 *
 * @module
 */
import type { HoldingsReport } from "../admission/types.ts";
import type { Evacuations } from "../placement/types.ts";
import type { PartReading } from "../quarantine/types.ts";
import type {
  LeavingRunner,
  RoutingDocument,
  Runner,
} from "../gateway/fleet_types.ts";
import type { LoadReport, RunnerEvidence } from "../load/types.ts";
import type { LogPosition } from "../store_timeline/position.ts";

/** A daemon as it registered itself in the store. */
export interface DaemonEntry {
  node: string;
  zone: string;
  /** `IP:PORT` of its listener for followers. */
  address: string;
  incarnation: string;
  /** Processor share of its VM, in cores; larger VMs read the store first. */
  cores: number;
  /** Key with which other daemons forward requests to it; undefined where it forwards none. */
  forwardKey?: string | undefined;
}

/** Number of daemons, and the place of one among them in an order on which all agree. */
export interface FleetSize {
  count: number;
  /** 0 for the first one. */
  position: number;
}

/** Daemons that another one may follow, the best first. */
export interface RankedDaemons {
  /** Daemons of the same zone that read the store before this one does. */
  ahead: DaemonEntry[];
  /** Daemons of the same zone that follow this one, then those of other zones. */
  others: DaemonEntry[];
}

/** The daemon that this daemon follows. */
export interface Upstream {
  node: string;
  /** Time at which this daemon began to follow it, ms. */
  since: number;
  /** Time at which it last sent anything, ms. */
  heardAt: number;
  /** True once it has sent its data. */
  hasData: boolean;
  /** True once it has said how old its data is; the data comes first. */
  hasConfirmed: boolean;
  /** True where it is followed only until this daemon can read the store again. */
  isTemporary: boolean;
}

/** A daemon that is not followed for some time after it failed. */
export interface Avoidance {
  until: number;
  /** Consecutive failures. */
  failures: number;
}

/** A daemon that follows this one. */
export interface Follower {
  /** True once it has the data of this daemon and gets each change. */
  hasSnapshot: boolean;
}

/** State of read sharing. */
export interface ReadSharing {
  /** This daemon's own entry; undefined where reads are not shared, and every daemon reads the store. */
  self: DaemonEntry | undefined;
  /** Known daemons by node, without this one; undefined before the first read. */
  daemons: Map<string, DaemonEntry> | undefined;
  /** Largest known number of daemons, this one included, of late; undefined before the first read. */
  fleetSize: FleetSize | undefined;
  /** Time at which the known number was last as large as that, ms. */
  fleetSizeAt: number;
  /** The known daemons in the order in which this one would follow them. */
  ranked: RankedDaemons;
  startedAt: number;
  /** True while this daemon reads the store itself. */
  isReading: boolean;
  /** Time at which this daemon last began to read the store, ms. */
  readingSince: number;
  /** Latest time at which a read of the store by this daemon confirmed the configuration, ms. */
  storeConfirmedAt: number;
  /** True while the list of runners is complete, not only those that serve requests. */
  hasWholeList: boolean;
  /** Position in the store up to which changes of runners are known. */
  runnersPosition: LogPosition;
  upstream: Upstream | undefined;
  avoided: Map<string, Avoidance>;
  /** Share of the allowed range that this daemon waits longer than others before it reads the store, 0 to 1. */
  patience: number;
  followers: Map<string, Follower>;
  /** Runners that this daemon failed to reach, or heard so of, and has not passed on yet. */
  suspects: Set<string>;
  /** Limits that runners have named or dropped, and that this daemon has not passed on yet, by runner. */
  limitChanges: Map<string, number | undefined>;
  /** Runners that have said that they leave, which this daemon has not passed on yet. */
  newlyLeaving: LeavingRunner[];
  /** Time until which a runner is avoided since another daemon failed to reach it, ms, by id. */
  suspectedUntil: Map<string, number>;
  /** Runners as they were last sent to the followers, by id. */
  published: Map<string, Runner>;
}

/** Limit on the requests to a runner as a daemon heard it from the runner. */
export interface RunnerLimit {
  runner: string;
  /** Undefined where the runner names no limit any more. */
  requestsPerSecond: number | undefined;
}

/** What runners have said of themselves, for other daemons. */
export interface RunnerReports {
  kind: "limits";
  limits: RunnerLimit[];
  /** Daemons of an earlier version neither send nor read it. */
  leaving?: LeavingRunner[] | undefined;
  /** Load that runners have reported; daemons of an earlier version neither send nor read it. */
  loads?: LoadReport[] | undefined;
  /** What daemons have observed against runners; daemons of an earlier version neither send nor read it. */
  evidence?: RunnerEvidence[] | undefined;
  /** Requests by route and team: a follower's own, or the sum of the zone; daemons of an earlier version ignore it. */
  holdings?: HoldingsReport | undefined;
}

/** Message from a daemon to its followers. */
export type UpstreamMessage =
  | {
    kind: "snapshot";
    routing: RoutingDocument | undefined;
    runners: Runner[];
    runnersPosition: LogPosition;
    daemons: DaemonEntry[];
    parts: PartReading[];
    /** Undefined where none were read yet, or the daemon is of an earlier version. */
    evacuations?: Evacuations | undefined;
  }
  | { kind: "routing"; document: RoutingDocument }
  | {
    kind: "runners";
    runners: Runner[];
    /** Runners that are gone or serve no requests any more. */
    removedIds: string[];
    /** Those among them that are gone. */
    departedIds: string[];
    runnersPosition: LogPosition;
  }
  | { kind: "daemons"; daemons: DaemonEntry[] }
  /** Parts of prompts under which runners crashed, or which have proved sound. */
  | { kind: "parts"; readings: PartReading[] }
  /** Runners that other daemons failed to reach. */
  | { kind: "suspects"; runners: string[] }
  | RunnerReports
  | {
    kind: "poll_answer";
    /** Number of the poll that this answers. */
    poll: number;
    /** True while the daemon reads the store itself, with success. */
    isReader: boolean;
    /** Newest timeline of the store that the daemon knows; undefined where it knows none. */
    timeline: number | undefined;
    /** Time since the configuration was confirmed as current, ms; undefined where it is not. */
    routingAgeMs: number | undefined;
    /** Time since the list of runners was confirmed as current, ms; undefined where it is not. */
    runnersAgeMs: number | undefined;
    /** Undefined where none were read yet, or the daemon is of an earlier version. */
    evacuations?: Evacuations | undefined;
  };

/** Message from a follower. */
export type FollowerMessage =
  | {
    kind: "poll";
    /** Version of the protocol. */
    version: number;
    poll: number;
    /** Position in the store up to which the follower knows changes of runners; older data is of no use to it. */
    runnersPosition: LogPosition;
  }
  /** Runners that the follower failed to reach. */
  | { kind: "suspects"; runners: string[] }
  | RunnerReports;
