/**
 * A set of names that can be sampled at random in constant time.
 *
 * @module
 */
import { nextIndex, type Random } from "../util/random.ts";

/** Names in no particular order, with the position of each. */
export interface RandomSet {
  names: string[];
  positions: Map<string, number>;
}

/** Creates an empty set. */
export function createRandomSet(): RandomSet {
  return { names: [], positions: new Map() };
}

/** Adds or removes a name. */
export function setIncluded(
  set: RandomSet,
  name: string,
  { included }: { included: boolean },
): void {
  const position = set.positions.get(name);
  if (included && position === undefined) {
    set.positions.set(name, set.names.length);
    set.names.push(name);
  }
  if (included || position === undefined) return;
  const last = set.names.pop() as string;
  set.positions.delete(name);
  if (last === name) return;
  set.names[position] = last;
  set.positions.set(last, position);
}

/** Draws up to `count` different names at random. */
export function sampleNames(
  set: RandomSet,
  count: number,
  { random }: { random: Random },
): string[] {
  if (set.names.length <= count) return [...set.names];
  const drawn = new Set<string>();
  while (drawn.size < count) {
    drawn.add(set.names[nextIndex(random, set.names.length)] as string);
  }
  return [...drawn];
}
