/**
 * Ranks the daemons that a daemon may follow. All daemons rank alike, so that those of an availability zone agree on
 * who reads the store without asking each other.
 *
 * @module
 */
import { hashText } from "../util/hash.ts";
import type { DaemonEntry, FleetSize, RankedDaemons } from "./types.ts";

interface RankedDaemon {
  daemon: DaemonEntry;
  hash: number;
}

function withHash(daemon: DaemonEntry): RankedDaemon {
  return { daemon, hash: hashText(`${daemon.zone} ${daemon.node}`) };
}

/** Orders daemons: those on larger VMs first, then by a hash of zone and node. */
function byRank(left: RankedDaemon, right: RankedDaemon): number {
  return right.daemon.cores - left.daemon.cores ||
    left.hash - right.hash ||
    (left.daemon.node < right.daemon.node ? -1 : 1);
}

/**
 * Ranks the known daemons as seen by one of them.
 *
 * @example
 * ```ts
 * rankDaemons(self, { daemons }).ahead[0]; // the daemon to follow; undefined where this one reads the store
 * ```
 */
export function rankDaemons(
  self: DaemonEntry,
  { daemons }: { daemons: Iterable<DaemonEntry> },
): RankedDaemons {
  const own = withHash(self);
  const others = [...daemons].filter(({ node }) => node !== self.node)
    .map(withHash).sort(byRank);
  const isLocal = ({ daemon }: RankedDaemon) => daemon.zone === self.zone;
  const local = others.filter(isLocal);
  const listOf = (ranked: RankedDaemon[]) => ranked.map(({ daemon }) => daemon);
  return {
    ahead: listOf(local.filter((each) => byRank(each, own) < 0)),
    others: listOf([
      ...local.filter((each) => byRank(each, own) > 0),
      ...others.filter((each) => !isLocal(each)),
    ]),
  };
}

/** Returns the number of daemons and the place of one of them, by a hash of their names, among all. */
export function measureFleet(
  self: DaemonEntry,
  { daemons }: { daemons: Iterable<DaemonEntry> },
): FleetSize {
  const size: FleetSize = { count: 1, position: 0 };
  const own = hashText(self.node);
  for (const { node } of daemons) {
    if (node === self.node) continue;
    size.count += 1;
    const hash = hashText(node);
    if (hash < own || (hash === own && node < self.node)) size.position += 1;
  }
  return size;
}
