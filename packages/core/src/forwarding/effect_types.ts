/**
 * Effects of forwarding.
 *
 * @module
 */
import type { ForwardRefusal } from "./types.ts";

/** Every effect of forwarding. */
export type ForwardingEffect =
  /** Sends a request of another daemon to the runner at `address`, `IP:PORT`. */
  | { kind: "forward"; request: string; address: string }
  | { kind: "refuse_forward"; request: string; cause: ForwardRefusal };
