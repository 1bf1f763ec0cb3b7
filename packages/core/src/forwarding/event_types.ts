/**
 * Events of forwarding.
 *
 * @module
 */

import type { Outcome } from "../verdict/types.ts";

/** Every event of forwarding. */
export type ForwardingEvent =
  /** Another daemon asks this one to send a request to a runner. */
  | {
    kind: "forward_arrived";
    /** Name of the request at this daemon. */
    request: string;
    runner: string;
    host: string;
    path: string;
    key: string | undefined;
    /** Name of the team as the other daemon found it. */
    team: string | undefined;
    promptParts: readonly string[];
    fingerprint: string;
    /** True where the other daemon sends it as the trial of a quarantined part. */
    isTrial: boolean;
  }
  /** A connection to the runner of a forwarded request failed. */
  | { kind: "forward_unconnected"; runner: string; outcome: Outcome }
  /** The answer of a runner to a forwarded request has begun. */
  | {
    kind: "forward_answered";
    runner: string;
    /** Time for which the runner wants no more requests of this daemon, ms; undefined where it does not say. */
    backoffMs: number | undefined;
    /** True where the runner says that it leaves. */
    isLeaving: boolean;
  }
  /** A forwarded request has its response, or has failed. */
  | { kind: "forward_ended"; request: string };
