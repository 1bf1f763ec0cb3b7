/**
 * Simulates a few real cores that plan replica groups over fake engines, in virtual time, with VM deaths, pauses,
 * disconnections from the log, lost orders and lost append responses.
 *
 * @module
 */
import {
  createRandom,
  type Effect,
  type EngineOrder,
  type EventBody,
  type LogRecord,
  type MemberStatus,
  nextFloat,
  nextIndex,
  type State,
  type StoredRecord,
  type VmListing,
} from "@primroseshed/core";
import { type Clock, createClock } from "../fleet/clock.ts";
import { createDrivenCore, peerJoinedEvent } from "../fleet/driven_core.ts";

/** Size and faults of a simulation. */
export interface GroupSimulationOptions {
  seed: number;
  entries: number;
  domains: number;
  vmsPerDomain: number;
  replicas: number;
  vmsPerReplica: number;
  fencing: "enforced" | "ignored";
  /**
   * Number of random faults: VM deaths, pauses of daemons and VMs, groups formed by an operator,
   * disconnections from the log.
   */
  faults: number;
  /** Weight load time of a VM, ms. */
  weightLoadMs?: number;
  runMs: number;
}

/** A fake engine VM. */
export interface SimulatedVm {
  listing: VmListing;
  status: MemberStatus;
  dead: boolean;
  paused: boolean;
  /** Highest fencing number among the orders that this VM received. */
  newestFence: number;
}

/** Violations found in a simulation. */
export interface GroupViolations {
  /** Number of times that a VM was seen in two groups in a daemon's fold. */
  inTwoGroups: number;
  /** Requests sent to a group although the daemon knew that one of its members was dead. */
  sentToBroken: number;
  /** Orders of a past lease holder that a VM applied after the first order of the successor. */
  staleOrders: number;
}

/** A running simulation. */
export interface GroupSimulation {
  clock: Clock;
  vms: Map<string, SimulatedVm>;
  states(): State[];
  violations: GroupViolations;
  /** Returns the number of serving groups at the daemon that has the fewest. */
  servingGroups(): number;
  killVm(vm: string): void;
  run(untilMs: number): void;
}

interface Daemon {
  name: string;
  state: State;
  /** Time until which events to the daemon are delayed, ms. */
  pausedUntil: number;
  cutFromLog: boolean;
  feed(event: EventBody): void;
}

/** Latency of the log, ms. */
const LOG_MS = 20;
const LOG_POLL_MS = 100;
const STATUS_POLL_MS = 500;
const VM_LIST_POLL_MS = 1_000;
/** Latency of orders and of messages between entries, ms. */
const CALL_MS = 1;
const ORDER_LOST_SHARE = 0.1;
const APPEND_LOST_SHARE = 0.1;
const DEPLOYMENT = "m";

function createDocument(
  { replicas, vmsPerReplica, fencing }: GroupSimulationOptions,
) {
  const teams = { t: { callers: { c: { keySha256: "c".repeat(64) } } } };
  const deployment = {
    kind: "model",
    callers: ["tavua"],
    replicas,
    vmsPerReplica,
    fencing,
  };
  return {
    base: {
      version: 1,
      owners: { tavua: { share: 1, teams } },
      deployments: { [DEPLOYMENT]: deployment },
    },
    overlays: {},
  };
}

function createVm(domain: number, index: number): SimulatedVm {
  const vm = `vm-${domain}-${index}`;
  return {
    listing: {
      vm,
      address: `http://10.0.${domain}.${index}:80`,
      zone: `zone-${domain % 3}`,
      domain: `domain-${domain}`,
      incarnation: "1",
      state: "live",
      role: "engine",
      accelerators: 8,
    },
    status: { vm, incarnation: "1", state: "empty", epoch: 0 },
    dead: false,
    paused: false,
    newestFence: 0,
  };
}

