/**
 * Life cycle of a target: a replica group or a plain service's backend server.
 *
 * @module
 */
import { createMachine, state, transition } from "robot3";
import { nextState } from "../util/machine.ts";

/** Phase of a target; only targets in `serving` and `probing` accept new work. */
export type TargetPhase =
  | "pending"
  | "serving"
  | "suspect"
  | "draining"
  | "ejected"
  | "probing"
  | "gone";

/** Transition of a target to another phase. */
export type TargetStep =
  | "confirm"
  | "doubt"
  | "drain"
  | "eject"
  | "probe"
  | "remove"
  | "renew";

/** State machine of a target; a draining target serves again only as a new incarnation. */
export const targetMachine = createMachine("pending", {
  pending: state(
    transition("confirm", "serving"),
    transition("drain", "draining"),
    transition("remove", "gone"),
  ),
  serving: state(
    transition("doubt", "suspect"),
    transition("drain", "draining"),
    transition("eject", "ejected"),
    transition("remove", "gone"),
  ),
  suspect: state(
    transition("confirm", "serving"),
    transition("drain", "draining"),
    transition("remove", "gone"),
  ),
  ejected: state(
    transition("probe", "probing"),
    transition("doubt", "suspect"),
    transition("drain", "draining"),
    transition("remove", "gone"),
  ),
  probing: state(
    transition("confirm", "serving"),
    transition("eject", "ejected"),
    transition("doubt", "suspect"),
    transition("drain", "draining"),
    transition("remove", "gone"),
  ),
  draining: state(transition("remove", "gone"), transition("renew", "pending")),
  gone: state(),
});

/** Applies a transition to a target; returns false where its state machine does not allow it. */
export function advanceTarget(
  target: { phase: TargetPhase },
  step: TargetStep,
): boolean {
  const next = nextState<TargetPhase>(targetMachine, target.phase, step);
  if (next === undefined) return false;
  target.phase = next;
  return true;
}
