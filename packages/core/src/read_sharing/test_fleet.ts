/**
 * Simulates daemons that share their reads of a store, in virtual time and without a network.
 *
 * @module
 */
import type { Effect } from "../effect/types.ts";
import type { EventBody } from "../event/types.ts";
import type { RoutingDocument, Runner } from "../gateway/types.ts";
import {
  createDocument,
  createRunner,
  type GatewayHarness,
} from "../gateway/test_fixture.ts";
import type { LogPosition } from "../store_timeline/position.ts";
import {
  LATE_POLL_INTERVAL_MS,
  nextWaitOf,
  POLL_INTERVAL_MS,
  pollDelayOf,
  type ReadTimes,
  TRUSTED_WAIT_SHARE,
} from "./read_times.ts";
import {
  createDaemon,
  type LimitsEvent,
  limitsEventOf,
  type SimulatedDaemon,
} from "./test_daemon.ts";

export type { SimulatedDaemon } from "./test_daemon.ts";

/** A simulated fleet. */
export interface SimulatedFleet {
  daemons: SimulatedDaemon[];
  /** Configuration and runners that the store holds. */
  store: {
    document: RoutingDocument;
    runners: Runner[];
    evacuatedZones: string[];
    position: LogPosition;
    /** Time of the last change, ms. */
    changedAt: number;
  };
  /** Returns what arrives of a message of the kind `limits`, each time: nothing where it is lost. */
  limitsArriving(event: LimitsEvent): LimitsEvent[];
  advance(ms: number): void;
  /** Resets the connection of a daemon to its upstream, if it has one. */
  resetUpstream(daemon: SimulatedDaemon): void;
  /** Carries out an effect of a daemon. */
  deliver(from: GatewayHarness, effect: Effect): void;
  /** Returns the daemons that read the store. */
  readers(): SimulatedDaemon[];
  daemon(node: string): SimulatedDaemon;
}

const STEP_MS = 50;
const READ_INTERVAL_MS = 1_000;