/** Creates a simulation with all its daemons and VMs. */
export function createGroupSimulation(
  options: GroupSimulationOptions,
): GroupSimulation {
  const { fencing, weightLoadMs = 2_000 } = options;
  const random = createRandom(options.seed);
  const clock = createClock();
  const log: StoredRecord[] = [];
  const daemons: Daemon[] = [];
  const violations: GroupViolations = {
    inTwoGroups: 0,
    sentToBroken: 0,
    staleOrders: 0,
  };
  const vms = new Map<string, SimulatedVm>();
  const chance = (share: number) => nextFloat(random) < share;
  const drawUpTo = (max: number) => nextFloat(random) * max;
  for (let domain = 0; domain < options.domains; domain++) {
    for (let index = 0; index < options.vmsPerDomain; index++) {
      const vm = createVm(domain, index);
      vms.set(vm.listing.vm, vm);
    }
  }
  const store = (record: LogRecord) =>
    log.push({ offset: log.length + 1, at: clock.now, record });

  function append(daemon: Daemon, records: readonly LogRecord[]): void {
    const ids = records.map(({ id }) => id);
    const isLost = daemon.cutFromLog || chance(APPEND_LOST_SHARE);
    const isStored = !daemon.cutFromLog || chance(APPEND_LOST_SHARE);
    clock.after(LOG_MS, () => {
      if (isStored) {
        for (const record of structuredClone(records)) store(record);
      }
      clock.after(
        isLost ? 1_000 : LOG_MS,
        () => daemon.feed({ kind: "append_completed", ids, stored: !isLost }),
      );
    });
  }

  function applyOrder(vm: SimulatedVm, order: EngineOrder): void {
    const { status } = vm;
    if (order.epoch < (status.epoch ?? 0)) return;
    if (
      order.action === "load" && status.group === order.group &&
      status.epoch === order.epoch
    ) return;
    const keepsWeights = order.action === "load" &&
      status.group === order.group && status.state === "ready";
    status.epoch = order.epoch;
    if (order.action === "unload") {
      status.state = "empty";
      delete status.group;
      return;
    }
    status.group = order.group;
    status.state = "loading";
    clock.after(keepsWeights ? 10 : weightLoadMs, () => {
      if (status.epoch === order.epoch && status.group === order.group) {
        status.state = "ready";
      }
    });
  }

  function deliverOrder(
    { vm: name, fence, validUntil, order }: Extract<Effect, { kind: "order" }>,
  ): void {
    const vm = vms.get(name);
    if (
      vm === undefined || vm.dead || chance(ORDER_LOST_SHARE) ||
      clock.now >= validUntil
    ) return;
    const receive = () => {
      if (vm.paused) return clock.after(LOG_POLL_MS, receive);
      const isStale = fence < vm.newestFence;
      if (isStale && fencing === "enforced") return;
      if (isStale) violations.staleOrders += 1;
      vm.newestFence = Math.max(vm.newestFence, fence);
      applyOrder(vm, order);
    };
    clock.after(CALL_MS + drawUpTo(CALL_MS), receive);
  }

  function runEffect(daemon: Daemon, effect: Effect): void {
    if (effect.kind === "append") append(daemon, effect.records);
    if (effect.kind === "order") deliverOrder(effect);
    if (effect.kind === "send") checkSend(daemon, effect);
    if (effect.kind === "peer_send") {
      const peer = daemons.find(({ name }) => name === effect.peer);
      const message = structuredClone(effect.message);
      if (peer) {
        clock.after(
          CALL_MS,
          () =>
            peer.feed({ kind: "peer_received", peer: daemon.name, message }),
        );
      }
    }
  }

  function checkSend(
    { state, feed }: Daemon,
    { request, attempt, target }: Extract<Effect, { kind: "send" }>,
  ): void {
    const members = state.targets.get(target)?.members ?? [];
    if (members.some(({ member: { vm } }) => state.vmHealth.get(vm)?.refused)) {
      violations.sentToBroken += 1;
    }
    clock.after(
      50,
      () =>
        feed({ kind: "attempt_ended", request, attempt, outcome: "completed" }),
    );
  }

  function checkFold({ state }: Daemon): void {
    const members = [...state.fold.groups.values()].flatMap((group) =>
      group.members.map(({ vm }) => vm)
    );
    violations.inTwoGroups += members.length - new Set(members).size;
  }

  function pollLog(daemon: Daemon): void {
    if (daemon.cutFromLog) daemon.feed({ kind: "log_unreachable" });
    else {
      const records = structuredClone(log.slice(daemon.state.fold.next - 1));
      daemon.feed({ kind: "log_read", records, head: log.length, horizon: 1 });
      checkFold(daemon);
    }
    clock.after(LOG_POLL_MS + drawUpTo(LOG_POLL_MS), () => pollLog(daemon));
  }

  function pollStatuses(daemon: Daemon): void {
    for (
      const { listing: { vm, address }, status, dead, paused } of vms.values()
    ) {
      if (dead) {
        daemon.feed({
          kind: "member_unreachable",
          address,
          vm,
          cause: "refused",
        });
      } else if (paused) {
        daemon.feed({
          kind: "member_unreachable",
          address,
          vm,
          cause: "timeout",
        });
      } else {
        const load = {
          running: 0,
          queued: 0,
          stepMs: 10,
          prefillPerMs: 20,
          kvUsedShare: 0,
          maxBatch: 32,
        };
        daemon.feed({
          kind: "member_reported",
          address,
          status: { ...structuredClone(status), load },
        });
      }
    }
    clock.after(STATUS_POLL_MS, () => pollStatuses(daemon));
  }

  function pollVmList(daemon: Daemon): void {
    const listed = [...vms.values()].filter(({ dead }) => !dead).map((
      { listing },
    ) => ({ ...listing }));
    daemon.feed({ kind: "vms_listed", vms: listed });
    clock.after(VM_LIST_POLL_MS, () => pollVmList(daemon));
  }

  let count = 0;
  function offerRequests(daemon: Daemon): void {
    count += 1;
    daemon.feed({
      kind: "request_arrived",
      request: `r${count}`,
      deployment: DEPLOYMENT,
      principal: { owner: "tavua", team: "t", caller: "c" },
      rank: "standard",
      promptTokens: 10,
      maxOutputTokens: 10,
      prefixes: [],
      idempotent: true,
    });
    clock.after(200 + drawUpTo(200), () => offerRequests(daemon));
  }

  function startDaemon(index: number): void {
    const name = `entry-${index}`;
    const driven = createDrivenCore(clock, {
      name,
      seed: options.seed + index,
      zone: "zone-0",
      onEffect: (effect) => runEffect(daemon, effect),
      onTimer: () => daemon.feed({ kind: "tick" }),
    });
    const daemon: Daemon = {
      name,
      state: driven.state,
      pausedUntil: 0,
      cutFromLog: false,
      feed(event) {
        if (clock.now >= daemon.pausedUntil) driven.feed(event);
        else clock.at(daemon.pausedUntil, () => daemon.feed(event));
      },
    };
    for (const peer of daemons) {
      peer.feed(peerJoinedEvent(daemon.name));
      daemon.feed(peerJoinedEvent(peer.name));
    }
    daemons.push(daemon);
    for (
      const startTask of [pollLog, pollStatuses, pollVmList, offerRequests]
    ) startTask(daemon);
  }

  function killVm(name: string): void {
    const vm = vms.get(name);
    if (vm !== undefined) vm.dead = true;
  }

  function pickVm(): SimulatedVm {
    return [...vms.values()][nextIndex(random, vms.size)] as SimulatedVm;
  }

  function pickDaemon(): Daemon {
    return daemons[nextIndex(random, daemons.length)] as Daemon;
  }

  const faultActions: (() => void)[] = [
    () => killVm(pickVm().listing.vm),
    () => {
      const vm = pickVm();
      vm.paused = true;
      clock.after(drawUpTo(8_000), () => vm.paused = false);
    },
    () => pickDaemon().pausedUntil = clock.now + drawUpTo(25_000),
    // An operator races the planners and forms a group of two random VMs, free or not.
    () => {
      const members = [pickVm(), pickVm()].map((
        { listing: { vm, address, zone, domain } },
      ) => ({ vm, address, zone, domain }));
      const group = `by-hand-${log.length}`;
      store({
        type: "group_form",
        group,
        deployment: DEPLOYMENT,
        members,
        fence: "operator",
        id: group,
        level: 1,
      });
    },
    () => {
      const daemon = pickDaemon();
      daemon.cutFromLog = true;
      clock.after(drawUpTo(25_000), () => daemon.cutFromLog = false);
    },
  ];

  store({
    type: "config",
    basedOn: 0,
    document: createDocument(options),
    author: "o",
    id: "config",
    level: 1,
  });
  for (let index = 0; index < options.entries; index++) startDaemon(index);
  for (let index = 0; index < options.faults; index++) {
    clock.at(
      2_000 + drawUpTo(options.runMs / 2),
      faultActions[nextIndex(random, faultActions.length)] as () => void,
    );
  }
  return {
    clock,
    vms,
    violations,
    killVm,
    states: () => daemons.map(({ state }) => state),
    servingGroups: () =>
      Math.min(
        ...daemons.map(({ state }) =>
          [...state.targets.values()].filter(({ phase }) => phase === "serving")
            .length
        ),
      ),
    run: (untilMs) => clock.runUntil(untilMs),
  };
}
