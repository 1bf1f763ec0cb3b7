/**
 * Life cycle of a lease at one daemon.
 *
 * @module
 */
import { createMachine, state, transition } from "robot3";

/** Phase of a lease at this daemon. */
export type LeasePhase = "watching" | "taking" | "held" | "renewing";

/** State machine of a lease; orders may be sent only in `held` and `renewing`, and only before the local expiry. */
export const leaseMachine = createMachine("watching", {
  watching: state(transition("take", "taking")),
  taking: state(transition("granted", "held"), transition("lost", "watching")),
  held: state(transition("renew", "renewing"), transition("lost", "watching")),
  renewing: state(
    transition("renewed", "held"),
    transition("renew", "renewing"),
    transition("lost", "watching"),
  ),
});
