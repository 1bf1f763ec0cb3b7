/**
 * Carries the messages between simulated daemons that share their reads of the store, and their reads.
 *
 * @module
 */
import {
  batchDelayOf,
  type Effect,
  type EventBody,
  pollDelayOf,
  type RoutingDocument,
  type Runner,
} from "@primroseshed/core";
import type { Clock } from "../fleet/clock.ts";
import type { ListChange } from "./runner_pool.ts";
import type { SimulatedDaemon } from "./daemon_fleet.ts";

type EffectOf<K extends Effect["kind"]> = Extract<Effect, { kind: K }>;

/** The store as the daemons read it. */
export interface SimulatedStore {
  document: RoutingDocument;
  /** Listed runners by id. */
  listed: Map<string, Runner>;
  offset: number;
}

/** Network between daemons, and between them and the store. */
export interface ReadNetwork {
  store: SimulatedStore;
  /** Applies a change of the list; the daemons that read the store learn of it when their next read is due. */
  change(change: ListChange): void;
  /** Carries out an effect on reads or messages; returns false where it is of another kind. */
  carryOut(from: SimulatedDaemon, effect: Effect): boolean;
  /** Confirms the data of all daemons that read the store. */
  confirmReads(): void;
}

/** Time of a message between two daemons, ms. */
const MESSAGE_MS = 1;
/** Time of an answer of the store, ms. */
const STORE_ANSWER_MS = 8;
/** Interval of the polls of an upstream that has not answered, ms. */
const FIRST_POLL_MS = 100;

/** Times for which daemons batch changes of the list, ms. */
const BATCH_DELAYS = {
  gatherMs: 200,
  gatherMsPerRunner: 5,
  maxGatherMs: 1_500,
  plannerGatherMs: 40,
  plannerGatherMsPerRunner: 0.5,
  maxPlannerGatherMs: 120,
};

