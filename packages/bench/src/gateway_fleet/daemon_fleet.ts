/**
 * Runs the real cores of a fleet of daemons in virtual time, and carries out what they decide.
 *
 * @module
 */
import {
  createState,
  type DaemonEntry,
  type Effect,
  type EventBody,
  nextTimerAt,
  readTimesOf,
  reduce,
  type RoutingDocument,
  type State,
} from "@primroseshed/core";
import type { Clock } from "../fleet/clock.ts";
import type { Task } from "./engine.ts";
import { createReadNetwork, type ReadNetwork } from "./read_sharing.ts";
import { type RunnerPool, SERVICE } from "./runner_pool.ts";
import type { Scenario } from "./scenario.ts";

type EffectOf<K extends Effect["kind"]> = Extract<Effect, { kind: K }>;
type LogLine = Pick<EffectOf<"log">, "event" | "fields">;

/** A simulated daemon. */
export interface SimulatedDaemon {
  entry: DaemonEntry;
  zone: number;
  state: State;
  /** Node of the daemon that it follows. */
  upstream: string | undefined;
  /** True while it leads the group planner. */
  isPlanner: boolean;
  feed(event: EventBody): void;
}

/** What a caller's request is at the runners. */
export interface Work {
  promptTokens: number;
  outputTokens: number;
}

/** The caller's side of one try of a request. */
export interface CallerLink {
  work: Work;
  onEvent(event: number): void;
  onComplete(): void;
  onRefused(
    refusal: { isNotRun: boolean; retryAfterMs: number | undefined },
  ): void;
}

/** Simulated daemons of a deployment. */
export interface DaemonFleet {
  daemons: SimulatedDaemon[];
  network: ReadNetwork;
  /** Registers the caller of a request that is about to arrive at a daemon. */
  connect(request: string, link: CallerLink): void;
  disconnect(request: string): void;
  /** Passes the leadership of the group planner to another daemon that reads the store. */
  changePlanner(): void;
  /** Called with each log line of a daemon. */
  onLog(daemon: SimulatedDaemon, line: LogLine): void;
}

/** Time of a message between a daemon and a runner, one way, ms. */
const IN_ZONE_MS = 0.2;
const CROSS_ZONE_MS = 1.4;
/** Time in which a daemon hands a request to a connection, ms. */
const SEND_MS = 1;
const CONTROL_MS = 4;
const HEALTH_TIMEOUT_MS = 350;
const ORDER_TIMEOUT_MS = 800;
const RENEW_INTERVAL_MS = 330;
const CONFIRM_INTERVAL_MS = 500;
const TERM_MS = 12;

const STATUS_OK = 200;
const STATUS_UNAVAILABLE = 503;
const STATUS_MISDIRECTED = 421;

/** One attempt of a request at a runner. */
interface RunningAttempt {
  task: Task;
  runner: string;
  /** False once the daemon has cancelled it. */
  isCurrent: boolean;
}

