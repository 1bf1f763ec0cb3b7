/**
 * Indexes which targets probably hold which prompt prefixes. Entries are hints only: their number is bounded, and they
 * expire.
 *
 * @module
 */

/** Targets by prefix hash, least recently used first. */
export interface PrefixIndex {
  holders: Map<number, Map<string, number>>;
}

/** Largest number of prefixes indexed for each deployment. */
const MAX_PREFIXES = 20_000;
/** Largest number of targets indexed for each prefix. */
const MAX_HOLDERS = 4;
/** Age above which hints are ignored, ms. */
const HINT_TTL_MS = 120_000;

/** Creates an empty index. */
export function createPrefixIndex(): PrefixIndex {
  return { holders: new Map() };
}

/** Records that a target holds a prefix as of `now`. */
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

/** Records that a target no longer holds a prefix. */
export function removeHolder(
  index: PrefixIndex,
  prefix: number,
  { target }: { target: string },
): void {
  const holders = index.holders.get(prefix);
  holders?.delete(target);
  if (holders?.size === 0) index.holders.delete(prefix);
}

/** A target with the number of a prompt's leading blocks that it probably holds. */
export interface PrefixMatch {
  target: string;
  blocks: number;
}

/** Returns the targets that hold the most of a prompt, best first, at most `max` of them. */
export function matchPrefixes(
  index: PrefixIndex,
  prefixes: readonly number[],
  { now, max }: { now: number; max: number },
): PrefixMatch[] {
  const matches: PrefixMatch[] = [];
  for (
    let block = prefixes.length - 1;
    block >= 0 && matches.length < max;
    block--
  ) {
    const holders = index.holders.get(prefixes[block] as number);
    if (holders === undefined) continue;
    for (const [target, at] of [...holders].reverse()) {
      const known = matches.some((match) => match.target === target);
      if (known || now - at > HINT_TTL_MS || matches.length >= max) continue;
      matches.push({ target, blocks: block + 1 });
    }
  }
  return matches;
}
