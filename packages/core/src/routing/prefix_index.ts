/**
 * Which targets are thought to hold which prompt prefixes; hints only, bounded and decaying.
 *
 * @module
 */

/** Targets by prefix hash, least recently used first. */
export interface PrefixIndex {
  holders: Map<number, Map<string, number>>;
}

/** Prefixes remembered for each deployment. */
const MAX_PREFIXES = 20_000;
/** Targets remembered for each prefix. */
const MAX_HOLDERS = 4;
/** Hints older than this no longer count. */
const HINT_LIFE_MS = 120_000;

/** Creates an empty index. */
export function createPrefixIndex(): PrefixIndex {
  return { holders: new Map() };
}

/** Notes that a target holds a prefix as of `now`. */
export function addHolder(
  index: PrefixIndex,
  prefix: number,
  { target, now }: { target: string; now: number },
): void {
  const holders = index.holders.get(prefix) ?? new Map<string, number>();
  index.holders.delete(prefix);
  index.holders.set(prefix, holders);
  holders.delete(target);
  holders.set(target, now);
  trimOldest(holders, MAX_HOLDERS);
  trimOldest(index.holders, MAX_PREFIXES);
}

function trimOldest<K>(map: Map<K, unknown>, size: number): void {
  if (map.size <= size) return;
  const oldest = map.keys().next().value as K;
  map.delete(oldest);
}

/** Notes that a target lost a prefix. */
export function dropHolder(
  index: PrefixIndex,
  prefix: number,
  { target }: { target: string },
): void {
  const holders = index.holders.get(prefix);
  holders?.delete(target);
  if (holders?.size === 0) index.holders.delete(prefix);
}

/** A target with the share of a prompt's blocks it is thought to hold. */
export interface PrefixMatch {
  target: string;
  blocks: number;
}

/** Finds the targets that hold the most of a prompt, best first, at most `most` of them. */
export function matchPrefixes(
  index: PrefixIndex,
  prefixes: readonly number[],
  { now, most }: { now: number; most: number },
): PrefixMatch[] {
  const matches: PrefixMatch[] = [];
  for (
    let block = prefixes.length - 1;
    block >= 0 && matches.length < most;
    block--
  ) {
    const holders = index.holders.get(prefixes[block] as number);
    if (holders === undefined) continue;
    for (const [target, at] of [...holders].reverse()) {
      const known = matches.some((match) => match.target === target);
      if (known || now - at > HINT_LIFE_MS || matches.length >= most) continue;
      matches.push({ target, blocks: block + 1 });
    }
  }
  return matches;
}