/** Creates the daemons of a scenario. */
export function createDaemonFleet(
  clock: Clock,
  { scenario, document, pool, seed, settings }: {
    scenario: Scenario;
    document: RoutingDocument;
    pool: RunnerPool;
    seed: number;
    /** Settings beside those of the scenario. */
    settings: { isCapacityShared: boolean };
  },
): DaemonFleet {
  const byNode = new Map<string, SimulatedDaemon>();
  const daemonOf = (node: string) => byNode.get(node)!;
  const network = createReadNetwork(clock, { document, daemonOf });
  const links = new Map<string, CallerLink>();
  const attempts = new Map<string, RunningAttempt>();
  let termCount = 0;

  const attemptKey = (request: string, attempt: number) =>
    `${request}/${attempt}`;

  function wayTo({ zone }: SimulatedDaemon, runner: string): number {
    return pool.runners.get(runner)?.zone === zone ? IN_ZONE_MS : CROSS_ZONE_MS;
  }

  function send(
    daemon: SimulatedDaemon,
    { request, attempt, runner: id, urgency, resumeAfter }: EffectOf<
      "send_to_runner"
    >,
  ): void {
    const link = links.get(request);
    if (link === undefined) return;
    const runner = pool.runners.get(id);
    // A connection to a machine that is gone hangs.
    if (runner === undefined || runner.isDark) return;
    const wayMs = wayTo(daemon, id);
    const key = attemptKey(request, attempt);
    let hasHeaders = false;
    const feed = (event: EventBody) => {
      clock.after(wayMs, () => {
        if (attempts.get(key)?.isCurrent) daemon.feed(event);
      });
    };
    const loadNow = () => runner.engine?.load();
    const start = (status: number, verdict: "ran" | "not_run") => {
      hasHeaders = true;
      const load = loadNow();
      feed({
        kind: "response_started",
        request,
        attempt,
        status,
        verdict,
        load,
      });
    };
    const reject = (status: number) => {
      start(status, "not_run");
      feed({
        kind: "response_ended",
        request,
        attempt,
        status,
        verdict: "not_run",
        isRelayable: false,
      });
    };
    const eventTokens = scenario.engine.speed!.stepsPerPass;
    const task: Task = {
      ...link.work,
      writtenBefore: Number(resumeAfter ?? 0) * eventTokens,
      urgency,
      onEvent(event) {
        if (runner.isDark) return;
        if (!hasHeaders) start(STATUS_OK, "ran");
        feed({
          kind: "response_progressed",
          request,
          attempt,
          lastEvent: String(event),
        });
        clock.after(wayMs, () => {
          if (attempts.get(key)?.isCurrent) links.get(request)?.onEvent(event);
        });
      },
      onEnd() {
        if (runner.isDark) return;
        feed({
          kind: "response_ended",
          request,
          attempt,
          status: STATUS_OK,
          verdict: "ran",
          isRelayable: true,
        });
      },
      onCut() {
        if (runner.isDark) return;
        const outcome = hasHeaders ? "body_cut_off" : "reset_after_send";
        feed({ kind: "response_failed", request, attempt, outcome });
      },
      onRejected() {
        if (!runner.isDark) reject(STATUS_UNAVAILABLE);
      },
    };
    attempts.set(key, { task, runner: id, isCurrent: true });
    clock.after(SEND_MS, () => {
      if (!attempts.get(key)?.isCurrent) return;
      daemon.feed({ kind: "attempt_sent", request, attempt });
      clock.after(wayMs, () => {
        if (!attempts.get(key)?.isCurrent || runner.isDark) return;
        if (runner.engine === undefined) reject(STATUS_MISDIRECTED);
        else runner.engine.submit(task);
      });
    });
  }

  function endAttempt(request: string, attempt: number): void {
    const key = attemptKey(request, attempt);
    const current = attempts.get(key);
    if (current === undefined) return;
    current.isCurrent = false;
    attempts.delete(key);
    const { task, runner } = current;
    clock.after(
      IN_ZONE_MS,
      () => pool.runners.get(runner)?.engine?.cancel(task),
    );
  }

  function sendOrder(
    daemon: SimulatedDaemon,
    { runner, fence, order }: EffectOf<"order_runner">,
  ): void {
    clock.after(CONTROL_MS / 2, () => {
      const outcome = pool.order(runner, order, fence);
      const delayMs = outcome === undefined ? ORDER_TIMEOUT_MS : CONTROL_MS / 2;
      clock.after(delayMs, () =>
        daemon.feed({
          kind: "order_completed",
          runner,
          fence,
          outcome: outcome ?? "unknown",
        }));
    });
  }

  function checkRunner(
    daemon: SimulatedDaemon,
    { runner }: EffectOf<"check_runner">,
  ): void {
    clock.after(CONTROL_MS / 2, () => {
      const report = pool.report(runner);
      const isAlive = report !== undefined;
      clock.after(
        isAlive ? CONTROL_MS / 2 : HEALTH_TIMEOUT_MS,
        () =>
          daemon.feed({
            kind: "runner_checked",
            runner,
            status: isAlive ? "alive" : "silent",
            report,
          }),
      );
    });
  }

  const handlers: {
    [K in Effect["kind"]]?: (
      daemon: SimulatedDaemon,
      effect: EffectOf<K>,
    ) => void;
  } = {
    send_to_runner: send,
    cancel: (_, { request, attempt }) => endAttempt(request, attempt),
    finish(_, { request }) {
      const link = links.get(request);
      links.delete(request);
      link?.onComplete();
    },
    refuse(_, { request, verdict, retryAfterMs }) {
      const link = links.get(request);
      links.delete(request);
      link?.onRefused({ isNotRun: verdict === "not_run", retryAfterMs });
    },
    order_runner: sendOrder,
    check_runner: checkRunner,
    begin_term(daemon) {
      termCount += 1;
      const term = termCount;
      clock.after(TERM_MS, () => daemon.feed({ kind: "term_begun", term }));
    },
    probe_path(daemon, { runner }) {
      const isReachable = pool.runners.get(runner)?.isDark === false;
      clock.after(
        CONTROL_MS,
        () => daemon.feed({ kind: "path_probed", runner, isReachable }),
      );
    },
    log: (daemon, { event, fields }) => fleet.onLog(daemon, { event, fields }),
  };

  function carryOut(daemon: SimulatedDaemon, effect: Effect): void {
    if (network.carryOut(daemon, effect)) return;
    const handle = handlers[effect.kind] as
      | ((daemon: SimulatedDaemon, effect: Effect) => void)
      | undefined;
    handle?.(daemon, effect);
  }

  function createDaemon(zone: number, index: number): SimulatedDaemon {
    const node = `z${zone}-${index}`;
    const entry: DaemonEntry = {
      node,
      zone: `z${zone}`,
      address: "127.0.0.1:1",
      incarnation: node,
      cores: index === 0 ? 2 : 1,
    };
    const { retryRatio, retrySlack, stallMs } = scenario.settings;
    const bounds = { configApplyMs: 3_000, drainMs: 3_000 };
    const state = createState({
      name: node,
      zone: entry.zone,
      site: entry.zone,
      incarnation: node,
      balancerLagMs: 0,
    }, {
      seed: seed * 1_000 + byNode.size,
      now: clock.now,
      gateway: {
        revokeMs: 5_000,
        configApplyMs: bounds.configApplyMs,
        readTimes: readTimesOf({
          ...bounds,
          routingWaitMs: 1_000,
          runnersWaitMs: 1_500,
        }),
        retryRatio,
        retrySlack,
        retryWindowMs: 10_000,
        graceMs: 8_000,
        stallMs,
        coldOverage: 1,
        coldSlack: 0,
        evacuateMs: 5_000,
        regions: {},
        firstStart: true,
        self: entry,
        ...settings,
      },
    });
    let timerAt = Infinity;
    const scheduleTimer = () => {
      const next = nextTimerAt(state) ?? Infinity;
      if (next >= timerAt) return;
      timerAt = next;
      clock.at(next, () => {
        if (timerAt !== next) return;
        timerAt = Infinity;
        daemon.feed({ kind: "tick" });
      });
    };
    const daemon: SimulatedDaemon = {
      entry,
      zone,
      state,
      upstream: undefined,
      isPlanner: false,
      feed(event) {
        for (const effect of reduce(state, { ...event, at: clock.now })) {
          carryOut(daemon, effect);
        }
        scheduleTimer();
      },
    };
    byNode.set(node, daemon);
    return daemon;
  }

  const daemons = scenario.daemonsByZone.flatMap((count, zone) =>
    Array.from({ length: count }, (_, index) => createDaemon(zone, index))
  );
  const entries = daemons.map(({ entry }) => entry);

  function renewLeadership(): void {
    for (const daemon of daemons) {
      if (!daemon.isPlanner) continue;
      const sentAt = clock.now;
      daemon.feed({ kind: "leadership_renewed", isGranted: true, sentAt });
    }
    clock.after(RENEW_INTERVAL_MS, renewLeadership);
  }

  function confirm(): void {
    network.confirmReads();
    clock.after(CONFIRM_INTERVAL_MS, confirm);
  }

  const fleet: DaemonFleet = {
    daemons,
    network,
    connect: (request, link) => void links.set(request, link),
    disconnect: (request) => void links.delete(request),
    changePlanner() {
      const candidates = daemons.filter(({ state, isPlanner }) =>
        !isPlanner && state.gateway!.readSharing.isReading
      );
      const next = candidates[termCount % candidates.length];
      if (next === undefined) return;
      for (const daemon of daemons) {
        if (!daemon.isPlanner) continue;
        daemon.isPlanner = false;
        const sentAt = clock.now;
        daemon.feed({ kind: "leadership_renewed", isGranted: false, sentAt });
      }
      next.isPlanner = true;
    },
    onLog: () => {},
  };
  for (const daemon of daemons) {
    daemon.feed({
      kind: "daemons_read",
      daemons: entries,
      isWhole: true,
      isPassedOn: false,
    });
  }
  clock.after(CONFIRM_INTERVAL_MS, confirm);
  clock.after(CONFIRM_INTERVAL_MS, () => {
    const reader = daemons.find(({ state }) =>
      state.gateway!.readSharing.isReading
    )!;
    reader.isPlanner = true;
    renewLeadership();
  });
  pool.onListChange = (change) => network.change(change);
  return fleet;
}

/** Name of the service that all requests go to. */
export { SERVICE };
