/**
 * A set of names that can be sampled at random in constant time.
 *
 * @module
 */
import { nextIndex, type Random } from "../util/random.ts";

/** Names in no particular order, with the position of each. */
export interface FreeList {
  names: string[];
  positions: Map<string, number>;
}

/** Creates an empty set. */
export function createFreeList(): FreeList {
  return { names: [], positions: new Map() };
}

/** Adds or removes a name. */
export function setFree(
  list: FreeList,
  name: string,
  { free }: { free: boolean },
): void {
  const position = list.positions.get(name);
  if (free && position === undefined) {
    list.positions.set(name, list.names.length);
    list.names.push(name);
  }
  if (free || position === undefined) return;
  const last = list.names.pop() as string;
  list.positions.delete(name);
  if (last === name) return;
  list.names[position] = last;
  list.positions.set(last, position);
}

/** Draws up to `count` different names at random. */
export function sampleFree(
  list: FreeList,
  count: number,
  { random }: { random: Random },
): string[] {
  if (list.names.length <= count) return [...list.names];
  const drawn = new Set<string>();
  while (drawn.size < count) {
    drawn.add(list.names[nextIndex(random, list.names.length)] as string);
  }
  return [...drawn];
}
