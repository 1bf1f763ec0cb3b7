/**
 * Simulates daemons that send to one cold runner as fast as they may, in virtual time and without a network. Lists of
 * daemons and entries of the runner reach each daemon late, twice or not at all, and the fleet grows and shrinks.
 *
 * @module
 */
import type { DaemonEntry } from "../read_sharing/types.ts";
import {
  createDocument,
  createHarness,
  createRoute,
  createRunner,
  type GatewayHarness,
  sendRequest,
} from "../gateway/test_fixture.ts";
import type { ColdStart, RoutingDocument } from "../gateway/types.ts";

/** Limit on cold runners as in a current deployment. */
export const COLD_START: ColdStart = {
  durationMs: 3_000,
  requestsPerSecond: 26,
};
/** Time at which the runner starts, ms; by then the first daemons may own it. */
export const RUNNER_STARTS_AT = 9_000;

const STEP_MS = 20;
/** Time between two publications of the list of daemons, ms. */
const LIST_INTERVAL_MS = 500;
/** At most two publications in a row are lost to a daemon that is in touch. */
const LOST_IN_ROW = 2;
const SECOND_MS = 1_000;
/** Time on the way to the runner, as a share of the delay of a message. */
const WAY_SHARE = 0.05;

/** What happens to one daemon. */
export interface DaemonPlan {
  startsAt: number;
  /** Time at which the fleet's list names it no more, ms. */
  leavesAt: number;
  /** True where it goes on after that. */
  staysUp: boolean;
  /** Time from which on nothing reaches it, ms. */
  cutFrom: number;
  cutMs: number;
  /** Delays of its messages, ms, at most {@link MAX_DELAY_MS}; used in turn. */
  delays: readonly number[];
  /** Messages that are lost, used in turn. */
  losses: readonly boolean[];
  /** True where it belongs to an island whose lists name only the daemons on it. */
  isOnIsland: boolean;
}

/** Longest delay of a message, ms. */
export const MAX_DELAY_MS = 1_400;

interface Delivery {
  at: number;
  deliver(harness: GatewayHarness): void;
}

interface SimulatedDaemon {
  plan: DaemonPlan;
  entry: DaemonEntry;
  harness: GatewayHarness | undefined;
  inbox: Delivery[];
  messages: number;
  /** Effects that were looked at. */
  seen: number;
}

/** A configuration whose plain service has a cold start. */
export function createColdDocument(): RoutingDocument {
  return createDocument({
    routes: [createRoute({ isPublic: true })],
    services: [{ name: "desk", engine: undefined, coldStart: COLD_START }],
    teams: undefined,
  });
}

function createEntry(index: number, salt: number): DaemonEntry {
  return {
    node: `entry-${salt}-${index}`,
    zone: "suva-a",
    address: "127.0.0.1:1",
    incarnation: "1",
    cores: 1,
  };
}

/** Times at which a cold runner gets requests while the given daemons send as fast as they may, ms. */
export function runColdFleet(
  plans: readonly DaemonPlan[],
  { salt, durationMs }: { salt: number; durationMs: number },
): number[] {
  const daemons: SimulatedDaemon[] = plans.map((plan, index) => ({
    plan,
    entry: createEntry(index, salt),
    harness: undefined,
    inbox: [],
    messages: 0,
    seen: 0,
  }));
  const arrivals: number[] = [];
  for (let now = 0; now < durationMs; now += STEP_MS) {
    for (const daemon of daemons) {
      startOrStop(daemon, now);
      if (now % LIST_INTERVAL_MS === 0) postList(daemons, daemon, now);
      postEntry(daemon, now);
      if (daemon.harness === undefined) continue;
      daemon.harness.advance(STEP_MS);
      receive(daemon, now);
      sendRequest(daemon.harness, `request-${now}`, { deadlineMs: 40 });
      arrivals.push(...takeSends(daemon, now));
    }
  }
  return arrivals.sort((left, right) => left - right);
}

