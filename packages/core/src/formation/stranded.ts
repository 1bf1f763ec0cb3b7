/**
 * Frees runners that still report a group which goes on without them, under a newer epoch or with other members.
 *
 * A member that was presumed dead and replaced may come back. It is in no group that is planned, and not free either.
 *
 * @module
 */
import type { Runner } from "../gateway/types.ts";
import type { Effects } from "../reduce_types.ts";
import type { State } from "../state/types.ts";
import { isEvacuated } from "../placement/evacuations.ts";
import { STRANDED_GRACE_MS } from "./constants.ts";
import { type GroupView, isPresumedDead } from "./group_view.ts";
import { orderRunner } from "./orders.ts";

/** Orders runners out of groups that have gone on without them for some time. */
export function* freeStranded(
  state: State,
  { service, views }: { service: string; views: readonly GroupView[] },
): Effects {
  const { runners, groupPlanner } = state.gateway!;
  const { strandedSince, pendingOrders } = groupPlanner;
  const members = new Set(
    views.flatMap((view) => view.members.map((each) => each?.id)),
  );
  const groups = new Set(views.map(({ name }) => name));
  const isStranded = (runner: Runner) =>
    runner.service === service && runner.membership !== undefined &&
    !members.has(runner.id) &&
    groups.has(runner.membership.group) && runner.state === "ready" &&
    !isPresumedDead(groupPlanner, runner) &&
    !isEvacuated(state.gateway!, runner.zone);
  const stranded = [...runners.values()].filter(isStranded);
  const ids = new Set(stranded.map(({ id }) => id));
  for (const id of strandedSince.keys()) {
    const isOfOther = runners.get(id)?.service !== service &&
      runners.has(id);
    if (!ids.has(id) && !isOfOther) strandedSince.delete(id);
  }
  for (const runner of stranded) {
    const since = strandedSince.get(runner.id) ?? state.now;
    strandedSince.set(runner.id, since);
    const isDue = state.now - since >= STRANDED_GRACE_MS;
    if (isDue && !pendingOrders.has(runner.id)) yield* release(state, runner);
  }
}

/** Closes a head that would accept requests which cannot progress; lets any other member leave. */
function* release(state: State, runner: Runner): Effects {
  const { group, epoch, rank, state: status } = runner.membership!;
  if (rank === 0 && status === "closing") return;
  const isOpenHead = rank === 0 && status === "open";
  yield* orderRunner(state, runner, {
    order: isOpenHead
      ? { action: "close", group, epoch, mode: "interrupt" }
      : { action: "leave", group, epoch },
  });
}
