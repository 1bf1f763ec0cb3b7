/**
 * Summarizes the groups and the free runners of each fabric domain.
 *
 * @module
 */
import type { Service } from "../gateway/types.ts";
import { isEvacuated } from "../placement/evacuations.ts";
import type { State } from "../state/types.ts";
import { capacityOf } from "./cold_capacity.ts";
import {
  type GroupView,
  isInEvacuatedZone,
  isPresumedDead,
} from "./group_view.ts";
import type { DomainView } from "./round_types.ts";
import { isWarmingUp } from "./warm_runners.ts";

function createDomainView(
  domain: string,
): Required<DomainView> {
  return {
    domain,
    unstaged: [],
    staged: new Map(),
    loading: new Map(),
    groups: new Map(),
    coldLoss: new Map(),
  };
}

/**
 * Counts the groups of a service in each fabric domain, and lists its free runners there by the weights they hold; groups
 * and runners in evacuated availability zones are no capacity and are left out.
 */
export function summarizeDomains(
  state: State,
  { service, views }: { service: Service; views: GroupView[] },
): Map<string, DomainView> {
  const { runners, groupPlanner } = state.gateway!;
  const domains = new Map<string, Required<DomainView>>();
  const viewOf = (domain: string) => {
    const view = domains.get(domain) ?? createDomainView(domain);
    domains.set(domain, view);
    return view;
  };
  const increase = (counts: Map<string, number>, model: string) =>
    counts.set(model, (counts.get(model) ?? 0) + 1);
  for (const view of views) {
    if (isInEvacuatedZone(state.gateway!, view)) continue;
    const { groups, coldLoss } = viewOf(view.domain);
    const { name } = view.model;
    increase(groups, name);
    const loss = 1 - capacityOf(state, { service, view });
    coldLoss.set(name, (coldLoss.get(name) ?? 0) + loss);
  }
  const planned = new Set(
    views.flatMap(({ members }) => members.map((each) => each?.id)),
  );
  for (const runner of runners.values()) {
    if (runner.service !== service.name || runner.state !== "ready") continue;
    const isFree = runner.membership === undefined || isWarmingUp(runner);
    if (runner.domain === undefined || !isFree) continue;
    if (isEvacuated(state.gateway!, runner.zone)) continue;
    if (planned.has(runner.id) || isPresumedDead(groupPlanner, runner)) {
      continue;
    }
    const view = viewOf(runner.domain);
    const order = groupPlanner.pendingOrders.get(runner.id)?.order;
    if (order?.action === "stage") {
      increase(view.loading, order.model);
      continue;
    }
    if (order !== undefined) continue;
    const [model] = runner.staged;
    if (model === undefined) {
      view.unstaged.push(runner);
      continue;
    }
    const staged = view.staged.get(model) ?? [];
    staged.push(runner);
    view.staged.set(model, staged);
  }
  return domains;
}
