/**
 * Warms up spares, so that they join a group of their model within a fraction of a second.
 *
 * A spare is ordered into a group of its own, which is never opened, and out of it again.
 *
 * @module
 */
import type { Model, Runner } from "../gateway/types.ts";
import type { Effects } from "../reduce_types.ts";
import { isEvacuated } from "../placement/evacuations.ts";
import type { State } from "../state/types.ts";
import { isPresumedDead } from "./group_view.ts";
import { countGroups, type LayoutTarget } from "./layout_target.ts";
import { nextFence } from "./leadership.ts";
import { orderRunner } from "./orders.ts";
import type { PlanningRound } from "./round_types.ts";
import {
  isWarm,
  isWarmingUp,
  recordWarm,
  WARM_UP_PREFIX,
} from "./warm_runners.ts";

/** Orders spares that are not warm into groups of their own, and those that have become warm out of them. */
export function* warmUpSpares(
  state: State,
  { service, domains, engine }: PlanningRound,
  target: LayoutTarget,
): Effects {
  yield* endWarmUps(state, service);
  const { groupPlanner } = state.gateway!;
  for (const [id, domain] of domains) {
    for (const model of engine.models) {
      const { groups } = target.get(id)!.get(model.name)!;
      // The others of a group that is still to be formed are about to join it.
      if (countGroups(domain, model) < groups) continue;
      for (const runner of domain.staged.get(model.name) ?? []) {
        const isDone = isWarm(groupPlanner, runner, model.name);
        if (isDone || isWarmingUp(runner)) continue;
        yield* warmUp(state, runner, model);
      }
    }
  }
}

function* warmUp(state: State, runner: Runner, model: Model): Effects {
  yield* orderRunner(state, runner, {
    order: {
      action: "join",
      group: `${WARM_UP_PREFIX}${runner.id}`,
      epoch: nextFence(state.gateway!.groupPlanner),
      model: model.name,
      members: [runner.id],
    },
  });
}

function* endWarmUps(state: State, service: string): Effects {
  const { runners, groupPlanner } = state.gateway!;
  for (const runner of runners.values()) {
    if (runner.service !== service || !isWarmingUp(runner)) continue;
    if (runner.state !== "ready" || isPresumedDead(groupPlanner, runner)) {
      continue;
    }
    if (isEvacuated(state.gateway!, runner.zone)) continue;
    const { group, epoch, state: status } = runner.membership!;
    if (status === "joining" || groupPlanner.pendingOrders.has(runner.id)) {
      continue;
    }
    const [model] = runner.staged;
    if (model !== undefined) recordWarm(groupPlanner, runner, model);
    yield* orderRunner(state, runner, {
      order: { action: "leave", group, epoch },
    });
  }
}
