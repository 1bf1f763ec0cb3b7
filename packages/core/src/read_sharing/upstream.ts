/**
 * Decides from where a daemon gets its data: from the store, or from another daemon that it follows.
 *
 * The first daemon of each availability zone reads the store, the others follow it, so that calls to the store grow
 * with the zones and not with the daemons. A follower dates its data by when it sent its poll, less the age that the
 * upstream reports, so that data never seems fresher than the read that confirmed it. A daemon follows only daemons
 * that read the store themselves.
 *
 * @module
 */
import type { EventOf } from "../event/types.ts";
import { isLeader } from "../formation/leadership.ts";
import { confirm } from "../gateway/freshness.ts";
import { type Effects, noEffects } from "../reduce_types.ts";
import type { State } from "../state/types.ts";
import { applyTimeline } from "../store_timeline/handlers.ts";
import {
  AVOID_UPSTREAM_MS,
  MAX_AVOID_UPSTREAM_MS,
  NOT_READING_MS,
  START_AVOID_MS,
  START_JITTER_MS,
  START_PATIENCE_MS,
  UPSTREAM_SILENCE_MS,
  UPSTREAM_START_MS,
} from "./constants.ts";
import { dataAge, isOutdated, knownAge } from "./data_age.ts";
import { isStoreReader } from "./reader.ts";
import type { DaemonEntry, ReadSharing, Upstream } from "./types.ts";

/** Handles the answer of the upstream to a poll. */
export function* confirmUpstream(
  state: State,
  event: EventOf<"upstream_answered">,
): Effects {
  const { readSharing, routingFreshness, runnersFreshness } = state.gateway!;
  const upstream = followed(readSharing, event.node);
  if (upstream === undefined) return;
  upstream.heardAt = state.now;
  const { timeline } = event;
  if (timeline !== undefined) yield* applyTimeline(state, { timeline });
  if (!event.isReader) {
    const hasWaited = state.now - upstream.since > NOT_READING_MS;
    if (upstream.hasData || hasWaited) {
      yield* leaveUpstream(state, "not_reading");
    }
    return;
  }
  if (!upstream.hasData) return;
  const { sentAt: measuredAt, routingAgeMs, runnersAgeMs } = event;
  if (routingAgeMs !== undefined) {
    confirm(routingFreshness, measuredAt - routingAgeMs, { measuredAt });
  }
  if (runnersAgeMs !== undefined) {
    confirm(runnersFreshness, measuredAt - runnersAgeMs, { measuredAt });
  }
  readSharing.avoided.delete(event.node);
  upstream.hasConfirmed = true;
  // Until then its data may be older than what this daemon reads.
  if (!upstream.isTemporary && !isOutdated(state)) {
    yield* setReading(state, false);
  }
}

/** Handles the loss of the connection to the upstream. */
export function* loseUpstream(
  state: State,
  { node, cause }: EventOf<"upstream_lost">,
): Effects {
  if (followed(state.gateway!.readSharing, node) === undefined) return;
  yield* leaveUpstream(state, cause);
  yield* updateSource(state);
}

function followed(
  { upstream }: ReadSharing,
  node: string,
): Upstream | undefined {
  return upstream?.node === node ? upstream : undefined;
}

/** Handles the first data of the upstream, which replaces what this daemon knew. */
export function acceptUpstream(
  state: State,
  { node }: EventOf<"upstream_began">,
): Effects {
  const { readSharing } = state.gateway!;
  const upstream = followed(readSharing, node);
  if (upstream === undefined) return noEffects();
  upstream.hasData = true;
  upstream.heardAt = state.now;
  readSharing.hasWholeList = false;
  forgetFollowers(readSharing);
  return noEffects();
}

function* leaveUpstream(state: State, cause: string): Effects {
  const { readSharing } = state.gateway!;
  const { node, isTemporary, hasData } = readSharing.upstream!;
  avoid(state, node);
  readSharing.upstream = undefined;
  yield {
    kind: "log",
    event: "upstream_left",
    fields: { upstream: node, cause, configAge: knownAge(state) },
  };
  yield { kind: "unfollow_daemon", node };
  // The upstream sent only the runners that serve requests.
  if (isTemporary && hasData) yield { kind: "reread_runners" };
}

