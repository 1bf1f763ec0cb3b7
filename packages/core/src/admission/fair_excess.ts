/**
 * Finds the waiting item that is last in fair order, which a queue over its bound sheds.
 *
 * @module
 */
import type { FairNode, ViewOptions } from "./fair_queue.ts";

/** Two nodes whose work would end within this many requests of each other are treated as equal. */
const NEAR_REQUESTS = 2;

// Virtual time at which a node's waiting work would end if it were all served now.
function endTimeOf(
  { served, cost, weight }: Pick<
    FairNode<unknown>,
    "served" | "cost" | "weight"
  >,
): number {
  return served + cost / weight;
}

function lastToFinish<T>(
  node: FairNode<T>,
  isExempt?: (name: string) => boolean,
): FairNode<T> | undefined {
  let last: FairNode<T> | undefined;
  for (const child of node.children.values()) {
    if (child.backlog === 0 || isExempt?.(child.name)) continue;
    if (last === undefined || endTimeOf(child) > endTimeOf(last)) last = child;
  }
  return last;
}

/** Options of {@link peekExcess}. */
export interface ExcessOptions<T> extends ViewOptions<T> {
  /** The item that made the queue too long. */
  arrived: T;
  /** Whether the work below a child of the root must not be shed. */
  isExempt(name: string): boolean;
}

// Of two that would end at nearly the same time the arrived one is shed, so that its caller is refused at once.
function finishesNearLast<T>(
  own: FairNode<T>,
  last: FairNode<T>,
  cost: number,
): boolean {
  return endTimeOf(own) + NEAR_REQUESTS * cost / own.weight >=
    endTimeOf(last);
}

/** Returns the number of items that wait in the leaf of `item`. */
export function leafBacklog<T>(
  root: FairNode<T>,
  item: T,
  { view }: ViewOptions<T>,
): number {
  let node: FairNode<T> | undefined = root;
  for (const name of view.pathOf(item)) node = node?.children.get(name);
  return node?.backlog ?? 0;
}

function lastWaiting<T>(
  { items }: FairNode<T>,
  { view }: ViewOptions<T>,
): T | undefined {
  while (items.length > 0) {
    const last = items.at(-1) as T;
    if (view.isWaiting(last)) return last;
    items.pop();
  }
  return undefined;
}

/** Returns the waiting item that is last in fair order, which a queue over its bound sheds. */
export function peekExcess<T>(
  root: FairNode<T>,
  { view, arrived, isExempt }: ExcessOptions<T>,
): T | undefined {
  const path = view.pathOf(arrived);
  const cost = view.costOf(arrived);
  let node = root;
  for (let depth = 0; node.children.size > 0; depth++) {
    const last = lastToFinish(node, depth === 0 ? isExempt : undefined);
    if (last === undefined) return undefined;
    const own = node.children.get(path[depth] ?? "");
    const canShedOwn = own !== undefined && own.backlog > 0 &&
      (depth > 0 || !isExempt(own.name));
    node = canShedOwn && finishesNearLast(own, last, cost) ? own : last;
  }
  return lastWaiting(node, { view });
}
