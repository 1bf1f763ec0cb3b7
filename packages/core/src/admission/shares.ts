/**
 * Tells which routes and teams hold more than their max-min fair share of the capacity, while others find no room.
 *
 * Shares are compared by cost in flight: of the whole availability zone where a recent table of its counts is known, of
 * this daemon otherwise. A route or team is over its share where it holds more than an equal part, and another one that
 * holds less than an equal part needs room. Nothing is held back while nobody else needs it.
 *
 * @module
 */
import { tupleKey } from "../util/tuple_key.ts";
import type { FairNode } from "./fair_queue.ts";
import type {
  Admission,
  HeldTree,
  Holder,
  PriorityLevel,
  Waiter,
  ZoneHolding,
  ZoneHoldings,
} from "./types.ts";
import { levelOf, queueOf, UNMET_MEMORY_MS } from "./waiting_queue.ts";

/** Age up to which the counts of the zone are used, ms. */
export const MAX_HOLDINGS_AGE_MS = 1_000;
/** Part by which an equal share may be exceeded, since small counts differ by chance. */
const SHARE_MARGIN = 0.2;

/** Takes over counts of the other daemons of the availability zone; they are used while they are fresh. */
export function setZoneHoldings(
  admission: Admission,
  table: ZoneHoldings,
  { now }: { now: number },
): void {
  admission.zone = { table, countedAt: now - table.ageMs };
}

function addHeld(
  held: HeldTree,
  [route, team]: readonly [string, string],
  cost: number,
): void {
  const entry = held.get(route) ?? { cost: 0, teams: new Map() };
  entry.cost += cost;
  const teamCost = (entry.teams.get(team) ?? 0) + cost;
  if (teamCost > 0) entry.teams.set(team, teamCost);
  else entry.teams.delete(team);
  if (entry.teams.size > 0) held.set(route, entry);
  else held.delete(route);
}

/** Counts a request as in flight. */
export function hold(
  admission: Admission,
  request: string,
  { holder, now }: { holder: Holder; now: number },
): void {
  release(admission, request);
  admission.holders.set(request, holder);
  const queue = queueOf(admission, holder.queue, { now });
  const { held } = levelOf(queue, holder.priority, { now });
  addHeld(held, holder.path, holder.cost);
}

/** Counts a request as in flight no more; does nothing where it was not counted. */
export function release(
  admission: Admission,
  request: string,
): void {
  const holder = admission.holders.get(request);
  if (holder === undefined) return;
  admission.holders.delete(request);
  const level = admission.queues.get(holder.queue)?.levels.find((
    { priority },
  ) => priority === holder.priority);
  if (level !== undefined) addHeld(level.held, holder.path, -holder.cost);
}

/** Records that a route and team found no room. */
export function recordUnmet(
  { unmet }: PriorityLevel,
  [route, team]: Waiter["path"],
  { now }: { now: number },
): void {
  const entry = unmet.get(route) ?? { at: now, teams: new Map() };
  entry.at = now;
  entry.teams.set(team, now);
  unmet.set(route, entry);
}

/** Returns whether any request of a level waits for room, or found none a moment ago. */
export function isInNeed(
  { inTime, unmet }: PriorityLevel,
  { now }: { now: number },
): boolean {
  if (inTime.backlog > 0) return true;
  for (const { at } of unmet.values()) {
    if (now - at <= UNMET_MEMORY_MS) return true;
  }
  return false;
}

/** One claimant of a share: a route, or a team of a route. */
interface Claim {
  cost: number;
  /** True where it waits for room, or found none a moment ago. */
  isInNeed: boolean;
}

/** Cost in flight and need of every route or team that has either. */
type Claims = Map<string, Claim>;

function claimOf(claims: Claims, name: string): Claim {
  let claim = claims.get(name);
  if (claim === undefined) {
    claim = { cost: 0, isInNeed: false };
    claims.set(name, claim);
  }
  return claim;
}

/** Where the shares of siblings are looked up. */
interface Scope {
  level: PriorityLevel;
  /** Counts of the other daemons of the zone that concern the level; none where they are not fresh. */
  others: readonly ZoneHolding[];
  now: number;
}

