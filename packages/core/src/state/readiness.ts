/**
 * Decides whether this daemon can accept requests.
 *
 * @module
 */
import { supportsLevel } from "../fold/fold_record.ts";
import type { Effects } from "../reduce_types.ts";
import type { State } from "./types.ts";

/** Why a daemon is not ready. */
export type NotReadyCause =
  | "no_config"
  | "not_folded"
  | "stopping"
  | "level_unsupported";

/** Returns why this daemon is not ready, or undefined if it is. */
export function notReadyCause(state: State): NotReadyCause | undefined {
  if (state.phase !== "serving") return "stopping";
  if (state.config === undefined) return "no_config";
  if (!state.caughtUp) return "not_folded";
  return supportsLevel(state.fold) ? undefined : "level_unsupported";
}

/** Updates readiness and logs a change. A ready daemon stays ready while the log is unreachable. */
export function* updateReadiness(state: State): Effects {
  const cause = notReadyCause(state);
  if (state.ready === (cause === undefined)) return;
  state.ready = cause === undefined;
  if (state.ready) {
    yield { kind: "log", event: "ready", fields: { fold: state.fold.next } };
  } else yield { kind: "log", event: "not_ready", fields: { cause } };
}
