/**
 * Messages that daemons exchange.
 *
 * @module
 */
import type { Rank } from "../config/types.ts";
import type { PartRecord } from "../quarantine/types.ts";
import type { AcceptedConfig, FoldDump } from "../fold/types.ts";

/** Concurrent requests an entry needs in one deployment, by rank. */
export type Need = Record<Rank, number>;

/** Periodic digest of one entry VM; all values are absolute, so lost or reordered digests do no harm. */
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
  /** Incarnation of each peer that the sender has recently received a message from, by name. */
  hears: Record<string, string>;
  /** Incarnation of each VM known to be leaving, by VM. */
  leaving: Record<string, string>;
}

/** A message between daemons. */
export type PeerMessage =
  | { kind: "digest"; digest: Digest }
  | { kind: "config_request"; above: number }
  | { kind: "config_answer"; config: AcceptedConfig }
  /** Parts of prompts under which engines crashed, or which have proved sound. */
  | { kind: "parts"; records: PartRecord[] }
  | { kind: "fold_request" }
  | { kind: "fold_answer"; dump: FoldDump };
