/**
 * Retires groups that the layout gives up, so that their runners complete groups of another model.
 *
 * @module
 */
import type { Effects } from "../reduce_types.ts";
import type { State } from "../state/types.ts";
import type { GroupView } from "./group_view.ts";
import { countGroups, type LayoutTarget } from "./layout_target.ts";
import { orderRunner } from "./orders.ts";
import { dissolveGroup } from "./repair.ts";
import type { PlanningRound } from "./round_types.ts";

/** Marks groups beyond their domain's target, those with the fewest requests first. */
export function* markRetired(
  state: State,
  { service, views, domains, engine }: PlanningRound,
  target: LayoutTarget,
): Effects {
  const { groupPlanner } = state.gateway!;
  const { retiringGroups, healthChecks } = groupPlanner;
  const names = new Set(views.map(({ name }) => name));
  for (const [name, owner] of retiringGroups) {
    if (owner === service && !names.has(name)) retiringGroups.delete(name);
  }
  const requestsAt = ({ members: [head] }: GroupView) => {
    const report = head && healthChecks.get(head.id)?.report;
    return report === undefined ? 0 : report.running + report.queued;
  };
  for (const [id, domain] of domains) {
    for (const model of engine.models) {
      const wanted = target.get(id)!.get(model.name)!.groups;
      const own = views.filter((view) =>
        view.domain === id && view.model === model
      );
      const marked = own.filter(({ name }) => retiringGroups.has(name));
      const surplus = countGroups(domain, model) - wanted - marked.length;
      const candidates = own.filter((view) =>
        !marked.includes(view) && view.members[0]?.membership?.state === "open"
      ).sort((left, right) => requestsAt(left) - requestsAt(right));
      for (const view of candidates.slice(0, Math.max(0, surplus))) {
        retiringGroups.set(view.name, service);
        yield {
          kind: "log",
          event: "group_retired",
          fields: { group: view.name, domain: id, requests: requestsAt(view) },
        };
      }
    }
  }
}

/** Lets a group finish its requests, and frees its members. */
export function* retireGroup(state: State, view: GroupView): Effects {
  const [head] = view.members;
  const status = head?.membership?.state;
  const { pendingOrders } = state.gateway!.groupPlanner;
  const { name: group, epoch } = view;
  if (head !== undefined && status === "open") {
    if (pendingOrders.has(head.id)) return;
    return yield* orderRunner(state, head, {
      order: { action: "close", group, epoch, mode: "finish" },
    });
  }
  if (status === "closing") return;
  const survivors = view.members.filter((each) => each !== undefined);
  yield* dissolveGroup(state, { view, survivors });
}
