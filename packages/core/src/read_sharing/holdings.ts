/**
 * Shares between the daemons of an availability zone how many requests they hold, by route and team.
 *
 * Followers send their own counts to the daemon that they follow; that one sends all its followers the sum. Counts are
 * repeated while there are any, and dropped after a silence, so that a lost message has no lasting effect.
 *
 * @module
 */
import {
  addHoldings,
  currentParts,
  keepSent,
  largestHoldings,
  MAX_HOLDING_ROWS,
  withoutOwn,
} from "../admission/holdings_parts.ts";
import {
  MAX_HOLDINGS_AGE_MS,
  ownHoldings,
  setZoneHoldings,
} from "../admission/shares.ts";
import type { HoldingsReport } from "../admission/types.ts";
import type { EventOf } from "../event/types.ts";
import type { Effects } from "../reduce_types.ts";
import type { State } from "../state/types.ts";
import { hashText } from "../util/hash.ts";
import { tupleKey } from "../util/tuple_key.ts";
import type { DaemonEntry } from "./types.ts";

/** Shortest time between two reports of a daemon, ms. */
export const HOLDINGS_INTERVAL_MS = 400;
/** Time after which counts that stay the same are sent again, ms; they are dropped after a second of silence. */
export const HOLDINGS_REPEAT_MS = 500;

/** Handles the counts of a follower, or the sum of the zone from the daemon that this one follows. */
export function applyHoldings(
  { gateway, now }: State,
  { holdings, follower }: EventOf<"limits_reported">,
): void {
  const { admission, readSharing } = gateway!;
  const { holdingsSharing } = admission;
  if (holdings === undefined) return;
  if (holdings.zone !== readSharing.self?.zone) return;
  const rows = holdings.rows.slice(0, MAX_HOLDING_ROWS);
  const report = { ...holdings, rows };
  if (follower !== undefined) {
    if (!readSharing.followers.has(follower)) return;
    holdingsSharing.parts.set(follower, { report, heardAt: now });
  } else if (!readSharing.isReading) {
    const others = withoutOwn(holdingsSharing, report);
    const table = { holdings: others, ageMs: holdings.ageMs };
    setZoneHoldings(admission, table, { now });
  }
}

/** Returns this daemon's own counts for the daemon that it follows. */
function createOwnReport(
  { gateway }: State,
  { node, zone, incarnation }: DaemonEntry,
): HoldingsReport {
  const { admission } = gateway!;
  const number = String(admission.holdingsSharing.sentCount + 1);
  return {
    zone,
    ids: [hashText(tupleKey(node, incarnation, number))],
    ageMs: 0,
    rows: largestHoldings(ownHoldings(admission)),
  };
}

/** Returns the sum of the zone for the followers, and takes over the followers' part of it. */
function createSum(
  { gateway, now }: State,
  { zone }: DaemonEntry,
): HoldingsReport {
  const { admission } = gateway!;
  const parts = currentParts(admission.holdingsSharing, { now });
  const others = addHoldings(parts.flatMap(({ report }) => report.rows));
  const oldestMs = Math.max(0, ...parts.map(({ heardAt }) => now - heardAt));
  // A follower reports a change within the interval, so that a longer silence means the same counts.
  const ageMs = Math.round(Math.min(oldestMs, HOLDINGS_INTERVAL_MS));
  if (parts.length > 0) {
    setZoneHoldings(admission, { holdings: others, ageMs }, { now });
  }
  return {
    zone,
    ids: parts.flatMap(({ report }) => report.ids.slice(0, 1)),
    ageMs,
    rows: largestHoldings(addHoldings([...others, ...ownHoldings(admission)])),
  };
}

/** Returns whom this daemon sends counts to; undefined where it is nobody. */
function receiverOf({ gateway }: State): string | undefined {
  const { isReading, upstream } = gateway!.readSharing;
  if (isReading) return "followers";
  return upstream?.hasData
    ? tupleKey(upstream.node, String(upstream.since))
    : undefined;
}

/** Takes the counts that are to be sent now: changed ones, or the same again after a while; undefined where none are. */
export function takeDueHoldings(state: State): HoldingsReport | undefined {
  const { gateway, now } = state;
  const { self, isReading } = gateway!.readSharing;
  const sharing = gateway!.admission.holdingsSharing;
  const receiver = receiverOf(state);
  if (self === undefined || receiver === undefined) return undefined;
  if (now < sharing.nextAt) return undefined;
  const report = isReading
    ? createSum(state, self)
    : createOwnReport(state, self);
  if (isReading) {
    const repeatAt = sharing.repeatAt > now ? sharing.repeatAt : Infinity;
    sharing.nextAt = Math.min(now + HOLDINGS_INTERVAL_MS, repeatAt);
  }
  const content = JSON.stringify([receiver, report.rows]);
  const isKnown = content === sharing.lastContent ||
    (sharing.lastContent === undefined && report.rows.length === 0);
  const isRepeatDue = report.rows.length > 0 && now >= sharing.repeatAt;
  if (isKnown && !isRepeatDue) return undefined;
  sharing.lastContent = content;
  sharing.nextAt = now + HOLDINGS_INTERVAL_MS;
  sharing.repeatAt = now + HOLDINGS_REPEAT_MS;
  if (!isReading) {
    sharing.sentCount += 1;
    keepSent(sharing, report);
  }
  return report;
}

/** Drops counts of the zone that are too old to be used. */
export function* expireHoldings({ gateway, now }: State): Effects {
  const { admission, readSharing } = gateway!;
  const { zone } = admission;
  if (zone === undefined) return;
  const ageMs = Math.round(now - zone.countedAt);
  if (ageMs <= MAX_HOLDINGS_AGE_MS) return;
  admission.zone = undefined;
  if (zone.table.holdings.length === 0) return;
  yield {
    kind: "log",
    event: "zone_counts_outdated",
    fields: { ageMs, upstream: readSharing.upstream?.node },
  };
}
