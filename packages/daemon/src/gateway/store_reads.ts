/**
 * Reads the store: the routing configuration, the runners and the registered daemons; and registers this daemon.
 *
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import {
  batchDelayOf,
  type DaemonEntry,
  type EventBody,
  isLeader,
  type LogEventName,
  type Runner,
  type State,
  type TimelineFloor,
} from "@primroseshed/core";
import { monotonicNow } from "../driver/driver.ts";
import type { Adapters } from "./adapters.ts";
import { operatorEvents } from "./operator_events.ts";
import type { GatewaySettingsFile } from "./settings.ts";
import { subscribeToTopic, type TopicUpdate } from "./topic_subscription.ts";

/** Options of {@link startStoreReads}. */
export interface StoreReadsOptions {
  adapters: Adapters;
  settings: GatewaySettingsFile["store"];
  state: State;
  /** Returns by how much the event loop is late, ms. */
  lateMs(): number;
  dispatch(event: EventBody): void;
  log(event: LogEventName, fields?: Record<string, unknown>): void;
}

/** The reads of the store. */
export interface StoreReads {
  /** Begins to read all data and then its changes, or ends it. */
  setEnabled(isEnabled: boolean): void;
  /** Reads all runners again. */
  rereadRunners(): void;
  /** Reads again whatever was read in another timeline of the store. */
  catchUp(timeline: number): void;
  /** Registers this daemon once more. */
  register(): void;
  /** Records a floor of the store's timeline, in place of the one before. */
  recordFloor(floor: TimelineFloor): void;
  stop(): void;
}

/** Interval at which a daemon registers again, ms; registrations expire after a few intervals. */
const REGISTER_INTERVAL_MS = 3_600_000;
/** Pause after a failed write, ms. */
const RETRY_MS = 1_000;

function runnersEvent(update: TopicUpdate<Runner>): EventBody {
  const { records, isWhole, position, confirmedAt } = update;
  const newest = new Map(records.map(({ key, value }) => [key, value]));
  const runners = [...newest.values()].filter((each) => each !== undefined);
  const removedIds = [...newest].filter(([, value]) => value === undefined)
    .map(([key]) => key);
  return {
    kind: "runners_read",
    runners,
    removedIds,
    isWhole,
    position,
    confirmedAt,
  };
}

function daemonsEvent(
  { records, isWhole }: TopicUpdate<DaemonEntry>,
): EventBody {
  const daemons = records.map(({ value }) => value)
    .filter((each) => each !== undefined);
  return { kind: "daemons_read", daemons, isWhole, isPassedOn: false };
}

function floorsEvent({ records }: TopicUpdate<TimelineFloor>): EventBody {
  return {
    kind: "floors_read",
    floors: records.flatMap(({ value }) => value ?? []),
  };
}

/** Starts the reads of the store, as far as this daemon is to read it. */
export function startStoreReads(
  { adapters, settings, state, lateMs, dispatch, log }: StoreReadsOptions,
): StoreReads {
  const { readSharing, routingFreshness, runnersFreshness, groupPlanner } =
    state.gateway!;
  const { self } = readSharing;
  const { isReading: isEnabled } = readSharing;
  const { firstStart, readTimes } = state.gateway!.settings;
  const maxGatherMs = Math.min(settings.maxGatherMs, readTimes.runnersWaitMs);

  function deliver(
    { position }: TopicUpdate<unknown>,
    ...events: readonly EventBody[]
  ) {
    const { timeline } = position;
    if (timeline !== state.gateway!.storeTimeline.current) {
      dispatch({ kind: "timeline_seen", timeline });
    }
    for (const event of events) dispatch(event);
  }
  const routing = subscribeToTopic({
    name: "routing",
    topic: adapters.operatorRecords,
    waitMs: readTimes.routingWaitMs,
    isConfirmed: () => routingFreshness.confirmedAt !== undefined,
    batchDelayMs: () => 0,
    lateMs,
    onUpdate: (update) => deliver(update, ...operatorEvents(update)),
    log,
  }, { isEnabled });
  const runners = subscribeToTopic({
    name: "runners",
    topic: adapters.runners,
    waitMs: readTimes.runnersWaitMs,
    isConfirmed: () => runnersFreshness.confirmedAt !== undefined,
    batchDelayMs: () =>
      batchDelayOf({ ...settings, maxGatherMs }, {
        runners: state.gateway!.runners.size,
        isPlanner: isLeader(groupPlanner.leadership, monotonicNow()),
      }),
    lateMs,
    onUpdate: (update) => deliver(update, runnersEvent(update)),
    log,
  }, { isEnabled });
  const daemons = subscribeToTopic({
    name: "daemons",
    topic: adapters.daemonRegistry.daemons,
    waitMs: settings.daemonsWaitMs,
    isConfirmed: () => true,
    batchDelayMs: () => settings.daemonsGatherMs,
    onUpdate(update) {
      deliver(update, daemonsEvent(update));
      // Read once by every daemon, then only by those that read the store.
      daemons.setEnabled(readSharing.isReading);
    },
    log,
  }, { isEnabled: self !== undefined });
  const floors = subscribeToTopic({
    name: "timeline_floors",
    topic: adapters.floorRegistry.floors,
    waitMs: settings.routingWaitMs,
    isConfirmed: () => true,
    batchDelayMs: () => 0,
    onUpdate(update) {
      deliver(update, floorsEvent(update));
      if (!needsFloors()) floors.setEnabled(false);
    },
    log,
  }, { isEnabled: isEnabled && needsFloors() });
  const topics = [routing, runners, daemons, floors];
  let registerTimer: NodeJS.Timeout | undefined;
  let floorToRecord: TimelineFloor | undefined;
  let isStopped = false;

  /** Returns whether a floor decides what this daemon begins with. */
  function needsFloors(): boolean {
    return !firstStart && state.gateway!.routing === undefined;
  }

  async function recordFloor(floor: TimelineFloor): Promise<void> {
    floorToRecord = floor;
    while (floorToRecord === floor && !isStopped) {
      try {
        await adapters.floorRegistry.write(state.node.name, floor);
        return;
      } catch (error) {
        log("floor_unrecorded", {
          ...floor,
          cause: (error as Error).message,
        });
        await sleep(RETRY_MS);
      }
    }
  }

  async function register(entry: DaemonEntry): Promise<void> {
    clearTimeout(registerTimer);
    let pauseMs = REGISTER_INTERVAL_MS;
    try {
      await adapters.daemonRegistry.register(entry);
    } catch (error) {
      log("daemon_unregistered", { cause: (error as Error).message });
      pauseMs = RETRY_MS;
    }
    clearTimeout(registerTimer);
    if (isStopped) return;
    registerTimer = setTimeout(() => void register(entry), pauseMs);
  }
  if (self !== undefined) void register(self);

  return {
    setEnabled(value) {
      routing.setEnabled(value);
      runners.setEnabled(value);
      floors.setEnabled(value && needsFloors());
      if (readSharing.daemons !== undefined) daemons.setEnabled(value);
    },
    rereadRunners: () => runners.reread(),
    catchUp(timeline) {
      for (const each of topics) each.catchUp(timeline);
    },
    register() {
      if (self !== undefined) void register(self);
    },
    recordFloor: (floor) => void recordFloor(floor),
    stop() {
      isStopped = true;
      clearTimeout(registerTimer);
      for (const each of topics) each.stop();
    },
  };
}
