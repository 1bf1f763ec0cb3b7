/**
 * Life cycle of a target: a replica group or a plain service's backend server.
 *
 * @module
 */
import { createMachine, state, transition } from "robot3";
import { nextState } from "../util/machine.ts";

/** Life of a target; only `serving` and `probing` take new work. */
export type TargetPhase =
  | "pending"
  | "serving"
  | "suspect"
  | "draining"
  | "ejected"
  | "probing"
  | "gone";

/** What moves a target on. */
export type TargetStep =
  | "confirm"
  | "doubt"
  | "drain"
  | "eject"
  | "probe"
  | "remove"
  | "renew";

/** The target machine: a draining target serves again only as a new incarnation. */
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

/** Moves a target on; false where its machine does not allow the step. */
export function advanceTarget(
  target: { phase: TargetPhase },
  step: TargetStep,
): boolean {
  const next = nextState<TargetPhase>(targetMachine, target.phase, step);
  if (next === undefined) return false;
  target.phase = next;
  return true;
}
