/**
 * Decides whether this daemon can accept requests.
 *
 * @module
 */
import { supportsLevel } from "../fold/fold_record.ts";
import type { Effects } from "../reduce_types.ts";
import type { State } from "./types.ts";

/** Why a daemon is not ready. */
export type Unreadiness =
  | "no_config"
  | "not_folded"
  | "stopping"
  | "level_unsupported";

/** Returns why this daemon is not ready, or undefined if it is. */
export function unreadiness(state: State): Unreadiness | undefined {
  if (state.phase !== "serving") return "stopping";
  if (state.config === undefined) return "no_config";
  if (!state.folded) return "not_folded";
  return supportsLevel(state.fold) ? undefined : "level_unsupported";
}

/** Updates readiness and logs a change. A ready daemon stays ready while the log is unreachable. */
export function* judgeReadiness(state: State): Effects {
  const cause = unreadiness(state);
  if (state.ready === (cause === undefined)) return;
  state.ready = cause === undefined;
  if (state.ready) {
    yield { kind: "log", event: "ready", fields: { fold: state.fold.next } };
  } else yield { kind: "log", event: "not_ready", fields: { cause } };
}
