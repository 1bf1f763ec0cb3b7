/**
 * Ranks the daemons that a daemon may follow. All daemons rank alike, so that those of an availability zone agree on
 * who reads the store without asking each other.
 *
 * @module
 */
import { hashText } from "../util/hash.ts";
import type { DaemonEntry } from "./types.ts";

/** Orders daemons: those on larger VMs first, then by a hash of zone and node. */
function byRank(left: DaemonEntry, right: DaemonEntry): number {
  return right.cores - left.cores ||
    rankHash(left) - rankHash(right) ||
    (left.node < right.node ? -1 : 1);
}

function rankHash({ zone, node }: DaemonEntry): number {
  return hashText(`${zone} ${node}`);
}

/** Daemons that another one may follow, the best first. */
export interface RankedDaemons {
  /** Daemons of the same zone that read the store before this one does. */
  ahead: DaemonEntry[];
  /** Daemons of the same zone that follow this one, then those of other zones. */
  others: DaemonEntry[];
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
  const others = [...daemons].filter(({ node }) => node !== self.node)
    .sort(byRank);
  const local = others.filter(({ zone }) => zone === self.zone);
  return {
    ahead: local.filter((each) => byRank(each, self) < 0),
    others: [
      ...local.filter((each) => byRank(each, self) > 0),
      ...others.filter(({ zone }) => zone !== self.zone),
    ],
  };
}
