/**
 * Passes on what this daemon reads from the store to the daemons that follow it: its data once, then each change.
 *
 * Followers get only the runners that can serve requests, since only the planner of the groups needs the others.
 *
 * @module
 */
import type { EventOf } from "../event/types.ts";
import { ageOf } from "../gateway/freshness.ts";
import { canServe } from "../gateway/runner_index.ts";
import type { RoutingDocument, Runner } from "../gateway/types.ts";
import { shareEvacuations } from "../placement/evacuations.ts";
import { listReadings } from "../quarantine/readings.ts";
import { type Effects, noEffects } from "../reduce_types.ts";
import type { State } from "../state/types.ts";
import { isBefore } from "../store_timeline/position.ts";
import { isStoreReader } from "./reader.ts";
import type { DaemonEntry, UpstreamMessage } from "./types.ts";

/** Handles a poll of a follower: sends it the data that it lacks, and how old that is. */
export function* answerPoll(
  state: State,
  { follower: id, poll, runnersPosition }: EventOf<"follower_polled">,
): Effects {
  const gateway = state.gateway!;
  const { readSharing } = gateway;
  const follower = readSharing.followers.get(id) ?? { hasSnapshot: false };
  readSharing.followers.set(id, follower);
  const isReader = isStoreReader(state) && gateway.routing !== undefined &&
    readSharing.hasWholeList;
  // A follower never goes back to data that is older than its own.
  if (
    isReader && !follower.hasSnapshot &&
    !isBefore(readSharing.runnersPosition, runnersPosition)
  ) {
    follower.hasSnapshot = true;
    yield sendTo([id], createSnapshot(state));
  }
  const knownAge = (age: number) => Number.isFinite(age) ? age : undefined;
  yield sendTo([id], {
    kind: "poll_answer",
    poll,
    isReader: isReader && follower.hasSnapshot,
    timeline: gateway.storeTimeline.current,
    routingAgeMs: knownAge(ageOf(gateway.routingFreshness, state.now)),
    runnersAgeMs: knownAge(ageOf(gateway.runnersFreshness, state.now)),
    evacuations: shareEvacuations(gateway),
  });
}

/** Handles the end of a follower's connection. */
export function removeFollower(
  state: State,
  { follower }: EventOf<"follower_left">,
): Effects {
  const { readSharing, admission } = state.gateway!;
  readSharing.followers.delete(follower);
  admission.holdingsSharing.parts.delete(follower);
  return noEffects();
}

function createSnapshot({ gateway, quarantine, now }: State): UpstreamMessage {
  const { readSharing, routing, runners } = gateway!;
  return {
    kind: "snapshot",
    routing: routing?.document,
    runners: [...runners.values()].filter(canServe),
    runnersPosition: readSharing.runnersPosition,
    daemons: [
      ...(readSharing.daemons?.values() ?? []),
      ...(readSharing.self === undefined ? [] : [readSharing.self]),
    ],
    parts: listReadings(quarantine, now),
    evacuations: shareEvacuations(gateway!),
  };
}

function sendTo(followers: string[], message: UpstreamMessage) {
  return { kind: "send_to_followers" as const, followers, message };
}

/** Sends a message to the followers that have this daemon's data. */
export function* publish(state: State, message: UpstreamMessage): Effects {
  const { followers } = state.gateway!.readSharing;
  const ids = [...followers].filter(([, { hasSnapshot }]) => hasSnapshot)
    .map(([id]) => id);
  if (ids.length > 0) yield sendTo(ids, message);
}

/** Sends a new configuration to the followers. */
export function publishRouting(
  state: State,
  document: RoutingDocument,
): Effects {
  return publish(state, { kind: "routing", document });
}

/** Sends the daemons that were just registered to the followers. */
export function publishDaemons(state: State, daemons: DaemonEntry[]): Effects {
  return publish(state, { kind: "daemons", daemons });
}

/** Sends the followers what changed among the runners that can serve requests. */
export function* publishRunners(
  state: State,
  { read, removedIds }: { read: readonly Runner[]; removedIds: string[] },
): Effects {
  const { readSharing, runners: known } = state.gateway!;
  const { published, runnersPosition } = readSharing;
  const runners: Runner[] = [];
  const departedIds = removedIds.filter((id) => published.delete(id));
  const removed = [...departedIds];
  for (const { id } of read) {
    const runner = known.get(id);
    if (runner === undefined || published.get(id) === runner) continue;
    if (canServe(runner)) {
      published.set(id, runner);
      runners.push(runner);
    } else if (published.delete(id)) removed.push(id);
  }
  if (runners.length === 0 && removed.length === 0) return;
  yield* publish(state, {
    kind: "runners",
    runners,
    removedIds: removed,
    departedIds,
    runnersPosition,
  });
}
