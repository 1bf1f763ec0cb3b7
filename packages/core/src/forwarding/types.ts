/**
 * Types of forwarding: a daemon that has lost its own path to a runner sends a request through another daemon.
 *
 * @module
 */
import type { Average } from "../util/ewma.ts";

/** Why a forwarder turned a request down before it sent it anywhere. */
export type ForwardRefusal =
  /** The key of the request is not the forwarder's. */
  | "unauthorized"
  /** The forwarder does not know the configuration yet. */
  | "not_ready"
  | "stopping"
  /** The forwarder's configuration does not allow the request there or through it, or its team is another one. */
  | "not_allowed"
  /**
   * The forwarder knows no such runner, or the runner is leaving, serves no requests or wants none for a while, or its
   * availability zone is evacuated.
   */
  | "runner_gone"
  | "quarantined"
  /** The forwarder has lost its own path to the service. */
  | "path_lost"
  /** The forwarder has as much work as it can take. */
  | "busy";

/** Why a forwarder gets no requests for a while. */
export type ForwarderFault =
  | ForwardRefusal
  /** It could not connect to the runner: it may have lost its own path without knowing. */
  | "runner_unreached"
  /** It did not answer, or broke off. */
  | "failed";

/** Where an attempt through a forwarder failed. */
export type FailureSide =
  /** Between the forwarder and the runner, as the forwarder reports. */
  | "runner"
  /** Between this daemon and the forwarder, or at the forwarder. */
  | "forwarder";

/** What this daemon knows of another one that it forwards requests to. */
export interface ForwarderStats {
  /** Requests in flight through it. */
  inFlight: number;
  /** It gets no requests before this time, ms. */
  avoidUntil: number;
  /** Failures since the last response through it. */
  failures: number;
}

/** State of forwarding. */
export interface Forwarding {
  /** Daemons that this one has forwarded requests to, by node. */
  forwarders: Map<string, ForwarderStats>;
  /** Names of the requests of other daemons that this one is sending. */
  inFlight: Set<string>;
  /** Mean time by which sweeps of this daemon run late, ms. */
  lateness: Average;
}

/** Another daemon through which a request is sent. */
export interface Forwarder {
  node: string;
  /** `IP:PORT`. */
  address: string;
  /** Key that shows that the sender is a daemon of the same system. */
  key: string;
}
