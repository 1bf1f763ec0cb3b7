/**
 * Positions in a log of the store.
 *
 * An offset alone does not identify a record: a store that was replaced by an older copy of itself gives offsets out
 * again. Each such replacement begins a new timeline, with a higher number.
 *
 * @module
 */

/** Position in a log of the store. */
export interface LogPosition {
  /** Number of times that the store was replaced by an older copy. */
  timeline: number;
  /** Number of the next record within the timeline. */
  offset: number;
}

/** Position before every record. */
export const LOG_START: LogPosition = { timeline: 0, offset: 0 };

/**
 * Returns whether a position lies before another one. Every position of a timeline lies before those of later ones.
 *
 * @example
 * ```ts
 * isBefore({ timeline: 1, offset: 900 }, { timeline: 2, offset: 700 }); // true
 * ```
 */
export function isBefore(left: LogPosition, right: LogPosition): boolean {
  return left.timeline < right.timeline ||
    (left.timeline === right.timeline && left.offset < right.offset);
}

/** Returns the later one of two positions. */
export function laterOf(left: LogPosition, right: LogPosition): LogPosition {
  return isBefore(left, right) ? right : left;
}
