/**
 * The state of one daemon's reducer.
 *
 * @module
 */
import type { CatchUp } from "../catch_up/types.ts";
import type { RequestNode } from "../admission/request_queue.ts";
import type { BatchModel } from "../capacity/batch_model.ts";
import type { ShareInterval } from "../capacity/share.ts";
import type { Config, Deployment, Rank } from "../config/types.ts";
import type { LoadReport, MemberStatus } from "../event/types.ts";
import type {
  AcceptedConfig,
  FoldState,
  LogRecord,
  Member,
  RecordBody,
} from "../fold/types.ts";
import type { Gateway } from "../gateway/types.ts";
import type { TargetPhase } from "../health/machine.ts";
import type { Lease } from "../lease/types.ts";
import type { Bucket } from "../limit/bucket.ts";
import type { Digest } from "../peer/types.ts";
import type { Planner } from "../planner/types.ts";
import type { Request } from "../request/types.ts";
import type { PrefixIndex } from "../routing/prefix_index.ts";
import type { Quarantine } from "../quarantine/types.ts";
import type { RandomSet } from "../routing/random_set.ts";
import type { UsageLedger } from "../usage/types.ts";
import type { Average, Rate } from "../util/ewma.ts";
import type { Random } from "../util/random.ts";
import type { TimerQueue } from "../util/timer_queue.ts";
import type { VmListing } from "../vm/types.ts";

/** Average number of this entry's attempts at a target, over the time by which load reports may lag. */
export interface RecentAttempts {
  average: number;
  at: number;
}

/** Identity of this daemon. */
export interface Node {
  name: string;
  zone: string;
  site: string;
  incarnation: string;
  /** Time for which the load balancer may still send requests after this daemon stops being ready, ms. */
  balancerLagMs: number;
}

/** What this daemon knows of one member VM of a target. */
export interface MemberState {
  member: Member;
  confirmedAt: number;
  incarnation?: string;
  status?: MemberStatus;
  /** True from a refused connection until the next report. */
  refused: boolean;
}

/** A replica group, or a backend server of a plain service. */
export interface Target {
  name: string;
  deployment: string;
  phase: TargetPhase;
  /** Epoch that every member must report; undefined for plain services. */
  epoch: number | undefined;
  members: MemberState[];
  limit: number;
  allowance: number;
  /** Requests in flight from this entry. */
  attempts: Set<string>;
  /** Attempts in flight beyond the allowance. */
  overdrawn: number;
  memory: RecentAttempts;
  /** Prompt tokens of this entry's attempts that have no first token yet. */
  prefilling: number;
  report: LoadReport | undefined;
  reportedAt: number;
  /** Step time as a multiple of what the deployment's batch model expects; 1 is normal. */
  factor: number;
  failures: number;
  ejections: number;
  /** Good reports since probing started. */
  probes: number;
  ejectedUntil: number;
  /** End of the back-off that the target asked for, ms; undefined where it has answered since. */
  backoffUntil: number | undefined;
  cacheSequence: number;
  removing: boolean;
}

/** One deployment at this entry: its queues, its targets and the estimates learned from traffic. */
export interface Pool {
  name: string;
  deployment: Deployment;
  queues: Record<Rank, RequestNode>;
  /** Interrupted streams, which are dispatched before all other requests. */
  resumptions: Request[];
  /** Mean expected cost of a request. */
  unitCost: Average;
  /** Cost by which each rank is below its floor; negative above it. */
  floorCredit: Record<Rank, number>;
  /** Cost rate that each owner was served. */
  ownerUse: Map<string, Rate>;
  /** Cost rate that each owner requested at the protected ranks. */
  ownerDemand: Map<string, Rate>;
  /** Cost rate of each caller, by `owner/team/caller`. */
  callerUse: Map<string, Rate>;
  totalUse: Rate;
  /** Cost rate of the heaviest caller. */
  heaviestUse: number;
  /** Time for which a request holds its slot, ms. */
  holdMs: Record<Rank, Average>;
  outputTokens: Record<Rank, Average>;
  arrivals: Record<Rank, Rate>;
  firstAttempts: Rate;
  retries: Rate;
  model: BatchModel;
  /** Sum of the limits of the serving targets. */
  slots: number;
  share: ShareInterval;
  targets: Set<string>;
  /** Targets with a free slot within this entry's allowance. */
  freeTargets: RandomSet;
  /** Time at which a target was last able to accept work. */
  lastServingAt: number;
  /** Targets that accept work, whether or not they have a free slot. */
  servingTargets: RandomSet;
  /** Sum of `overdrawn` over all targets. */
  overdrawn: number;
  ejected: number;
  prefixes: PrefixIndex;
  preemptedAt: number;
  /** Time of the next check whether waiting requests may preempt batch requests. */
  preemptCheckAt: number;
  /** Batch requests in flight from this entry. */
  runningBatch: Set<string>;
}