function startOrStop(daemon: SimulatedDaemon, now: number): void {
  const { plan, entry } = daemon;
  const isUp = now >= plan.startsAt && (plan.staysUp || now < plan.leavesAt);
  if (!isUp) daemon.harness = undefined;
  if (!isUp || daemon.harness !== undefined) return;
  daemon.seen = 0;
  daemon.harness = createHarness({ self: entry }, { seed: plan.startsAt + 1 });
  daemon.harness.feed({
    kind: "routing_read",
    document: createColdDocument(),
    confirmedAt: 0,
  });
}

/** Posts a message to a daemon: late, twice, or not at all. */
function post(
  daemon: SimulatedDaemon,
  now: number,
  deliver: (harness: GatewayHarness) => void,
): void {
  const { plan, inbox, messages } = daemon;
  const { delays, losses } = plan;
  daemon.messages += 1;
  const delay = delays[messages % delays.length]!;
  const isLost = losses[messages % losses.length]! &&
    messages % (LOST_IN_ROW + 1) !== 0;
  if (isLost) return;
  inbox.push({ at: now + delay, deliver });
  const repeatDelay = delays[(messages + 1) % delays.length]!;
  inbox.push({ at: now + repeatDelay, deliver });
}

/** Posts the list of the daemons that are registered now. */
function postList(
  daemons: readonly SimulatedDaemon[],
  to: SimulatedDaemon,
  now: number,
): void {
  const entries = daemons.filter(({ plan }) =>
    now >= plan.startsAt && now < plan.leavesAt &&
    plan.isOnIsland === to.plan.isOnIsland
  ).map(({ entry }) => entry);
  post(to, now, (harness) =>
    harness.feed({
      kind: "daemons_read",
      daemons: entries,
      isWhole: true,
      isPassedOn: false,
    }));
}

/** Posts the entry of the runner, which it writes again every second. */
function postEntry(to: SimulatedDaemon, now: number): void {
  const age = now - RUNNER_STARTS_AT;
  if (age < 0 || age % SECOND_MS !== 0) return;
  const runner = createRunner("desk-0", {
    startedUnixMs: 7,
    writeCount: 1 + age / SECOND_MS,
    coldForMs: Math.max(0, COLD_START.durationMs - age),
  });
  post(to, now, (harness) =>
    harness.feed({
      kind: "runners_read",
      runners: [runner],
      removedIds: [],
      isWhole: false,
      position: { timeline: 1, offset: age },
      confirmedAt: harness.state.now,
    }));
}

function receive({ plan, inbox, harness }: SimulatedDaemon, now: number): void {
  const isCut = now >= plan.cutFrom && now < plan.cutFrom + plan.cutMs;
  const due = inbox.filter(({ at }) => at <= now);
  for (const { deliver } of due) {
    inbox.splice(inbox.findIndex((each) => each.deliver === deliver), 1);
    if (!isCut) deliver(harness!);
  }
}

/** Answers what a daemon has sent at once, and returns when it arrives at the runner, on a way that varies in length. */
function takeSends(daemon: SimulatedDaemon, now: number): number[] {
  const { plan: { delays }, harness } = daemon;
  const arrivals: number[] = [];
  for (; daemon.seen < harness!.effects.length; daemon.seen += 1) {
    const effect = harness!.effects[daemon.seen]!;
    if (effect.kind !== "send_to_runner") continue;
    const { request, attempt } = effect;
    harness!.feed({
      kind: "response_ended",
      request,
      attempt,
      status: 200,
      verdict: "ran",
      isRelayable: false,
    });
    const delay = delays[(now / STEP_MS) % delays.length]!;
    arrivals.push(now + delay * WAY_SHARE);
  }
  return arrivals;
}

/** Returns the largest number of times in any span of one second. */
export function busiestSecond(times: readonly number[]): number {
  let first = 0;
  let most = 0;
  times.forEach((at, index) => {
    while (at - times[first]! > SECOND_MS) first += 1;
    most = Math.max(most, index - first + 1);
  });
  return most;
}
