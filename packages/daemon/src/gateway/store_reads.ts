/**
 * Reads the store: the routing configuration, the runners and the registered daemons; and registers this daemon.
 *
 * @module
 */
import {
  batchDelayOf,
  type DaemonEntry,
  type EventBody,
  isLeader,
  type LogEventName,
  type RoutingDocument,
  type Runner,
  type State,
} from "@primroseshed/core";
import { monotonicNow } from "../driver/driver.ts";
import type { Adapters } from "./adapters.ts";
import type { GatewaySettingsFile } from "./settings.ts";
import { subscribeToTopic, type TopicUpdate } from "./topic_subscription.ts";

/** Options of {@link startStoreReads}. */
export interface StoreReadsOptions {
  adapters: Adapters;
  settings: GatewaySettingsFile["store"];
  state: State;
  dispatch(event: EventBody): void;
  log(event: LogEventName, fields?: Record<string, unknown>): void;
}

/** The reads of the store. */
export interface StoreReads {
  /** Begins to read all data and then its changes, or ends it. */
  setEnabled(isEnabled: boolean): void;
  /** Reads all runners again. */
  rereadRunners(): void;
  stop(): void;
}

/** Interval at which a daemon registers again, ms; registrations expire after a few intervals. */
const REGISTER_INTERVAL_MS = 3_600_000;
/** Pause after a failed registration, ms. */
const REGISTER_RETRY_MS = 1_000;

function runnersEvent(update: TopicUpdate<Runner>): EventBody {
  const { records, isWhole, offset, confirmedAt } = update;
  const newest = new Map(records.map(({ key, value }) => [key, value]));
  const runners = [...newest.values()].filter((each) => each !== undefined);
  const removedIds = [...newest].filter(([, value]) => value === undefined)
    .map(([key]) => key);
  return {
    kind: "runners_read",
    runners,
    removedIds,
    isWhole,
    offset,
    confirmedAt,
  };
}

function routingEvent(update: TopicUpdate<RoutingDocument>): EventBody {
  const { records, confirmedAt } = update;
  const documents = records.map(({ value }) => value)
    .filter((each) => each !== undefined)
    .sort((left, right) => left.version - right.version);
  const document = documents.at(-1);
  return document === undefined
    ? { kind: "freshness_confirmed", topic: "routing", confirmedAt }
    : { kind: "routing_read", document, confirmedAt };
}

function daemonsEvent(
  { records, isWhole }: TopicUpdate<DaemonEntry>,
): EventBody {
  const daemons = records.map(({ value }) => value)
    .filter((each) => each !== undefined);
  return { kind: "daemons_read", daemons, isWhole, isPassedOn: false };
}

/** Starts the reads of the store, as far as this daemon is to read it. */
export function startStoreReads(
  { adapters, settings, state, dispatch, log }: StoreReadsOptions,
): StoreReads {
  const { readSharing, routingFreshness, runnersFreshness, groupPlanner } =
    state.gateway!;
  const { self } = readSharing;
  const { isReading: isEnabled } = readSharing;
  const routing = subscribeToTopic({
    name: "routing",
    topic: adapters.routing,
    waitMs: settings.routingWaitMs,
    isConfirmed: () => routingFreshness.confirmedAt !== undefined,
    batchDelayMs: () => 0,
    onUpdate: (update) => dispatch(routingEvent(update)),
    log,
  }, { isEnabled });
  const runners = subscribeToTopic({
    name: "runners",
    topic: adapters.runners,
    waitMs: settings.runnersWaitMs,
    isConfirmed: () => runnersFreshness.confirmedAt !== undefined,
    batchDelayMs: () =>
      batchDelayOf(settings, {
        runners: state.gateway!.runners.size,
        isPlanner: isLeader(groupPlanner.leadership, monotonicNow()),
      }),
    onUpdate: (update) => dispatch(runnersEvent(update)),
    log,
  }, { isEnabled });
  const daemons = subscribeToTopic({
    name: "daemons",
    topic: adapters.daemonRegistry.daemons,
    waitMs: settings.daemonsWaitMs,
    isConfirmed: () => true,
    batchDelayMs: () => settings.daemonsGatherMs,
    onUpdate(update) {
      dispatch(daemonsEvent(update));
      // Read once by every daemon, then only by those that read the store.
      daemons.setEnabled(readSharing.isReading);
    },
    log,
  }, { isEnabled: self !== undefined });
  let registerTimer: NodeJS.Timeout | undefined;

  async function register(entry: DaemonEntry): Promise<void> {
    let pauseMs = REGISTER_INTERVAL_MS;
    try {
      await adapters.daemonRegistry.register(entry);
    } catch (error) {
      log("daemon_unregistered", { cause: (error as Error).message });
      pauseMs = REGISTER_RETRY_MS;
    }
    registerTimer = setTimeout(() => void register(entry), pauseMs);
  }
  if (self !== undefined) void register(self);

  return {
    setEnabled(value) {
      routing.setEnabled(value);
      runners.setEnabled(value);
      if (readSharing.daemons !== undefined) daemons.setEnabled(value);
    },
    rereadRunners: () => runners.reread(),
    stop() {
      clearTimeout(registerTimer);
      for (const each of [routing, runners, daemons]) each.stop();
    },
  };
}