/** Creates a fleet whose daemons start together. */
export function createFleet(
  zones: Readonly<Record<string, number>>,
  { stepMs = STEP_MS, evacuatedZones = [], answerMs, readTimes }: {
    stepMs?: number;
    evacuatedZones?: string[];
    /** Time that the store takes for an answer, ms; undefined where each reader reads once a second, without a wait. */
    answerMs?: number;
    readTimes?: ReadTimes;
  } = {},
): SimulatedFleet {
  const store = {
    document: createDocument(),
    runners: [createRunner("desk-0")],
    evacuatedZones,
    position: { timeline: 1, offset: 1 },
    changedAt: 0,
  };
  const daemons = Object.entries(zones).flatMap(([zone, count]) =>
    Array.from(
      { length: count },
      (_, index) => createDaemon(zone, { index, readTimes }),
    )
  );
  const entries = daemons.map(({ entry }) => entry);
  let now = 0;

  const daemon = (node: string) =>
    daemons.find(({ entry }) => entry.node === node)!;

  function deliver(to: SimulatedDaemon, effects: readonly Effect[]): void {
    for (const effect of effects) carryOut(to, effect);
  }

  function feed(to: SimulatedDaemon, event: EventBody): void {
    deliver(to, to.harness.feed(event));
  }

  function passLimits(to: SimulatedDaemon, event: LimitsEvent): void {
    for (const each of fleet.limitsArriving(event)) feed(to, each);
  }

  function carryOut(from: SimulatedDaemon, effect: Effect): void {
    if (effect.kind === "read_store") beginReads(from, effect);
    if (effect.kind === "reread_runners") beginReads(from, { isEnabled: true });
    if (effect.kind === "unfollow_daemon") endFollowing(from);
    if (effect.kind === "follow_daemon") {
      from.upstream = { node: effect.node, isOpen: false };
      from.nextPollAt = now;
    }
    if (effect.kind === "send_to_upstream" && from.upstream !== undefined) {
      const { message } = effect;
      const to = daemon(from.upstream.node);
      if (message.kind === "suspects") {
        feed(to, { kind: "suspects_reported", runners: message.runners });
      }
      if (message.kind === "limits") {
        const event = limitsEventOf(message, [from, to]);
        passLimits(to, { ...event, follower: from.entry.node });
      }
    }
    if (effect.kind !== "send_to_followers") return;
    for (const id of effect.followers) {
      receive(daemon(id), from.entry.node, effect.message);
    }
  }

  /** Closes the connection to the upstream, of which the upstream learns. */
  function endFollowing(by: SimulatedDaemon): string | undefined {
    const node = by.upstream?.node;
    by.upstream = undefined;
    if (node !== undefined) {
      feed(daemon(node), { kind: "follower_left", follower: by.entry.node });
    }
    return node;
  }

  function receive(
    to: SimulatedDaemon,
    node: string,
    message: Extract<Effect, { kind: "send_to_followers" }>["message"],
  ): void {
    if (!to.isUp || to.upstream?.node !== node) return;
    if (now >= daemon(node).silentSince || now >= to.silentSince) return;
    const evacuations = "evacuations" in message
      ? message.evacuations
      : undefined;
    if (evacuations !== undefined) {
      feed(to, { kind: "evacuations_read", ...evacuations });
    }
    if (message.kind === "snapshot") {
      feed(to, { kind: "upstream_began", node });
      feed(to, {
        kind: "runners_read",
        runners: message.runners,
        removedIds: [],
        isWhole: true,
        position: message.runnersPosition,
        confirmedAt: undefined,
      });
      feed(to, {
        kind: "daemons_read",
        daemons: message.daemons,
        isWhole: false,
        isPassedOn: true,
      });
    }
    if (message.kind === "suspects") {
      feed(to, { kind: "suspects_reported", runners: message.runners });
    }
    const readings = message.kind === "snapshot"
      ? message.parts
      : message.kind === "parts"
      ? message.readings
      : [];
    if (readings.length > 0) feed(to, { kind: "parts_read", readings });
    if (message.kind === "limits") {
      passLimits(to, limitsEventOf(message, [daemon(node), to]));
    }
    if (message.kind === "runners") {
      feed(to, {
        kind: "runners_read",
        runners: message.runners,
        removedIds: message.removedIds,
        departedIds: message.departedIds,
        isWhole: false,
        position: message.runnersPosition,
        confirmedAt: undefined,
      });
    }
    const document = message.kind === "snapshot"
      ? message.routing
      : message.kind === "routing"
      ? message.document
      : undefined;
    if (document !== undefined) {
      feed(to, { kind: "routing_read", document, confirmedAt: undefined });
    }
    if (message.kind !== "poll_answer") return;
    const { readTimes: times } = to.harness.state.gateway!.settings;
    to.nextPollAt = now +
      (message.isReader ? pollDelayOf(message, times) : LATE_POLL_INTERVAL_MS);
    feed(to, { ...message, kind: "upstream_answered", node, sentAt: now });
  }

  function beginReads(
    by: SimulatedDaemon,
    { isEnabled }: { isEnabled: boolean },
  ): void {
    by.read = undefined;
    if (!isEnabled) return;
    if (answerMs === undefined) return readStore(by);
    by.reads += 1;
    by.read = { sentAt: now, waitMs: 0 };
  }

  /** Ends a read that waits for a change once there is one, or its wait is over; that of a daemon without a path hangs. */
  function advanceRead(by: SimulatedDaemon, answerTakesMs: number): void {
    if (by.read === undefined || by.isCutFromStore) return;
    const { sentAt, waitMs } = by.read;
    const isChanged = store.changedAt > sentAt;
    const waitEndsAt = isChanged
      ? Math.min(sentAt + waitMs, store.changedAt)
      : sentAt + waitMs;
    if (now < waitEndsAt + answerTakesMs) return;
    const trustedMs = isChanged ? 0 : waitMs * TRUSTED_WAIT_SHARE;
    const { readTimes: times } = by.harness.state.gateway!.settings;
    by.read = {
      sentAt: now,
      waitMs: nextWaitOf(times.routingWaitMs, {
        answerMs: answerTakesMs,
        ageMs: now - sentAt - trustedMs,
      }),
    };
    readStore(by, sentAt + trustedMs);
  }

  function readStore(by: SimulatedDaemon, confirmedAt = now): void {
    by.reads += 1;
    if (by.isCutFromStore || now >= by.silentSince) return;
    const { document, runners, evacuatedZones: zones, position } = store;
    feed(by, { kind: "evacuations_read", zones, position });
    feed(by, {
      kind: "runners_read",
      runners,
      removedIds: [],
      isWhole: true,
      position,
      confirmedAt,
    });
    feed(by, { kind: "routing_read", document, confirmedAt });
  }

  function poll(by: SimulatedDaemon): void {
    const { upstream, entry } = by;
    if (upstream === undefined) return;
    by.nextPollAt = now + POLL_INTERVAL_MS;
    const target = daemon(upstream.node);
    if (!target.isUp) {
      by.upstream = undefined;
      return feed(by, {
        kind: "upstream_lost",
        node: upstream.node,
        cause: "closed",
      });
    }
    if (now >= target.silentSince || now >= by.silentSince) return;
    feed(target, {
      kind: "follower_polled",
      follower: entry.node,
      poll: now,
      runnersPosition: by.harness.state.gateway!.readSharing.runnersPosition,
    });
  }

  function step(): void {
    now += stepMs;
    const living = daemons.filter(({ isUp }) => isUp);
    for (const each of living) deliver(each, each.harness.advance(stepMs));
    for (const each of living) {
      const { isReading } = each.harness.state.gateway!.readSharing;
      if (answerMs !== undefined) advanceRead(each, answerMs);
      else if (isReading && now % READ_INTERVAL_MS === 0) readStore(each);
      if (now >= each.nextPollAt) poll(each);
      if (each.upstream !== undefined) each.upstream.isOpen = true;
    }
  }

  const fleet: SimulatedFleet = {
    daemons,
    store,
    limitsArriving: (event) => [event],
    daemon,
    advance(ms) {
      for (const end = now + ms; now < end;) step();
    },
    resetUpstream(by) {
      const node = endFollowing(by);
      if (node === undefined) return;
      feed(by, { kind: "upstream_lost", node, cause: "reset" });
    },
    deliver: (from, effect) =>
      carryOut(daemons.find(({ harness }) => harness === from)!, effect),
    readers: () =>
      daemons.filter(({ isUp, harness }) =>
        isUp && harness.state.gateway!.readSharing.isReading
      ),
  };
  for (const each of daemons) {
    feed(each, {
      kind: "daemons_read",
      daemons: entries,
      isWhole: true,
      isPassedOn: false,
    });
  }
  return fleet;
}
