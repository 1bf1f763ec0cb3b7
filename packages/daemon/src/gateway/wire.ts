/**
 * Connects the parts of a gateway: the reducer, the listeners, and the adapters of the systems around it.
 *
 * @module
 */
import {
  createState,
  type Effect,
  type EventBody,
  isLeaderCandidate,
  readTimesOf,
  type State,
} from "@primroseshed/core";
import { type Connect, createConnect } from "../backend/answer_agent.ts";
import { probePath } from "../backend/path_probe.ts";
import { createAgents } from "../backend/transport.ts";
import {
  createDriver,
  type EffectHandlers,
  monotonicNow,
} from "../driver/driver.ts";
import { createLoopWatch } from "../observe/loop_watch.ts";
import { createErrorReport } from "../observe/error_report.ts";
import { createLogger, type Logger } from "../observe/logger.ts";
import { createIdentity } from "../startup.ts";
import type { Adapters, HealthCheckResult } from "./adapters.ts";
import { createCallerListener, INITIAL_LIMITS } from "./caller_listener.ts";
import { createDaemonIntake } from "../intake/daemon_intake.ts";
import { createReadyListener, listen } from "./ready_listener.ts";
import { createLeadershipRenewal } from "./leadership_renewal.ts";
import { createGatewayMetrics } from "./metrics.ts";
import { createOperatorListener } from "./operator_listener.ts";
import type { Relay } from "./relay.ts";
import type { GatewaySettingsFile } from "./settings.ts";
import { createForwardKey, createForwardListener } from "./forward_listener.ts";
import { startFollowerListener } from "./follower_listener.ts";
import { startPartSharing } from "./part_sharing.ts";
import { startStoreReads } from "./store_reads.ts";
import { createUpstreamClient } from "./upstream_client.ts";

/** A running gateway. */
export interface GatewayDaemon {
  state: State;
  /** Begins a graceful stop. */
  stop(): void;
  /** Applies the log level of changed settings; the others keep their values until the next start. */
  reload(changed: GatewaySettingsFile): void;
  /** Logs an error that nothing in the daemon has handled. */
  reportError(error: unknown): void;
  /** Stops at once and aborts the requests in flight. */
  kill(): void;
  /** Resolves with the number of interrupted requests once the gateway has stopped. */
  stopped: Promise<number>;
}

/** Options of {@link createGatewayDaemon}. */
export interface GatewayDaemonOptions {
  adapters: Adapters;
  logger?: Logger;
  /** Opens connections to runners; sockets of the operating system by default. */
  connect?: Connect;
}

const MS_PER_SECOND = 1_000;
/** Remaining grace time at which the last connections are closed, ms. */
const EXIT_MARGIN_MS = 200;

/**
 * Creates and starts a gateway.
 *
 * @example
 * ```ts
 * const daemon = await createGatewayDaemon(loadGatewaySettings(file), { adapters });
 * process.once("SIGTERM", () => daemon.stop());
 * await daemon.stopped;
 * ```
 */
