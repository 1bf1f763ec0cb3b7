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

/** Event of the state machine of a target. */
export type TargetEvent =
  | "confirm"
  | "invalidate"
  | "drain"
  | "eject"
  | "probe"
  | "remove"
  | "restart";

/** State machine of a target; a draining target serves again only as a new incarnation. */
export const targetMachine = createMachine("pending", {
  pending: state(
    transition("confirm", "serving"),
    transition("drain", "draining"),
    transition("remove", "gone"),
  ),
  serving: state(
    transition("invalidate", "suspect"),
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
    transition("invalidate", "suspect"),
    transition("drain", "draining"),
    transition("remove", "gone"),
  ),
  probing: state(
    transition("confirm", "serving"),
    transition("eject", "ejected"),
    transition("invalidate", "suspect"),
    transition("drain", "draining"),
    transition("remove", "gone"),
  ),
  draining: state(
    transition("remove", "gone"),
    transition("restart", "pending"),
  ),
  gone: state(),
});

/** Applies an event to a target's state machine; returns false where the machine does not allow it. */
export function advanceTarget(
  target: { phase: TargetPhase },
  event: TargetEvent,
): boolean {
  const next = nextState<TargetPhase>(targetMachine, target.phase, event);
  if (next === undefined) return false;
  target.phase = next;
  return true;
}