/** A peer daemon. */
export interface Peer {
  name: string;
  address: string;
  zone: string;
  incarnation: string;
  digest: Digest | undefined;
  lastSeenAt: number;
  /** Time at which the connection was lost; undefined while connected. */
  lostAt: number | undefined;
}

/** State of the connection to the platform's log service, and of appends to it. */
export interface LogLink {
  reachable: boolean;
  lastReadAt: number;
  head: number;
  nextId: number;
  /** Records appended but not yet folded, by id. */
  pending: Map<string, LogRecord>;
  /** Ids passed to the driver whose append has not completed. */
  inFlight: Set<string>;
  /** Pending ids that the log has stored but that are not folded yet. */
  stored: Set<string>;
  /** `claim_end` records to append once their claims are folded, by claim id. */
  claimEnds: Map<string, RecordBody>;
  retryAt: number;
}

/** The configuration in force here. */
export interface ConfigInForce {
  offset: number;
  config: Config;
}

/** Phase of the daemon itself. */
export type NodePhase = "serving" | "draining" | "stopped";

/** State of the reducer, which owns it; only events change it. */
export interface State {
  /** Present if this daemon routes by host and path to a shared fleet. */
  gateway: Gateway | undefined;
  node: Node;
  now: number;
  /** Time by which the event loop was late when it handled the last event, ms. */
  lateMs: number;
  catchUp: CatchUp;
  random: Random;
  timers: TimerQueue;
  phase: NodePhase;
  /** Time at which the drain began; once its final records are passed to the driver, the time of that. */
  drainingSince: number;
  /** Whether the final records of the drain have been passed to the driver. */
  drainFlushed: boolean;
  ready: boolean;
  config: ConfigInForce | undefined;
  /** Unresolved form of {@link State.config}, kept for peers that request it. */
  acceptedConfig: AcceptedConfig | undefined;
  fold: FoldState;
  /** Whether the fold has caught up with the log. */
  caughtUp: boolean;
  log: LogLink;
  /** Parts of prompts that are held back since runners crashed on them. */
  quarantine: Quarantine;
  requests: Map<string, Request>;
  pools: Map<string, Pool>;
  targets: Map<string, Target>;
  /** Target names by member address. */
  targetNameByAddress: Map<string, string>;
  /** Incarnation of each VM that is leaving, by VM. */
  leaving: Map<string, string>;
  vms: Map<string, VmListing>;
  peers: Map<string, Peer>;
  buckets: Map<string, Bucket>;
  /** Ids of requests that wait for the end of a claim, by key. */
  waiters: Map<string, Set<string>>;
  /** Ids of requests whose claim record is not folded yet, by record id. */
  pendingClaims: Map<string, string>;
  leases: Map<string, Lease>;
  planners: Map<string, Planner>;
  /** Result of the last status check of each engine or service, by VM. */
  vmHealth: Map<string, VmHealth>;
  digestSequence: number;
  lastDigest: SentDigest;
  usage: UsageLedger;
  /** Fold offset and time of the snapshot written last. */
  snapshot: { next: number; at: number };
}

/** The digest sent last; an unchanged digest is resent less often. */
export interface SentDigest {
  at: number;
  text: string;
}

/** Health of one VM as last observed directly by this daemon. */
export interface VmHealth {
  status: MemberStatus | undefined;
  reportedAt: number;
  /** Time since which the VM has not responded; undefined while it responds. */
  missingSince: number | undefined;
  refused: boolean;
}
