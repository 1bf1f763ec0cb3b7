/**
 * Records of the platform's log and the state that every daemon folds from them.
 *
 * @module
 */
import type { ConfigDocument, Rank } from "../config/types.ts";
import type { Verdict } from "../verdict/types.ts";

/** One VM of a replica group. */
export interface Member {
  vm: string;
  /** `http://IP:PORT` of the VM's engine. */
  address: string;
  zone: string;
  /** Fabric domain of the VM. */
  domain: string;
}

/** Cumulative usage of a deployment by one team at one rank, as counted by one entry VM. */
export interface UsageCounter {
  owner: string;
  team: string;
  deployment: string;
  rank: Rank;
  requests: number;
  promptTokens: number;
  cachedTokens: number;
  outputTokens: number;
  /** Requests that are not idempotent and ran. */
  bookings: number;
}

/** Content of a record, by type. */
export type RecordBody =
  | { type: "level"; raiseTo: number }
  | {
    type: "config";
    basedOn: number;
    document: ConfigDocument;
    author: string;
  }
  | {
    type: "lease_grant";
    lease: string;
    holder: string;
    observed: number;
    durationMs: number;
  }
  | { type: "lease_renew"; lease: string; holder: string; grant: number }
  | { type: "lease_release"; lease: string; holder: string; grant: number }
  | {
    type: "group_form";
    group: string;
    deployment: string;
    members: Member[];
    fence: Fence;
  }
  | {
    type: "group_swap";
    group: string;
    remove: string;
    add: Member;
    fence: Fence;
  }
  | { type: "group_drain"; group: string; fence: Fence }
  | { type: "group_dissolve"; group: string; fence: Fence }
  | {
    type: "vm_freed";
    vm: string;
    epoch: number;
    cause: "unloaded" | "gone";
    fence: Fence;
  }
  | { type: "claim"; key: string; digest: string; entry: string }
  | {
    type: "claim_end";
    key: string;
    claim: string;
    verdict: Verdict;
    answer?: StoredResponse;
  }
  | {
    type: "usage";
    entry: string;
    sequence: number;
    counters: UsageCounter[];
    signature: string;
  };

/** Lease under which a change is made, with its fencing number; `operator` where an operator ordered the change. */
export type Fence = { lease: string; grant: number } | "operator";

/** A response stored so that a request with a repeated key gets the same one. */
export interface StoredResponse {
  status: number;
  contentType: string;
  body: string;
}

/** A record as written: its content, a unique id, and the record level that it requires. */
export type LogRecord = RecordBody & { id: string; level: number };

/** A record as read back, with the offset and time that the log service assigned. */
export interface StoredRecord {
  offset: number;
  /** Time of the log service, ms since 1970; never decreases. */
  at: number;
  record: LogRecord;
}

/** A configuration that the fold accepted. */
export interface AcceptedConfig {
  offset: number;
  at: number;
  author: string;
  document: ConfigDocument;
}

/** A past configuration, without its document. */
export interface ConfigHistoryEntry {
  offset: number;
  at: number;
  author: string;
}

/** A lease as folded; `grant` is the fencing number. */
export interface FoldedLease {
  name: string;
  holder: string;
  grant: number;
  renewed: number;
  durationMs: number;
}

/** Phase of a group in the log. */
export type GroupPhase = "formed" | "draining";

/** A replica group as folded; `epoch` is the offset of its newest membership. */
export interface FoldedGroup {
  name: string;
  deployment: string;
  epoch: number;
  phase: GroupPhase;
  members: Member[];
}

/** Group that a VM belongs to or has just left. */
export interface VmAssignment {
  vm: string;
  address: string;
  group: string;
  deployment: string;
  epoch: number;
  /** True from when the VM leaves its group until its unload is confirmed. */
  quarantined: boolean;
}

/** A claim on an idempotency key. */
export interface FoldedClaim {
  key: string;
  id: string;
  at: number;
  digest: string;
  entry: string;
  verdict?: Verdict;
  answer?: StoredResponse;
}

/** Newest usage published by one incarnation of an entry VM. */
export interface FoldedUsage {
  entry: string;
  sequence: number;
  counters: UsageCounter[];
  signature: string;
}

/** Why the fold rejected a record. */
export type RejectionCause =
  | "repeated"
  | "malformed"
  | "level_unknown"
  | "stale_base"
  | "invalid_config"
  | "lease_held"
  | "not_holder"
  | "fenced"
  | "vm_taken"
  | "duplicate_member"
  | "wrong_size"
  | "unknown_group"
  | "group_exists"
  | "key_claimed"
  | "unknown_claim"
  | "stale_usage";

/** Whether the fold accepted a record. */
export type FoldResult = { accepted: true } | {
  accepted: false;
  cause: RejectionCause;
  detail?: string;
};

/** State that all daemons share, as folded from the log. */
export interface FoldState {
  /** Offset of the next record to fold. */
  next: number;
  /** Log time of the newest record. */
  at: number;
  level: number;
  config: AcceptedConfig | undefined;
  history: ConfigHistoryEntry[];
  leases: Map<string, FoldedLease>;
  groups: Map<string, FoldedGroup>;
  vms: Map<string, VmAssignment>;
  claims: Map<string, FoldedClaim>;
  usage: Map<string, FoldedUsage>;
  /** Ids of recent records, oldest first. */
  seen: Set<string>;
}

/** A folded state as plain data, for snapshots and for daemons that join. */
export interface FoldDump {
  next: number;
  at: number;
  level: number;
  config?: AcceptedConfig;
  history: ConfigHistoryEntry[];
  leases: FoldedLease[];
  groups: FoldedGroup[];
  vms: VmAssignment[];
  claims: FoldedClaim[];
  usage: FoldedUsage[];
  seen: string[];
}
