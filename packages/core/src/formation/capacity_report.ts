/**
 * Reports how the runners of a service are divided among its models, so that an operator can compare it with the demand.
 *
 * @module
 */
import type { Effects } from "../reduce_types.ts";
import type { State } from "../state/types.ts";
import { CAPACITY_REPORT_INTERVAL_MS } from "./constants.ts";
import type { PlanningRound } from "./round_types.ts";

const DEMAND_DIGITS = 1;

/** Logs the groups, the free runners and the demand of each model, at most once in the report interval. */
export function* reportCapacity(
  state: State,
  { service, engine, views, domains }: PlanningRound,
  { demand }: { demand: ReadonlyMap<string, number> },
): Effects {
  const { capacityReportedAt } = state.gateway!.groupPlanner;
  const last = capacityReportedAt.get(service) ?? -Infinity;
  if (state.now - last < CAPACITY_REPORT_INTERVAL_MS) return;
  capacityReportedAt.set(service, state.now);
  const list = [...domains.values()];
  const unstaged = list.reduce((sum, each) => sum + each.unstaged.length, 0);
  for (const { name, size } of engine.models) {
    const own = views.filter(({ model }) => model.name === name);
    const open = own.filter(({ members }) =>
      members[0]?.membership?.state === "open"
    );
    const free = list.map(({ staged }) => staged.get(name)?.length ?? 0);
    const loading = list.map((each) => each.loading.get(name) ?? 0);
    yield {
      kind: "log",
      event: "model_capacity",
      fields: {
        service,
        model: name,
        size,
        demand: Number(demand.get(name)?.toFixed(DEMAND_DIGITS)),
        groups: own.length,
        open: open.length,
        free: sum(free),
        mostFreeInDomain: Math.max(0, ...free),
        loading: sum(loading),
        unstaged,
      },
    };
  }
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
