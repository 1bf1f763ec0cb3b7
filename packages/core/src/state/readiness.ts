/**
 * Decides whether this daemon may take requests.
 *
 * @module
 */
import { supportsLevel } from "../fold/fold_record.ts";
import type { Effects } from "../reduce_types.ts";
import type { State } from "./types.ts";

/** What keeps a daemon from being ready. */
export type Unreadiness =
  | "no_config"
  | "not_folded"
  | "stopping"
  | "level_unsupported";

/** Says what keeps this daemon from being ready, or undefined where nothing does. */
export function unreadiness(state: State): Unreadiness | undefined {
  if (state.phase !== "serving") return "stopping";
  if (state.config === undefined) return "no_config";
  if (!state.folded) return "not_folded";
  return supportsLevel(state.fold) ? undefined : "level_unsupported";
}

/** Turns readiness on or off. A daemon that was ready stays so while the log is down. */
export function* judgeReadiness(state: State): Effects {
  const cause = unreadiness(state);
  if (state.ready === (cause === undefined)) return;
  state.ready = cause === undefined;
  if (state.ready) {
    yield { kind: "log", event: "ready", fields: { fold: state.fold.next } };
  } else yield { kind: "log", event: "not_ready", fields: { cause } };
}
