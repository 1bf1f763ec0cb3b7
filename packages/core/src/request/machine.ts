/**
 * Life cycle of a request.
 *
 * @module
 */
import { createMachine, state, transition } from "robot3";
import { nextState } from "../util/machine.ts";
import type { Request, RequestPhase } from "./types.ts";

/** Steps between the phases of a request. */
export type RequestStep =
  | "claim"
  | "wait"
  | "enqueue"
  | "send"
  | "back_off"
  | "end";

/** The request machine: a request in `done` can never be sent again. */
export const requestMachine = createMachine("claiming", {
  claiming: state(
    transition("claim", "claiming"),
    transition("wait", "waiting"),
    transition("enqueue", "queued"),
    transition("end", "done"),
  ),
  waiting: state(
    transition("claim", "claiming"),
    transition("wait", "waiting"),
    transition("end", "done"),
  ),
  queued: state(transition("send", "running"), transition("end", "done")),
  backoff: state(transition("enqueue", "queued"), transition("end", "done")),
  running: state(
    transition("back_off", "backoff"),
    transition("enqueue", "queued"),
    transition("end", "done"),
  ),
  done: state(),
});

/** Moves a request to its next phase; returns false where its machine does not allow the step. */
export function advance(request: Request, step: RequestStep): boolean {
  const next = nextState<RequestPhase>(requestMachine, request.phase, step);
  if (next === undefined) return false;
  request.phase = next;
  return true;
}