/** Marks those as in need that wait for room, or found none a moment ago. */
function addNeed(
  claims: Claims,
  { node, unmetAt, now }: {
    node: FairNode<Waiter> | undefined;
    unmetAt: Iterable<[string, number]>;
    now: number;
  },
): void {
  for (const { name, backlog } of node?.children.values() ?? []) {
    if (backlog > 0) claimOf(claims, name).isInNeed = true;
  }
  for (const [name, at] of unmetAt) {
    if (now - at <= UNMET_MEMORY_MS) claimOf(claims, name).isInNeed = true;
  }
}

/** Returns the claims of all routes. */
function routeClaims({ level, others, now }: Scope): Claims {
  const claims: Claims = new Map();
  for (const { route, tokens, waiting } of others) {
    const claim = claimOf(claims, route);
    claim.cost += tokens;
    if (waiting > 0) claim.isInNeed = true;
  }
  for (const [route, { cost }] of level.held) {
    claimOf(claims, route).cost += cost;
  }
  const unmetAt = [...level.unmet].map(([route, { at }]): [string, number] => [
    route,
    at,
  ]);
  addNeed(claims, { node: level.inTime, unmetAt, now });
  return claims;
}

/** Returns the claims of the teams of a route. */
function teamClaims({ level, others, now }: Scope, route: string): Claims {
  const claims: Claims = new Map();
  for (const holding of others) {
    if (holding.route !== route) continue;
    const claim = claimOf(claims, holding.team ?? "");
    claim.cost += holding.tokens;
    if (holding.waiting > 0) claim.isInNeed = true;
  }
  const teams = level.held.get(route)?.teams;
  for (const [team, cost] of teams ?? []) claimOf(claims, team).cost += cost;
  const node = level.inTime.children.get(route);
  const unmetAt = level.unmet.get(route)?.teams ?? [];
  addNeed(claims, { node, unmetAt, now });
  return claims;
}

/** Returns whether one more request of a claimant takes it over its share while another one below its own needs room. */
function exceedsShare(claims: Claims, name: string, cost: number): boolean {
  const own = (claims.get(name)?.cost ?? 0) + cost;
  let total = cost;
  for (const claim of claims.values()) total += claim.cost;
  const equal = total / Math.max(1, claims.size);
  if (own <= equal * (1 + SHARE_MARGIN)) return false;
  for (const [other, claim] of claims) {
    if (other !== name && claim.isInNeed && claim.cost < equal) return true;
  }
  return false;
}

/** Options of {@link sharesExceeded}. */
export interface ShareOptions {
  /** Routes of the configuration that belong to the level. */
  routes: ReadonlySet<string>;
  now: number;
}

/**
 * Returns how many shares a request exceeds, 0 to 2, while others need room: that of its route, and that of its team
 * within the route.
 */
export function sharesExceeded(
  { zone: known }: Admission,
  level: PriorityLevel,
  { path: [route, team], cost, options: { routes, now } }:
    & Pick<Waiter, "path" | "cost">
    & { options: ShareOptions },
): number {
  const isFresh = known !== undefined &&
    now - known.countedAt <= MAX_HOLDINGS_AGE_MS;
  const others = isFresh
    ? known.table.holdings.filter((holding) => routes.has(holding.route))
    : [];
  const scope = { level, others, now };
  const exceeded = [
    exceedsShare(routeClaims(scope), route, cost),
    exceedsShare(teamClaims(scope, route), team, cost),
  ];
  return exceeded.filter(Boolean).length;
}

/** Returns this daemon's own counts by route and team, to be shared with the other daemons of its availability zone. */
export function ownHoldings({ holders, queues }: Admission): ZoneHolding[] {
  const byPath = new Map<string, ZoneHolding>();
  const holdingOf = ([route, team]: Waiter["path"]): ZoneHolding => {
    const key = tupleKey(route, team);
    const known = byPath.get(key);
    if (known !== undefined) return known;
    const holding = {
      route,
      team: team === "" ? undefined : team,
      requests: 0,
      tokens: 0,
      waiting: 0,
    };
    byPath.set(key, holding);
    return holding;
  };
  for (const { path, cost } of holders.values()) {
    const holding = holdingOf(path);
    holding.requests += 1;
    holding.tokens += cost;
  }
  for (const { waiters } of queues.values()) {
    for (const { path } of waiters.values()) holdingOf(path).waiting += 1;
  }
  return [...byPath.values()];
}