function avoid({ gateway, now }: State, node: string): void {
  const { readSharing, routingFreshness } = gateway!;
  if (routingFreshness.confirmedAt === undefined) {
    readSharing.avoided.set(node, {
      failures: 0,
      until: now + START_AVOID_MS,
    });
    return;
  }
  const failures = (readSharing.avoided.get(node)?.failures ?? 0) + 1;
  const avoidMs = AVOID_UPSTREAM_MS * 2 ** (failures - 1);
  readSharing.avoided.set(node, {
    failures,
    until: now + Math.min(MAX_AVOID_UPSTREAM_MS, avoidMs),
  });
}

/** Checks the upstream, and follows another daemon or reads the store where it fails. */
export function* updateSource(state: State): Effects {
  const { readSharing, groupPlanner } = state.gateway!;
  if (readSharing.self === undefined || state.phase === "stopped") return;
  const { upstream } = readSharing;
  const isLeading = isLeader(groupPlanner.leadership, state.now);
  const cause = upstream && findFault(state, upstream, { isLeading });
  if (cause !== undefined) yield* leaveUpstream(state, cause);
  if (readSharing.upstream === undefined && !isLeading) {
    yield* followNext(state);
  }
  if (isLeading || mustRead(state)) yield* setReading(state, true);
}

/** Returns why the upstream is to be left; undefined while it serves. */
function findFault(
  state: State,
  upstream: Upstream,
  { isLeading }: { isLeading: boolean },
): string | undefined {
  const { now } = state;
  if (isLeading) return "leading";
  if (upstream.isTemporary && isStoreReader(state)) return "store_regained";
  if (now - upstream.heardAt > UPSTREAM_SILENCE_MS) return "silent";
  if (upstream.hasConfirmed && isOutdated(state)) return "outdated";
  const isLate = !upstream.hasData && now - upstream.since > UPSTREAM_START_MS;
  return isLate ? "no_data" : undefined;
}

function* followNext(state: State): Effects {
  const { readSharing, settings } = state.gateway!;
  const { ranked: { ahead, others }, avoided, isReading } = readSharing;
  const isUsable = ({ node }: DaemonEntry) =>
    (avoided.get(node)?.until ?? -Infinity) <= state.now;
  const isFailing = isReading && !isStoreReader(state) &&
    dataAge(state) > settings.readTimes.upstreamAgeMs;
  const preferred = ahead.find(isUsable);
  const next = preferred ?? (isFailing ? others.find(isUsable) : undefined);
  if (next === undefined) return;
  const { node, address } = next;
  readSharing.upstream = {
    node,
    since: state.now,
    heardAt: state.now,
    hasData: false,
    hasConfirmed: false,
    isTemporary: preferred === undefined,
  };
  yield {
    kind: "log",
    event: "upstream_followed",
    fields: {
      upstream: node,
      isTemporary: preferred === undefined,
      configAge: knownAge(state),
    },
  };
  yield { kind: "follow_daemon", node, address };
}

/** Returns whether this daemon has to read the store itself. */
function mustRead(state: State): boolean {
  const { readSharing, routingFreshness, settings } = state.gateway!;
  const { ranked: { ahead }, upstream, patience, daemons } = readSharing;
  const isStarting = routingFreshness.confirmedAt === undefined;
  if (upstream === undefined && daemons !== undefined) {
    // After a common start, those ahead may not listen yet.
    if (ahead.length === 0 || !isStarting) return true;
  }
  const { ownReadAgeMs, ownReadSpreadMs } = settings.readTimes;
  const limit = isStarting
    ? START_PATIENCE_MS + patience * START_JITTER_MS
    : ownReadAgeMs + patience * ownReadSpreadMs;
  return dataAge(state) > limit;
}

/** Makes every follower get all data again, since it is not told of what changes from now on. */
function forgetFollowers({ followers, published }: ReadSharing): void {
  published.clear();
  for (const follower of followers.values()) follower.hasSnapshot = false;
}

function* setReading(state: State, isReading: boolean): Effects {
  const { readSharing } = state.gateway!;
  if (readSharing.isReading === isReading) return;
  readSharing.isReading = isReading;
  if (isReading) readSharing.readingSince = state.now;
  readSharing.hasWholeList = false;
  forgetFollowers(readSharing);
  yield {
    kind: "log",
    event: isReading ? "store_reading_began" : "store_reading_ended",
    fields: {
      upstream: readSharing.upstream?.node,
      configAge: knownAge(state),
    },
  };
  yield { kind: "read_store", isEnabled: isReading };
}
