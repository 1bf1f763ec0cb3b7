/**
 * Max-min fair queueing by cost over a tree of names, such as owner, team and caller, or route and team.
 *
 * Start-time fair queueing: each node carries the cost it was served divided by its weight; the backlogged child that
 * was served least goes next. A child that becomes active starts level with the others, less a credit of a few
 * requests. A small caller's burst therefore goes first, while idle time earns no further credit.
 *
 * @module
 */
/** What the queue needs to know of its items. */
export interface ItemView<T> {
  /** Returns the names from below the root to the leaf that the item waits in; the same ones throughout its wait. */
  pathOf(item: T): readonly string[];
  /** Returns the cost that is expected for the item; the same one throughout its wait. */
  costOf(item: T): number;
  /** Returns false once the item has left the queue. */
  isWaiting(item: T): boolean;
}

/** A node of the fair-queueing tree. */
export interface FairNode<T> {
  name: string;
  weight: number;
  /** Cost served divided by weight, on the scale of its siblings. */
  served: number;
  /** Virtual time: `served` of the child picked last, where newly active children start. */
  level: number;
  children: Map<string, FairNode<T>>;
  /** Waiting items of a leaf, oldest first; ended ones are skipped. */
  items: T[];
  /** Waiting items below this node. */
  backlog: number;
  /** Waiting cost below this node. */
  cost: number;
}

/** Credit of a newly active node, in requests: a caller below its share may send a burst of this size and go first. */
const BURST_REQUESTS = 6;

/** Returns the weight of a node by its path of names. */
export type WeightOf = (path: readonly string[]) => number;

/** Creates a node without children. */
export function createFairNode<T>(name: string, weight = 1): FairNode<T> {
  return {
    name,
    weight,
    served: 0,
    level: 0,
    children: new Map(),
    items: [],
    backlog: 0,
    cost: 0,
  };
}

function childOf<T>(
  node: FairNode<T>,
  name: string,
  weight: () => number,
): FairNode<T> {
  const existing = node.children.get(name);
  if (existing !== undefined) return existing;
  const child = createFairNode<T>(name, weight());
  child.served = -Infinity;
  node.children.set(name, child);
  return child;
}

function pathNodes<T>(
  root: FairNode<T>,
  names: readonly string[],
  weightOf: WeightOf,
): FairNode<T>[] {
  const nodes = [root];
  names.forEach((name, depth) => {
    const parent = nodes[depth] as FairNode<T>;
    nodes.push(
      childOf(parent, name, () => weightOf(names.slice(0, depth + 1))),
    );
  });
  return nodes;
}

/** Options of {@link enqueue}. */
export interface EnqueueOptions<T> {
  view: ItemView<T>;
  weightOf: WeightOf;
  /** Mean cost of a request, the unit of credit. */
  unitCost: number;
  /** Puts the item before the others of its leaf, since it was started before. */
  front?: boolean;
}

/** Adds an item at the back of its leaf, or at its front when it was started before. */
export function enqueue<T>(
  root: FairNode<T>,
  item: T,
  { view, weightOf, unitCost, front = false }: EnqueueOptions<T>,
): void {
  const nodes = pathNodes(root, view.pathOf(item), weightOf);
  nodes.forEach((node, depth) => {
    const parent = nodes[depth - 1];
    if (parent !== undefined && node.backlog === 0) {
      const credit = BURST_REQUESTS * unitCost / node.weight;
      node.served = Math.max(node.served, parent.level - credit);
    }
    node.backlog += 1;
    node.cost += view.costOf(item);
  });
  const items = nodes.at(-1)?.items;
  if (front) items?.unshift(item);
  else items?.push(item);
}

/** Options of functions that only need to know an item. */
export interface ViewOptions<T> {
  view: ItemView<T>;
}

/** Subtracts a waiting item from the backlog and cost of its path; it is skipped when it is reached. */
export function removeWaiting<T>(
  root: FairNode<T>,
  item: T,
  { view }: ViewOptions<T>,
): void {
  let node: FairNode<T> | undefined = root;
  for (const name of [undefined, ...view.pathOf(item)]) {
    if (name !== undefined) node = node?.children.get(name);
    if (node === undefined) return;
    node.backlog -= 1;
    node.cost -= view.costOf(item);
  }
}

function leastServed<T>(node: FairNode<T>): FairNode<T> | undefined {
  let best: FairNode<T> | undefined;
  for (const child of node.children.values()) {
    if (
      child.backlog > 0 && (best === undefined || child.served < best.served)
    ) best = child;
  }
  return best;
}

function descend<T>(
  root: FairNode<T>,
  choose: (node: FairNode<T>) => FairNode<T> | undefined,
): FairNode<T> | undefined {
  let node: FairNode<T> | undefined = root;
  while (node !== undefined && node.children.size > 0) node = choose(node);
  return node;
}

/** Returns the oldest item of a leaf that still waits, and drops those before it. */
export function firstWaiting<T>(
  { items }: FairNode<T>,
  { view }: ViewOptions<T>,
): T | undefined {
  while (items.length > 0) {
    const first = items[0] as T;
    if (view.isWaiting(first)) return first;
    items.shift();
  }
  return undefined;
}

/**
 * Returns the item that is next in fair order, without removing it; below one child of the root where it is named.
 *
 * @example
 * ```ts
 * const next = peekFair(root, { view });
 * if (next) removeWaiting(root, next, { view });
 * ```
 */
export function peekFair<T>(
  root: FairNode<T>,
  { view, owner }: ViewOptions<T> & { owner?: string },
): T | undefined {
  if (root.backlog === 0) return undefined;
  const start = owner === undefined ? root : root.children.get(owner);
  if (start === undefined || start.backlog === 0) return undefined;
  const leaf = descend(start, leastServed);
  return leaf === undefined ? undefined : firstWaiting(leaf, { view });
}

/** Charges served cost to an item's path; negative amounts refund an overestimate. */
export function charge<T>(
  root: FairNode<T>,
  item: T,
  { view, amount, weightOf }: ViewOptions<T> & {
    amount: number;
    weightOf: WeightOf;
  },
): void {
  const nodes = pathNodes(root, view.pathOf(item), weightOf);
  nodes.forEach((node, depth) => {
    const parent = nodes[depth - 1];
    if (parent === undefined) return;
    if (amount > 0) parent.level = Math.max(parent.level, node.served);
    node.served += amount / node.weight;
  });
}

/**
 * Removes idle nodes whose service is not ahead of their siblings'; one that is ahead is kept, so that it does not go
 * before them when it becomes active again.
 */
export function pruneIdle<T>(node: FairNode<T>): void {
  for (const [name, child] of node.children) {
    pruneIdle(child);
    const idle = child.backlog === 0 && child.children.size === 0 &&
      child.served <= node.level;
    if (idle) node.children.delete(name);
  }
}
