/**
 * Connects the parts of a daemon: the reducer, the listeners, the mesh of peers and the clients of the platform.
 *
 * @module
 */
import { createCacheFeed } from "./backend/cache_feed.ts";
import { createOrderSender } from "./backend/orders.ts";
import { createStatusPoll } from "./backend/status_poll.ts";
import type { Connect } from "./backend/answer_agent.ts";
import { createAgents } from "./backend/transport.ts";
import {
  createDriver,
  type Driver,
  type EffectHandlers,
  monotonicNow,
} from "./driver/driver.ts";
import { createPeerRelay, isRelayed } from "./http/peer_relay.ts";
import { createCallerApp } from "./http/caller_app.ts";
import type { Exchange, Exchanges } from "./http/exchanges.ts";
import { createOperatorApp } from "./http/operator_app.ts";
import { createLogClient } from "./log_service/log_client.ts";
import { createLogTail } from "./log_service/log_tail.ts";
import { createErrorReport } from "./observe/error_report.ts";
import { createLogger, type Logger } from "./observe/logger.ts";
import { createLoopWatch } from "./observe/loop_watch.ts";
import { createMetrics } from "./observe/metrics.ts";
import { createMesh } from "./peers/mesh.ts";
import { createVmListPoll } from "./peers/vm_list.ts";
import type { LoadedSettings } from "./settings/load.ts";
import {
  createIdentity,
  createIntakeOf,
  createSigner,
  listenOn,
  listPeers,
  readPeerTls,
} from "./startup.ts";
import {
  createState,
  type Effect,
  type LogRecord,
  type State,
  usagePayload,
} from "@primroseshed/core";

/** Addresses a daemon listens on. */
export interface Addresses {
  callers: string;
  operators: string;
  peers: string;
}

/** A running daemon. */
export interface Daemon {
  state: State;
  addresses: Addresses;
  /** Begins a graceful stop; a second call shortens it. */
  stop(): void;
  /** Logs an error that nothing in the daemon has handled. */
  reportError(error: unknown): void;
  /** Replaces the peers' key for new connections. */
  setPeerKey(key: string): void;
  /** Resolves with the number of interrupted requests once the daemon has stopped. */
  stopped: Promise<number>;
}

const CACHE_POLL_MS = 1_000;
const NOT_FOUND = 404;
const PEER_REFRESH_MS = 1_000;

/** Options of {@link createDaemon}. */
export interface DaemonOptions {
  /** Destination of log events; standard error by default. */
  logger?: Logger;
  /** Opens connections to backend servers; sockets of the operating system by default. */
  connect?: Connect;
}

/**
 * Creates and starts a daemon.
 *
 * @example
 * ```ts
 * const daemon = await createDaemon(loadSettings("node.jsonc"));
 * process.once("SIGTERM", () => daemon.stop());
 * await daemon.stopped;
 * ```
 */