/** Creates the network of a fleet of daemons. */
export function createReadNetwork(
  clock: Clock,
  { document, daemonOf }: {
    document: RoutingDocument;
    daemonOf(node: string): SimulatedDaemon;
  },
): ReadNetwork {
  const store: SimulatedStore = { document, listed: new Map(), offset: 1 };
  const readers = new Set<SimulatedDaemon>();
  const changed = new Map<SimulatedDaemon, Set<string>>();
  const position = () => ({ timeline: 1, offset: store.offset });

  function feedLater(to: SimulatedDaemon, event: EventBody): void {
    clock.after(MESSAGE_MS, () => to.feed(event));
  }

  function readAll(by: SimulatedDaemon): void {
    const confirmedAt = clock.now;
    clock.after(STORE_ANSWER_MS, () => {
      by.feed({ kind: "evacuations_read", zones: [], position: position() });
      by.feed({
        kind: "runners_read",
        runners: [...store.listed.values()],
        removedIds: [],
        isWhole: true,
        position: position(),
        confirmedAt,
      });
      by.feed({ kind: "routing_read", document, confirmedAt });
    });
  }

  /** Reads what has changed since the last read of a daemon. */
  function readChanges(by: SimulatedDaemon): void {
    const ids = [...changed.get(by) ?? []];
    changed.delete(by);
    if (!readers.has(by)) return;
    by.feed({
      kind: "runners_read",
      runners: ids.flatMap((id) => store.listed.get(id) ?? []),
      removedIds: ids.filter((id) => !store.listed.has(id)),
      isWhole: false,
      position: position(),
      confirmedAt: clock.now - STORE_ANSWER_MS,
    });
  }

  function receive(
    to: SimulatedDaemon,
    node: string,
    message: EffectOf<"send_to_followers">["message"],
  ): void {
    if (to.upstream !== node) return;
    if (message.kind === "snapshot") {
      to.feed({ kind: "upstream_began", node });
      to.feed({
        kind: "runners_read",
        runners: message.runners,
        removedIds: [],
        isWhole: true,
        position: message.runnersPosition,
        confirmedAt: undefined,
      });
      if (message.routing !== undefined) {
        const { routing } = message;
        to.feed({
          kind: "routing_read",
          document: routing,
          confirmedAt: undefined,
        });
      }
    }
    if (message.kind === "runners") {
      to.feed({
        ...message,
        kind: "runners_read",
        isWhole: false,
        position: message.runnersPosition,
        confirmedAt: undefined,
      });
    }
    if (message.kind === "suspects") {
      to.feed({ kind: "suspects_reported", runners: message.runners });
    }
    if (message.kind === "limits") {
      to.feed({ ...message, kind: "limits_reported" });
    }
    if (message.kind !== "poll_answer") return;
    to.feed({
      ...message,
      kind: "upstream_answered",
      node,
      sentAt: clock.now - 2 * MESSAGE_MS,
    });
    const { readTimes } = to.state.gateway!.settings;
    schedulePoll(to, pollDelayOf(message, readTimes));
  }

  function schedulePoll(by: SimulatedDaemon, delayMs: number): void {
    const node = by.upstream;
    clock.after(delayMs, () => {
      if (node === undefined || by.upstream !== node) return;
      const { runnersPosition } = by.state.gateway!.readSharing;
      feedLater(daemonOf(node), {
        kind: "follower_polled",
        follower: by.entry.node,
        poll: Math.round(clock.now),
        runnersPosition,
      });
    });
  }

  const handlers: {
    [K in Effect["kind"]]?: (
      from: SimulatedDaemon,
      effect: EffectOf<K>,
    ) => void;
  } = {
    read_store(from, { isEnabled }) {
      if (!isEnabled) return void readers.delete(from);
      readers.add(from);
      readAll(from);
    },
    reread_runners: readAll,
    follow_daemon(from, { node }) {
      from.upstream = node;
      schedulePoll(from, 0);
      // Its first poll may come before the upstream has any data.
      schedulePoll(from, FIRST_POLL_MS);
    },
    unfollow_daemon(from, { node }) {
      from.upstream = undefined;
      feedLater(daemonOf(node), {
        kind: "follower_left",
        follower: from.entry.node,
      });
    },
    send_to_upstream(from, { message }) {
      if (from.upstream === undefined) return;
      const to = daemonOf(from.upstream);
      if (message.kind === "suspects") {
        feedLater(to, { kind: "suspects_reported", runners: message.runners });
      }
      if (message.kind === "limits") {
        const follower = from.entry.node;
        feedLater(to, { ...message, kind: "limits_reported", follower });
      }
    },
    send_to_followers(from, { followers, message }) {
      for (const id of followers) {
        const to = daemonOf(id);
        clock.after(MESSAGE_MS, () => receive(to, from.entry.node, message));
      }
    },
  };

  return {
    store,
    change({ runner, entry }) {
      store.offset += 1;
      if (entry === undefined) store.listed.delete(runner);
      else store.listed.set(runner, entry);
      for (const reader of readers) {
        const known = changed.get(reader);
        if (known !== undefined) {
          known.add(runner);
          continue;
        }
        changed.set(reader, new Set([runner]));
        const delayMs = batchDelayOf(BATCH_DELAYS, {
          runners: store.listed.size,
          isPlanner: reader.isPlanner,
        });
        clock.after(delayMs + STORE_ANSWER_MS, () => readChanges(reader));
      }
    },
    carryOut(from, effect) {
      const handle = handlers[effect.kind] as
        | ((from: SimulatedDaemon, effect: Effect) => void)
        | undefined;
      handle?.(from, effect);
      return handle !== undefined;
    },
    confirmReads() {
      for (const reader of readers) {
        const confirmedAt = clock.now;
        for (const topic of ["routing", "runners"] as const) {
          reader.feed({ kind: "freshness_confirmed", topic, confirmedAt });
        }
      }
    },
  };
}
