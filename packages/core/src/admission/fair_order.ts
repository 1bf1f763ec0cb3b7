/**
 * Lists what waits in a fair queue in the order in which it is served.
 *
 * @module
 */
import { type FairNode, firstWaiting, type ViewOptions } from "./fair_queue.ts";

function activeChildren<T>({ children }: FairNode<T>): FairNode<T>[] {
  return [...children.values()]
    .filter(({ backlog }) => backlog > 0)
    .sort((left, right) => left.served - right.served);
}

/** Options of {@link headsInOrder}. */
export interface OrderOptions<T> extends ViewOptions<T> {
  /** Returns whether the next item of the leaf is yielded too; none may be passed where undefined. */
  mayPass?(item: T): boolean;
}

function* headsOfLeaf<T>(
  leaf: FairNode<T>,
  { view, mayPass }: OrderOptions<T>,
): Generator<T, void> {
  if (firstWaiting(leaf, { view }) === undefined) return;
  for (const item of leaf.items) {
    if (!view.isWaiting(item)) continue;
    yield item;
    if (!mayPass?.(item)) return;
  }
}

/**
 * Yields the first waiting item of each leaf, the leaf that was served least first.
 *
 * @example
 * ```ts
 * const [next] = headsInOrder(root, { view }); // the same item as peekFair(root, { view })
 * ```
 */
export function* headsInOrder<T>(
  node: FairNode<T>,
  options: OrderOptions<T>,
): Generator<T, void> {
  if (node.backlog === 0) return;
  if (node.children.size === 0) return yield* headsOfLeaf(node, options);
  for (const child of activeChildren(node)) {
    yield* headsInOrder(child, options);
  }
}

/**
 * Returns how many items are served before one that waits last, or first, in the leaf with this path, where all have
 * equal costs.
 *
 * Of each sibling on its path, at most as many go before it as of its own branch.
 */
export function aheadInOrder<T>(
  root: FairNode<T>,
  path: readonly string[],
  { isFirst = false }: { isFirst?: boolean } = {},
): number {
  const nodes = [root];
  for (const name of path) {
    const child = nodes.at(-1)?.children.get(name);
    if (child === undefined) return 0;
    nodes.push(child);
  }
  const backlog = nodes.at(-1)?.backlog ?? 0;
  let ahead = isFirst ? 0 : Math.max(0, backlog - 1);
  for (let depth = nodes.length - 2; depth >= 0; depth--) {
    const own = nodes[depth + 1];
    const limit = ahead + 1;
    for (const sibling of nodes[depth]!.children.values()) {
      if (sibling !== own) ahead += Math.min(sibling.backlog, limit);
    }
  }
  return ahead;
}