export async function createDaemon(
  loaded: LoadedSettings,
  options: DaemonOptions = {},
): Promise<Daemon> {
  const { settings, document, peerKey, usageKey } = loaded;
  const { name, zone, site } = settings.node;
  const { balancerLagMs } = settings.timing;
  const { incarnation, seed } = createIdentity(settings.seed);
  const state = createState({ name, zone, site, incarnation, balancerLagMs }, {
    seed,
    now: monotonicNow(),
  });
  const logger = options.logger ??
    createLogger({ level: settings.log.level, node: name });
  const metrics = createMetrics(state);
  const exchanges: Exchanges = new Map();
  const agents = createAgents({
    connectTimeoutMs: settings.timing.connectTimeoutMs,
    ...options.connect && { connect: options.connect },
  });
  const signUsage = createSigner(usageKey);
  const dispatch: Driver["dispatch"] = (event) => driver.dispatch(event);
  const { log: logAddress, vms: vmsAddress } = settings.platform;
  let resolveStopped: (interruptedRequests: number) => void;
  const stopped = new Promise<number>((resolve) => resolveStopped = resolve);

  function withExchange(
    act: (exchange: Exchange) => void,
    request: string,
  ): void {
    const exchange = exchanges.get(request);
    if (exchange !== undefined) act(exchange);
  }

  /** Ends a request of which an effect has failed; its later effects find nothing to act on. */
  function abandonRequest(request: string): void {
    const exchange = exchanges.get(request);
    exchanges.delete(request);
    exchange?.abandon();
  }

  const write: Logger["write"] = (event, fields) => logger.write(event, fields);
  const errors = createErrorReport({ log: write, abandonRequest });
  const handlers: Partial<EffectHandlers> = {
    send: (effect) =>
      withExchange((exchange) => exchange.send(effect), effect.request),
    cancel: ({ request, attempt }) =>
      withExchange((exchange) => exchange.cancel(attempt), request),
    refuse: (effect) =>
      withExchange((exchange) => exchange.refuse(effect), effect.request),
    finish: ({ request }) =>
      withExchange((exchange) => exchange.finish(), request),
    replay: ({ request, response }) =>
      withExchange((exchange) => exchange.replay(response), request),
    append: ({ records }) => tail.append(records),
    reload_fold: () => tail.reload(),
    write_snapshot: ({ record }) =>
      tail.writeSnapshot(record as unknown as LogRecord),
    peer_send: ({ peer, message }) => mesh.send(peer, message),
    watch: ({ members }) => poll.watch(members),
    order: (effect) => void sendOrder(effect),
    sign_usage(effect) {
      const entry = `${name}#${incarnation}`;
      const signature = signUsage(usagePayload({ ...effect, entry }));
      dispatch({
        kind: "usage_signed",
        sequence: effect.sequence,
        counters: effect.counters,
        signature,
      });
    },
    resync_cache: ({ target, address }) => cacheFeed.resync(target, address),
    config_in_force: () => undefined,
    log: ({ event, fields }) => logger.write(event, fields),
    observe: ({ sample }) => metrics.observe(sample),
    exit: ({ interruptedRequests }: Extract<Effect, { kind: "exit" }>) =>
      void shutDown(interruptedRequests),
  };

  const driver = createDriver({
    state,
    handlers,
    onError: errors.reportFailure,
    onDelay: createLoopWatch({
      registry: metrics.registry,
      log: write,
      describeLoad: () => ({ requests: state.requests.size }),
    }),
  });
  const sendOrder = createOrderSender({ agent: agents.reusing, log: write });
  const {
    statusPollMs,
    statusTimeoutMs,
    vmListPollMs,
    logPollMs,
    groupCommitMs,
  } = settings.timing;
  const poll = createStatusPoll({
    agent: agents.reusing,
    state,
    everyMs: statusPollMs,
    timeoutMs: statusTimeoutMs,
    dispatch,
    log: logger.write,
  });
  const cacheFeed = createCacheFeed({
    agent: agents.reusing,
    state,
    everyMs: CACHE_POLL_MS,
    dispatch,
  });
  const peerTls = readPeerTls(settings);
  const mesh = createMesh({
    self: { name, zone, incarnation },
    listen: settings.listen.peers,
    key: peerKey,
    ...peerTls,
    onRequest(request, response) {
      if (isRelayed(request)) callers.emit("request", request, response);
      else response.writeHead(NOT_FOUND).end();
    },
    dispatch,
    log: write,
  });
  const intake = createIntakeOf(settings, write);
  const relay = createPeerRelay({
    state,
    tls: peerTls.tls,
    connectTimeoutMs: settings.timing.connectTimeoutMs,
    firstByteTimeoutMs: settings.timing.firstByteTimeoutMs,
    maxBodyBytes: settings.limits.maxBodyBytes,
    gate: intake.gate,
    listPeers: () => listPeers(settings, state),
    log: write,
  });
  const callers = createCallerApp({
    settings,
    state,
    exchanges,
    agents,
    relay,
    gate: intake.gate,
    dispatch,
    log: write,
  });
  const operators = createOperatorApp({
    settings,
    state,
    metrics,
    dispatch,
    log: write,
  });

  intake.attach(callers, { registry: metrics.registry, internal: [operators] });

  async function shutDown(interruptedRequests: number): Promise<void> {
    intake.stop();
    clearInterval(peerTimer);
    stopVmList();
    tail.stop();
    poll.stop();
    cacheFeed.stop();
    mesh.stop();
    relay.stop();
    for (const server of [callers, operators]) server.close();
    for (const exchange of [...exchanges.values()]) exchange.abandon();
    callers.closeAllConnections();
    operators.closeIdleConnections();
    driver.stop();
    await Promise.all([agents.reusing.destroy(), agents.fresh.destroy()]);
    resolveStopped(interruptedRequests);
  }

  const peersPort = await mesh.listen();
  const addresses: Addresses = {
    callers: await listenOn(callers, settings.listen.callers),
    operators: await listenOn(operators, settings.listen.operators),
    peers: `${settings.listen.peers.host}:${peersPort}`,
  };
  logger.write("started", { ...addresses, zone, site, incarnation });
  dispatch({ kind: "config_loaded", document });
  const tail = createLogTail({
    client: createLogClient(logAddress),
    state,
    dispatch,
    pollMs: logPollMs,
    groupCommitMs,
  });
  const stopVmList = vmsAddress === undefined
    ? () => undefined
    : createVmListPoll({
      address: vmsAddress,
      everyMs: vmListPollMs,
      dispatch,
      log: logger.write,
    });
  const refreshPeers = () => mesh.setPeers(listPeers(settings, state));
  refreshPeers();
  const peerTimer = setInterval(refreshPeers, PEER_REFRESH_MS);
  let stopCalls = 0;

  return {
    state,
    addresses,
    stop() {
      stopCalls += 1;
      dispatch({ kind: "stop_ordered", immediate: stopCalls > 1 });
    },
    reportError: errors.report,
    setPeerKey: (key) => mesh.setKey(key),
    stopped,
  };
}
