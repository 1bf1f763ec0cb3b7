/**
 * Checks the health of group members directly, which detects a death before the shared list of runners shows it.
 *
 * @module
 */
import type { EventOf } from "../event/types.ts";
import type { Effects } from "../reduce_types.ts";
import type { State } from "../state/types.ts";
import { DEAD_MISSES, PROBE_MS, PROBE_MS_PER_MEMBER } from "./constants.ts";
import type { GroupView } from "./group_view.ts";

/** Sends a health check to each group member whose last check is older than the interval. */
export function* probeMembers(state: State, views: GroupView[]): Effects {
  const { formation } = state.gateway!;
  const count = views.reduce((sum, { members }) => sum + members.length, 0);
  const intervalMs = Math.max(PROBE_MS, count * PROBE_MS_PER_MEMBER);
  for (const { members } of views) {
    for (const runner of members) {
      if (runner === undefined) continue;
      const probe = formation.probes.get(runner.id);
      if (probe?.pending) continue;
      if (probe !== undefined && state.now - probe.askedAt < intervalMs) {
        continue;
      }
      const misses = probe?.born === runner.born ? probe.misses : 0;
      formation.probes.set(runner.id, {
        askedAt: state.now,
        pending: true,
        misses,
        born: runner.born,
        report: probe?.born === runner.born ? probe.report : undefined,
      });
      yield {
        kind: "probe_runner",
        runner: runner.id,
        address: runner.address,
      };
    }
  }
}

/** Handles the result of a health check. */
export function* noteProbe(
  state: State,
  { runner, alive, report }: EventOf<"runner_probed">,
): Effects {
  const probe = state.gateway!.formation.probes.get(runner);
  if (probe === undefined) return;
  probe.pending = false;
  probe.misses = alive ? 0 : probe.misses + 1;
  probe.report = report ?? probe.report;
  if (probe.misses !== DEAD_MISSES) return;
  yield {
    kind: "log",
    event: "runner_silent",
    fields: { runner, misses: probe.misses },
  };
}
