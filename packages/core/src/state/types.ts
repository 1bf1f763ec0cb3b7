/**
 * The state of one daemon's reducer.
 *
 * @module
 */
import type { FairNode } from "../admission/fair_queue.ts";
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
import type { Lease } from "../lease/types.ts";
import type { Planner } from "../planner/types.ts";
import type { UsageLedger } from "../usage/types.ts";
import type { Gateway } from "../gateway/types.ts";
import type { TargetPhase } from "../health/machine.ts";
import type { Bucket } from "../limit/bucket.ts";
import type { Digest } from "../peer/types.ts";
import type { VmListing } from "../vm/types.ts";
import type { Request } from "../request/types.ts";
import type { FreeList } from "../routing/free_list.ts";
import type { PrefixIndex } from "../routing/prefix_index.ts";
import type { Average, Rate } from "../util/ewma.ts";
import type { Random } from "../util/random.ts";
import type { TimerQueue } from "../util/timer_queue.ts";

/** Own attempts averaged over the time that reports may lag. */
export interface AttemptMemory {
  average: number;
  at: number;
}

/** Who this daemon is. */
export interface Node {
  name: string;
  zone: string;
  site: string;
  incarnation: string;
  /** The balancer may still send requests for this long after readiness went off, ms. */
  balancerLagMs: number;
}

/** What is known of one VM behind a target. */
export interface MemberState {
  member: Member;
  confirmedAt: number;
  incarnation?: string;
  status?: MemberStatus;
  /** True from a refused connection until the next report. */
  refused: boolean;
}

/** A replica group or a plain service's backend server. */
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
  /** Attempts over the allowance. */
  overdrawn: number;
  memory: AttemptMemory;
  /** Prompt tokens of own attempts that have no first token yet. */
  prefilling: number;
  report: LoadReport | undefined;
  reportedAt: number;
  /** Step time against what the deployment's model expects; 1 is normal. */
  factor: number;
  failures: number;
  ejections: number;
  /** Good reports since it is probed. */
  probes: number;
  ejectedUntil: number;
  cacheSequence: number;
  removing: boolean;
}

/** One deployment at this entry: queues, targets and what was learned. */
export interface Pool {
  name: string;
  deployment: Deployment;
  queues: Record<Rank, FairNode>;
  /** Interrupted streams, which go before everything else. */
  resumptions: Request[];
  /** Mean expected cost of a request. */
  unitCost: Average;
  floorCredit: Record<Rank, number>;
  ownerUse: Map<string, Rate>;
  /** Cost rate that each owner asked for at the protected ranks. */
  ownerAsked: Map<string, Rate>;
  /** Cost rate of each caller, by its path. */
  callerUse: Map<string, Rate>;
  totalUse: Rate;
  /** Cost rate of the heaviest caller. */
  heaviestUse: number;
  holdMs: Record<Rank, Average>;
  outputTokens: Record<Rank, Average>;
  arrivals: Record<Rank, Rate>;
  firstTries: Rate;
  retries: Rate;
  model: BatchModel;
  /** Sum of the limits of the serving targets. */
  slots: number;
  share: ShareInterval;
  targets: Set<string>;
  /** Targets with room within this entry's allowance. */
  free: FreeList;
  /** Time at which a target last took work at all. */
  servedAt: number;
  /** Targets that take work at all. */
  serving: FreeList;
  /** Attempts over the allowances of their targets, summed. */
  overdrawn: number;
  ejected: number;
  prefixes: PrefixIndex;
  preemptedAt: number;
  /** Time of the pending check whether waiting work may take a batch slot. */
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
  heardAt: number;
  /** Undefined while connected, else since when it is lost. */
  lostAt: number | undefined;
}

/** Link to the platform's log service. */
export interface LogLink {
  reachable: boolean;
  lastReadAt: number;
  head: number;
  nextId: number;
  /** Records appended but not yet folded, by id. */
  pending: Map<string, LogRecord>;
  /** Ids handed to the driver whose append is not settled. */
  inFlight: Set<string>;
  /** Pending ids that the log took, but that are not folded yet. */
  stored: Set<string>;
  /** Ends of claims that are not folded yet, by claim id. */
  releases: Map<string, RecordBody>;
  retryAt: number;
}

/** The configuration in force here. */
export interface ConfigInForce {
  offset: number;
  config: Config;
}

/** Life of the daemon itself. */
export type NodePhase = "serving" | "draining" | "stopped";

/** Everything that the reducer knows; owned by it and changed only by events. */
export interface State {
  /** Present where this daemon routes by host and path to a shared fleet. */
  gateway: Gateway | undefined;
  node: Node;
  now: number;
  random: Random;
  timers: TimerQueue;
  phase: NodePhase;
  drainingSince: number;
  drainFlushed: boolean;
  ready: boolean;
  config: ConfigInForce | undefined;
  /** The document behind {@link State.config}, as peers may ask for it. */
  newestConfig: AcceptedConfig | undefined;
  fold: FoldState;
  folded: boolean;
  log: LogLink;
  requests: Map<string, Request>;
  pools: Map<string, Pool>;
  targets: Map<string, Target>;
  /** Target names by member address. */
  byAddress: Map<string, string>;
  /** Leaving VMs with the incarnation that leaves. */
  leaving: Map<string, string>;
  vms: Map<string, VmListing>;
  peers: Map<string, Peer>;
  buckets: Map<string, Bucket>;
  /** Requests that wait for the end of a claim, by key. */
  waiters: Map<string, Set<string>>;
  /** Requests whose claim record is not folded yet, by record id. */
  claiming: Map<string, string>;
  leases: Map<string, Lease>;
  planners: Map<string, Planner>;
  /** What each engine or service last said of itself, by VM. */
  evidence: Map<string, Evidence>;
  digestSequence: number;
  digestSent: DigestSent;
  usage: UsageLedger;
  /** Fold offset and time of the snapshot written last. */
  snapshot: { next: number; at: number };
}

/** The digest sent last, so that an unchanged one is not repeated at every turn. */
export interface DigestSent {
  at: number;
  text: string;
}

/** Newest direct evidence of one VM. */
export interface Evidence {
  status: MemberStatus | undefined;
  reportedAt: number;
  /** Since when it has not answered; undefined while it does. */
  missingSince: number | undefined;
  refused: boolean;
}
