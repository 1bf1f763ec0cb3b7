/**
 * Max-min fair queueing by cost over a tree of owner, team and caller.
 *
 * Start-time fair queueing: each node carries the cost it was served divided by its weight; the backlogged child that
 * was served least goes next. A child that becomes active starts level with the others, less a credit of a few
 * requests. A small caller's burst therefore goes first, while idle time earns no further credit.
 *
 * @module
 */
import type { Request } from "../request/types.ts";
import { pathOf } from "../request/types.ts";

/** A node of the fair-queueing tree. */
export interface FairNode {
  name: string;
  weight: number;
  /** Cost served divided by weight, on the scale of its siblings. */
  served: number;
  /** Virtual time: `served` of the child picked last, where newly active children start. */
  level: number;
  children: Map<string, FairNode>;
  /** Waiting requests of a leaf, oldest first; ended ones are skipped. */
  items: Request[];
  /** Waiting requests below this node. */
  backlog: number;
  /** Waiting cost below this node. */
  cost: number;
}

/** Credit of a newly active node, in requests: a caller below its share may send a burst of this size and go first. */
const BURST_REQUESTS = 6;
/** Two nodes whose work would end within this many requests of each other are treated as equal. */
const NEAR_REQUESTS = 2;

/** Returns the weight of a node by its path of names. */
export type WeightOf = (path: readonly string[]) => number;

/** Creates a node without children. */
export function createFairNode(name: string, weight = 1): FairNode {
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

function childOf(node: FairNode, name: string, weight: () => number): FairNode {
  const existing = node.children.get(name);
  if (existing !== undefined) return existing;
  const child = createFairNode(name, weight());
  child.served = -Infinity;
  node.children.set(name, child);
  return child;
}

function pathNodes(
  root: FairNode,
  names: readonly string[],
  weightOf: WeightOf,
): FairNode[] {
  const nodes = [root];
  names.forEach((name, depth) => {
    const parent = nodes[depth] as FairNode;
    nodes.push(
      childOf(parent, name, () => weightOf(names.slice(0, depth + 1))),
    );
  });
  return nodes;
}

/** Options of {@link enqueue}. */
export interface EnqueueOptions {
  weightOf: WeightOf;
  /** Mean cost of a request, the unit of credit. */
  unitCost: number;
  /** Puts the request before its caller's other work, since it was started before. */
  front?: boolean;
}

/** Adds a request at the back of its caller's queue, or at its front when it was started before. */
export function enqueue(
  root: FairNode,
  request: Request,
  { weightOf, unitCost, front = false }: EnqueueOptions,
): void {
  const nodes = pathNodes(root, pathOf(request), weightOf);
  nodes.forEach((node, depth) => {
    const parent = nodes[depth - 1];
    if (parent !== undefined && node.backlog === 0) {
      const credit = BURST_REQUESTS * unitCost / node.weight;
      node.served = Math.max(node.served, parent.level - credit);
    }
    node.backlog += 1;
    node.cost += request.predictedCost;
  });
  const items = nodes.at(-1)?.items;
  if (front) items?.unshift(request);
  else items?.push(request);
}

/** Subtracts a waiting request from the backlog and cost of its path; its item is skipped when it is reached. */
export function removeWaiting(root: FairNode, request: Request): void {
  let node: FairNode | undefined = root;
  for (const name of [undefined, ...pathOf(request)]) {
    if (name !== undefined) node = node?.children.get(name);
    if (node === undefined) return;
    node.backlog -= 1;
    node.cost -= request.predictedCost;
  }
}

function leastServed(node: FairNode): FairNode | undefined {
  let best: FairNode | undefined;
  for (const child of node.children.values()) {
    if (
      child.backlog > 0 && (best === undefined || child.served < best.served)
    ) best = child;
  }
  return best;
}

function descend(
  root: FairNode,
  choose: (node: FairNode) => FairNode | undefined,
): FairNode | undefined {
  let node: FairNode | undefined = root;
  while (node !== undefined && node.children.size > 0) node = choose(node);
  return node;
}

function isWaiting(request: Request): boolean {
  return request.phase === "queued";
}

/**
 * Returns the request that is next in fair order, without removing it.
 *
 * @example
 * ```ts
 * const next = peekFair(root);
 * if (next) removeWaiting(root, next);
 * ```
 */
export function peekFair(
  root: FairNode,
  { owner }: { owner?: string } = {},
): Request | undefined {
  if (root.backlog === 0) return undefined;
  const start = owner === undefined ? root : root.children.get(owner);
  if (start === undefined || start.backlog === 0) return undefined;
  const leaf = descend(start, leastServed);
  while (leaf !== undefined && leaf.items.length > 0) {
    const first = leaf.items[0] as Request;
    if (isWaiting(first)) return first;
    leaf.items.shift();
  }
  return undefined;
}

// Virtual time at which a node's waiting work would end if it were all served now.
function endTimeOf({ served, cost, weight }: FairNode): number {
  return served + cost / weight;
}

function lastToFinish(
  node: FairNode,
  isExempt?: (name: string) => boolean,
): FairNode | undefined {
  let last: FairNode | undefined;
  for (const child of node.children.values()) {
    if (child.backlog === 0 || isExempt?.(child.name)) continue;
    if (last === undefined || endTimeOf(child) > endTimeOf(last)) last = child;
  }
  return last;
}

/** Options of {@link peekExcess}. */
export interface ExcessOptions {
  /** The request that made the queue too long. */
  arrived: Request;
  /** Whether an owner's work must not be shed. */
  isExempt(owner: string): boolean;
}

// Of two that would end at nearly the same time the arrived one is shed, so that its caller is refused at once.
function finishesNearLast(
  own: FairNode,
  last: FairNode,
  { predictedCost }: Request,
): boolean {
  return endTimeOf(own) + NEAR_REQUESTS * predictedCost / own.weight >=
    endTimeOf(last);
}

/** Returns the number of waiting requests of the caller of `request`. */
export function callerBacklog(root: FairNode, request: Request): number {
  let node: FairNode | undefined = root;
  for (const name of pathOf(request)) node = node?.children.get(name);
  return node?.backlog ?? 0;
}

function lastWaiting({ items }: FairNode): Request | undefined {
  while (items.length > 0) {
    const last = items.at(-1) as Request;
    if (isWaiting(last)) return last;
    items.pop();
  }
  return undefined;
}

/** Returns the waiting request that is last in fair order, which a queue over its bound sheds. */
export function peekExcess(
  root: FairNode,
  { arrived, isExempt }: ExcessOptions,
): Request | undefined {
  const path = pathOf(arrived);
  let node = root;
  for (let depth = 0; node.children.size > 0; depth++) {
    const last = lastToFinish(node, depth === 0 ? isExempt : undefined);
    if (last === undefined) return undefined;
    const own = node.children.get(path[depth] ?? "");
    const canShedOwn = own !== undefined && own.backlog > 0 &&
      (depth > 0 || !isExempt(own.name));
    node = canShedOwn && finishesNearLast(own, last, arrived) ? own : last;
  }
  return lastWaiting(node);
}

/** Charges served cost to a request's path; negative amounts refund an overestimate. */
export function charge(
  root: FairNode,
  request: Request,
  { amount, weightOf }: { amount: number; weightOf: WeightOf },
): void {
  const nodes = pathNodes(root, pathOf(request), weightOf);
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
export function pruneIdle(node: FairNode): void {
  for (const [name, child] of node.children) {
    pruneIdle(child);
    const idle = child.backlog === 0 && child.children.size === 0 &&
      child.served <= node.level;
    if (idle) node.children.delete(name);
  }
}
