/**
 * Decides which connections stay open where there are more than the descriptors allow.
 *
 * @module
 */

/** Connections of one listener. */
export interface ConnectionTable<C> {
  maxCount: number;
  /** Connections with a request that is being read or answered, and the number of these. */
  busy: Map<C, number>;
  /** Connections without a request, the one that has been so for longest first, and since when, ms. */
  idle: Map<C, number>;
}

/** Creates the table of a listener without connections. */
export function createConnectionTable<C>(
  { maxCount }: { maxCount: number },
): ConnectionTable<C> {
  return { maxCount, busy: new Map(), idle: new Map() };
}

/**
 * Adds a connection.
 *
 * @returns The connection to close for it: the one that has been without a request for longest, or, where all have
 * requests, the new one; undefined where there is room.
 */
export function openConnection<C>(
  table: ConnectionTable<C>,
  connection: C,
  { now }: { now: number },
): C | undefined {
  const { busy, idle, maxCount } = table;
  const isFull = busy.size + idle.size >= maxCount;
  const [longestIdle] = idle.keys();
  if (isFull && longestIdle === undefined) return connection;
  idle.set(connection, now);
  if (!isFull) return undefined;
  idle.delete(longestIdle!);
  return longestIdle;
}

/** Records a request on a connection. */
export function beginRequest<C>(
  { busy, idle }: ConnectionTable<C>,
  connection: C,
): void {
  const wasIdle = idle.delete(connection);
  const count = busy.get(connection);
  if (wasIdle || count !== undefined) {
    busy.set(connection, (count ?? 0) + 1);
  }
}

/** Records the end of a request on a connection. */
export function endRequest<C>(
  { busy, idle }: ConnectionTable<C>,
  connection: C,
  { now }: { now: number },
): void {
  const count = busy.get(connection);
  if (count === undefined) return;
  if (count > 1) return void busy.set(connection, count - 1);
  busy.delete(connection);
  idle.set(connection, now);
}

/** Removes a connection that has closed. */
export function closeConnection<C>(
  { busy, idle }: ConnectionTable<C>,
  connection: C,
): void {
  busy.delete(connection);
  idle.delete(connection);
}
