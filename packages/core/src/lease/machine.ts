/**
 * Life cycle of a lease at one daemon.
 *
 * @module
 */
import { createMachine, state, transition } from "robot3";

/** Life of a lease as this daemon sees it. */
export type LeasePhase = "watching" | "taking" | "held" | "renewing";

/** The lease machine: orders may leave only in `held` and `renewing`, and only before the local expiry. */
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
