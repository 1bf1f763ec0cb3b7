/**
 * What daemons tell each other.
 *
 * @module
 */
import type { Rank } from "../config/types.ts";
import type { AcceptedConfig, FoldDump } from "../fold/types.ts";

/** Concurrent requests an entry needs in one deployment, by rank. */
export type Need = Record<Rank, number>;

/** Periodic digest of one entry VM; every field is absolute, so loss and reorder are harmless. */
export interface Digest {
  sequence: number;
  /** Fold offset and configuration offset of the sender. */
  fold: number;
  config: number;
  draining: boolean;
  /** Needed concurrency by deployment. */
  needs: Record<string, Need>;
  /** Demand in tokens a minute by limited principal, heaviest first. */
  demands: Record<string, number>;
  /** Peers heard directly of late, by name with their incarnation. */
  hears: Record<string, string>;
  /** VMs known to be leaving, with the incarnation that leaves. */
  leaving: Record<string, string>;
}

/** Every message between daemons. */
export type PeerMessage =
  | { kind: "digest"; digest: Digest }
  | { kind: "config_request"; above: number }
  | { kind: "config_answer"; config: AcceptedConfig }
  | { kind: "fold_request" }
  | { kind: "fold_answer"; dump: FoldDump };
