/**
 * Decides which daemons own a cold runner, and may send to it.
 *
 * All daemons rank the known daemons of the fleet alike for each runner (rendezvous hashing), and the first few own it.
 * A daemon stops at once where others come before it, and starts only once it has been among the first for a while, so
 * that the lists of the others have caught up by then.
 *
 * @module
 */
import { activeColdStart } from "../cold_start/cold_runners.ts";
import type { EventOf } from "../event/types.ts";
import type { Gateway, Runner } from "../gateway/types.ts";
import type { State } from "../state/types.ts";
import { hashText } from "../util/hash.ts";
import { FLEET_LAG_MS, LOST_DAEMON_MEMORY_MS } from "./constants.ts";
import { coldSharesOf } from "./shares.ts";
import type { Pacing } from "./types.ts";

/** Creates the state of pacing of a daemon that knows no fleet yet. */
export function createPacing(): Pacing {
  return {
    lostAt: new Map(),
    hasFleet: false,
    isNamed: false,
    knownSince: undefined,
    nodesAhead: new Map(),
    heldBack: { cold: 0, limited: 0 },
  };
}

/** Records the daemons of the fleet after a list of them was read. */
export function recordFleet(
  { gateway, now }: State,
  { daemons, isWhole, isPassedOn }: EventOf<"daemons_read">,
): void {
  const { pacing, readSharing } = gateway!;
  const { self } = readSharing;
  if (self === undefined) return;
  // What an upstream passes on begins with all daemons that it knows.
  if (isWhole || isPassedOn) pacing.hasFleet = true;
  const isNamed = daemons.some(({ node }) => node === self.node);
  if (isNamed || isWhole) pacing.isNamed = isNamed;
  pacing.knownSince = pacing.hasFleet && pacing.isNamed
    ? pacing.knownSince ?? now
    : undefined;
  recordNodes(pacing, { nodes: readSharing.daemons ?? new Map(), now });
}

function recordNodes(
  { lostAt, nodesAhead }: Pacing,
  { nodes, now }: { nodes: ReadonlyMap<string, unknown>; now: number },
): void {
  for (const node of nodes.keys()) {
    if (!lostAt.has(node)) nodesAhead.clear();
    lostAt.set(node, Infinity);
  }
  for (const [node, at] of lostAt) {
    if (nodes.has(node)) continue;
    if (at === Infinity) lostAt.set(node, now);
    if (now - at <= LOST_DAEMON_MEMORY_MS) continue;
    lostAt.delete(node);
    nodesAhead.clear();
  }
}

/** Returns the nodes that own a runner before this daemon does. */
function nodesAheadOf(
  { pacing, readSharing }: Gateway,
  runner: string,
): string[] {
  const known = pacing.nodesAhead.get(runner);
  if (known !== undefined) return known;
  const self = readSharing.self!.node;
  const rankOf = (node: string) => hashText(`${runner} ${node}`);
  const own = rankOf(self);
  const ahead = [...pacing.lostAt.keys()].filter((node) => {
    const rank = rankOf(node);
    return rank > own || (rank === own && node > self);
  });
  pacing.nodesAhead.set(runner, ahead);
  return ahead;
}

/** Returns whether this daemon owns a cold runner; false where the runner is warm. */
export function ownsRunner(state: State, runner: Runner): boolean {
  const { gateway, now } = state;
  const { pacing, readSharing, settings } = gateway!;
  const coldStart = activeColdStart(state, runner);
  if (coldStart === undefined || readSharing.self === undefined) return false;
  // By then, the daemons that do not know of the change have heard of no cold runner for longer than one stays cold.
  const settleMs = FLEET_LAG_MS + coldStart.durationMs;
  const { knownSince, lostAt } = pacing;
  if (knownSince === undefined || now - knownSince < settleMs) return false;
  let { owners } = coldSharesOf(coldStart, settings);
  for (const node of nodesAheadOf(gateway!, runner.id)) {
    if (owners <= 0) break;
    const isCounted = now - lostAt.get(node)! < settleMs;
    if (isCounted) owners -= 1;
  }
  return owners > 0;
}