export async function createGatewayDaemon(
  settings: GatewaySettingsFile,
  { adapters, logger: givenLogger, connect }: GatewayDaemonOptions,
): Promise<GatewayDaemon> {
  const { node, store, timing, bounds, regions, hedging, isCapacityShared } =
    settings;
  const { incarnation, seed } = createIdentity();
  const forwardKey = createForwardKey();
  const { followers: followersAddress } = settings.listen;
  const state = createState(
    {
      name: node.name,
      zone: node.zone,
      site: node.zone,
      incarnation,
      balancerLagMs: 0,
    },
    {
      seed,
      now: monotonicNow(),
      gateway: {
        ...bounds,
        readTimes: readTimesOf({ ...bounds, ...store }),
        regions,
        hedging,
        isCapacityShared,
        retryWindowMs: bounds.retryWindowS * MS_PER_SECOND,
        graceMs: bounds.graceS * MS_PER_SECOND,
        self: followersAddress === undefined ? undefined : {
          node: node.name,
          zone: node.zone,
          address: followersAddress,
          incarnation,
          cores: node.cores,
          forwardKey,
        },
      },
    },
  );
  const logger = givenLogger ??
    createLogger({ level: settings.log.level, node: node.name, to: "stdout" });
  const log: Logger["write"] = (event, fields) => logger.write(event, fields);
  const agents = createAgents({
    connectTimeoutMs: timing.connectTimeoutMs,
    onConnect: (address) => dispatch({ kind: "runner_connected", address }),
    ...connect && { connect },
  });
  const relays = new Map<string, Relay>();
  const metrics = createGatewayMetrics(state, {
    now: monotonicNow,
    droppedLines: () => logger.droppedLines(),
  });
  const intake = createDaemonIntake({ node, limits: INITIAL_LIMITS, log });
  const dispatch = (event: EventBody) => driver.dispatch(event);
  let resolveStopped: (interruptedRequests: number) => void;
  const stopped = new Promise<number>((resolve) => resolveStopped = resolve);

  async function sendOrder(
    { runner, address, fence, validUntil, order }: Extract<
      Effect,
      { kind: "order_runner" }
    >,
  ): Promise<void> {
    if (monotonicNow() >= validUntil) {
      log("order_dropped", { runner, fence });
      return dispatch({
        kind: "order_completed",
        runner,
        fence,
        outcome: "refused",
      });
    }
    const outcome = await adapters.runnerControl.order(address, {
      runner,
      fence,
      order,
    }).catch(() => "unknown" as const);
    dispatch({ kind: "order_completed", runner, fence, outcome });
  }

  async function checkHealth(runner: string, address: string): Promise<void> {
    const { status, report, problem } = await adapters.runnerControl
      .checkHealth(address, { runner }).catch((
        error: Error,
      ): HealthCheckResult => ({
        status: "silent",
        problem: error.message,
      }));
    if (problem !== undefined) {
      log("entry_unreadable", { topic: "report", key: runner, problem });
    }
    dispatch({ kind: "runner_checked", runner, status, report });
  }

  /** Runs work that nothing waits for; a failure of an adapter must not end the process. */
  function runDetached(work: Promise<void>): void {
    work.catch(errors.report);
  }

  async function probe(runner: string, address: string): Promise<void> {
    const timeoutMs = timing.connectTimeoutMs;
    const isReachable = await probePath(address, {
      connect: connect ?? createConnect(),
      timeoutMs,
    });
    dispatch({ kind: "path_probed", runner, isReachable });
  }

  /** Ends a request of which an effect has failed; its later effects find nothing to act on. */
  function abandonRequest(request: string): void {
    const relay = relays.get(request);
    relays.delete(request);
    relay?.abandon();
    forwards.abandon(request);
  }

  const errors = createErrorReport({ log, abandonRequest });
  const handlers: Partial<EffectHandlers> = {
    send_to_runner: (effect) => relays.get(effect.request)?.send(effect),
    relay: ({ request, attempt }) => relays.get(request)?.relay(attempt),
    cancel: ({ request, attempt }) => relays.get(request)?.cancel(attempt),
    refuse: (effect) => relays.get(effect.request)?.refuse(effect),
    finish: ({ request }) => relays.get(request)?.finish(),
    begin_term: () => leadership.beginTerm(),
    order_runner: (effect) => runDetached(sendOrder(effect)),
    check_runner: ({ runner, address }) =>
      runDetached(checkHealth(runner, address)),
    limits_in_force({ limits }) {
      callers.setLimits(limits);
      intake.setLimits(limits);
    },
    probe_path: ({ runner, address }) => runDetached(probe(runner, address)),
    forward: (effect) => forwards.forward(effect),
    refuse_forward: (effect) => forwards.refuse(effect),
    first_event: (effect) => metrics.observeFirstEvent(effect),
    log({ event, fields }) {
      log(event, fields);
      metrics.count(event, fields);
    },
    read_store({ isEnabled }) {
      storeReads.setEnabled(isEnabled);
      partSharing.setEnabled(isEnabled);
    },
    reread_runners: () => storeReads.rereadRunners(),
    catch_up_with_store({ timeline }) {
      storeReads.catchUp(timeline);
      partSharing.catchUp(timeline);
    },
    register_daemon: () => storeReads.register(),
    record_floor: ({ floor }) => storeReads.recordFloor(floor),
    follow_daemon: ({ node, address }) => upstream.follow(node, address),
    unfollow_daemon: () => upstream.unfollow(),
    send_to_upstream: ({ message }) => upstream.send(message),
    send_to_followers: ({ followers: ids, message }) =>
      followers?.send(ids, message),
    share_parts: ({ records }) => partSharing.write(records),
    forget_parts: ({ parts }) => partSharing.delete(parts),
    exit({ interruptedRequests }) {
      const { graceEndsAt } = state.gateway!;
      const maxWaitMs = graceEndsAt - EXIT_MARGIN_MS - monotonicNow();
      runDetached(
        callers.close({ maxWaitMs }).then(() => shutDown(interruptedRequests)),
      );
    },
  };

  const driver = createDriver({
    state,
    handlers,
    onError: errors.reportFailure,
    onDelay: createLoopWatch({
      registry: metrics.registry,
      log,
      describeLoad: () => ({
        requests: state.gateway!.requests.size,
        forwards: state.gateway!.forwarding.inFlight.size,
        followerUnreadBytes: followers?.unreadBytes() ?? 0,
      }),
    }),
  });
  const callers = createCallerListener({
    headerCodec: adapters.headerCodec,
    agents,
    relays,
    gate: intake.gate,
    buffers: intake.buffers,
    isStopping: () => state.phase !== "serving",
    dispatch,
    log,
  });
  const forwards = createForwardListener({
    headerCodec: adapters.headerCodec,
    agents,
    forwardKey,
    gate: intake.gate,
    maxBodyBytes: () => callers.limits().maxBodyBytes,
    dispatch,
    log,
  });
  const ready = createReadyListener({
    state,
    path: adapters.headerCodec.readyPath,
    now: monotonicNow,
  });
  const operators = createOperatorListener({
    state,
    metrics,
    now: monotonicNow,
  });

  intake.attach(callers.server, {
    registry: metrics.registry,
    internal: [ready, operators],
  });

  function shutDown(interruptedRequests: number): void {
    intake.stop();
    storeReads.stop();
    partSharing.stop();
    upstream.unfollow();
    followers?.close();
    leadership.stop();
    callers.server.close();
    callers.server.closeAllConnections();
    for (const server of [ready, operators]) server.close();
    operators.closeAllConnections();
    driver.stop();
    resolveStopped(interruptedRequests);
  }

  await listen(callers.server, settings.listen.callers);
  await listen(ready, settings.listen.ready);
  await listen(operators, settings.listen.operators);
  log("started", { ...settings.listen, zone: node.zone, incarnation });
  const upstream = createUpstreamClient({
    connectTimeoutMs: timing.connectTimeoutMs,
    runnersPosition: () => state.gateway!.readSharing.runnersPosition,
    readTimes: state.gateway!.settings.readTimes,
    dispatch,
    log,
  });
  const followers = followersAddress === undefined
    ? undefined
    : await startFollowerListener({
      address: followersAddress,
      maxConnections: intake.maxDaemons,
      onRequest: forwards.handle,
      dispatch,
      log,
      onSent: metrics.countFollowerBytes,
    });
  const leadership = createLeadershipRenewal({
    leaderElection: adapters.leaderElection,
    member: `${node.name}#${incarnation}`,
    intervalMs: store.dutyEveryMs,
    isCandidate: () => isLeaderCandidate(state),
    dispatch,
    log,
  });
  const storeReads = startStoreReads({
    adapters,
    settings: store,
    state,
    lateMs: () => driver.lateMs(),
    dispatch,
    log,
  });

  const partSharing = startPartSharing({
    registry: adapters.partRegistry,
    waitMs: store.partsWaitMs,
    isEnabled: state.gateway!.readSharing.isReading,
    dispatch,
    log,
  });

  return {
    state,
    stop: () => dispatch({ kind: "gateway_stop_ordered" }),
    reload(changed) {
      logger.setLevel(changed.log.level);
      log("settings_reloaded", { level: changed.log.level });
    },
    reportError: errors.report,
    kill: () => shutDown(state.gateway!.requests.size),
    stopped,
  };
}
