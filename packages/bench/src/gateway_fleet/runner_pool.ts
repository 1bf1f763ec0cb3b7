/**
 * Simulates the runners of a shared pool: they carry out the orders of a group planner, report what they are in, and
 * fail.
 *
 * @module
 */
import {
  createRandom,
  type Model,
  nextFloat,
  nextIndex,
  type OrderOutcome,
  type Random,
  type Runner,
  type RunnerOrder,
  type RunnerReport,
} from "@primroseshed/core";
import type { Clock } from "../fleet/clock.ts";
import { createGroupEngine, type GroupEngine } from "./engine.ts";
import type { Fault, Scenario } from "./scenario.ts";

/** Name of the service that the runners belong to. */
export const SERVICE = "llm";

/** A simulated runner. */
export interface SimulatedRunner {
  entry: Runner;
  zone: number;
  /** True where nothing reaches it, and it does nothing. */
  isDark: boolean;
  /** True while it cannot write to the store. */
  isCutFromStore: boolean;
  /** Set while it is the head of an open group. */
  engine: GroupEngine | undefined;
  /** Model of the last group that it was ready in. */
  lastModel: string | undefined;
  /** Highest fencing number among the orders that it has taken. */
  fence: number;
  /** Factor on the times of a group that it heads. */
  slowness: number;
}

/** A change of the list of runners that the store has. */
export interface ListChange {
  runner: string;
  /** Undefined where the runner is no longer listed. */
  entry: Runner | undefined;
}

/** Simulated runners of a deployment. */
export interface RunnerPool {
  runners: Map<string, SimulatedRunner>;
  /** Orders that a runner must never get, such as to leave an open group for another one. */
  violations: string[];
  /** Weight loads from the weight store that began during the traffic. */
  loadCount: number;
  /** Called with each change of the list. */
  onListChange(change: ListChange): void;
  order(
    id: string,
    order: RunnerOrder,
    fence: number,
  ): OrderOutcome | undefined;
  /** Returns a runner's report on its work, as of some time ago; undefined where it does not respond. */
  report(id: string): RunnerReport | undefined;
  /** Brings a fault about; `trafficStart` is the time of the first request, ms. */
  scheduleFault(fault: Fault, trafficStart: number): void;
  /** Returns the heads of open groups that make progress, by model. */
  openHeads(model: string): SimulatedRunner[];
}

/** Time between the beats of a runner, ms. */
const BEAT_MS = 1_200;
/** Time after which a silent runner leaves the list, ms. */
const LAPSE_MS = 3 * BEAT_MS;
/** Time in which the store lists a change, ms. */
const STORE_MS = 10;
/** Time that a join takes where the runner's last group had the same model, ms. */
const REJOIN_MS = 200;
/** Time that a join takes where the weights are staged, ms. */
const WARM_MS = 1_600;
/** Time in which a head opens, ms. */
const FORM_MS = 300;
/** Share of its usual time that a weight load takes before the first request. */
const EARLY_LOAD_SHARE = 0.1;
/** Age of what a runner reports of its work, ms. */
const REPORT_LAG_MS = 200;

/** Creates the runners of a scenario, without weights and groups. */
export function createRunnerPool(
  clock: Clock,
  scenario: Scenario,
  { seed }: { seed: number },
): RunnerPool {
  const { engine: profile, settings: { stallMs }, leadMs } = scenario;
  const random: Random = createRandom(seed);
  const runners = new Map<string, SimulatedRunner>();
  const reports = new Map<string, { at: number; report: RunnerReport }>();
  let writeCount = 0;
  let addedCount = 0;

  const modelOf = (name: string): Model =>
    profile.models.find((model) => model.name === name)!;

  function publish(runner: SimulatedRunner): void {
    if (runner.isDark || runner.isCutFromStore) return;
    const { entry } = runner;
    clock.after(STORE_MS, () => {
      pool.onListChange({ runner: entry.id, entry });
    });
  }

  function update(runner: SimulatedRunner, change: Partial<Runner>): void {
    writeCount += 1;
    runner.entry = { ...runner.entry, ...change, writeCount };
    publish(runner);
  }

  function add(zone: number, domain: string): void {
    addedCount += 1;
    const id = `r${addedCount}`;
    writeCount += 1;
    const entry: Runner = {
      id,
      service: SERVICE,
      address: `10.0.${Math.floor(addedCount / 250)}.${addedCount % 250}:8000`,
      zone: `z${zone}`,
      slots: profile.slots,
      state: "ready",
      startedUnixMs: 1 + Math.round(clock.now),
      writeCount,
      domain,
      staged: [],
      model: undefined,
      membership: undefined,
    };
    const runner: SimulatedRunner = {
      entry,
      zone,
      isDark: false,
      isCutFromStore: false,
      engine: undefined,
      lastModel: undefined,
      fence: 0,
      slowness: 1,
    };
    runners.set(id, runner);
    publish(runner);
  }

  /** Leaves the list some time after the last beat, unless the runner is back by then. */
  function lapse(runner: SimulatedRunner): void {
    clock.after(LAPSE_MS, () => {
      if (!runner.isDark && !runner.isCutFromStore) return;
      pool.onListChange({ runner: runner.entry.id, entry: undefined });
    });
  }

  function membersOf(group: string, epoch: number): SimulatedRunner[] {
    return [...runners.values()].filter(({ entry: { membership } }) =>
      membership?.group === group && membership.epoch === epoch
    );
  }

  /** Stalls the group of a runner that no longer takes part; the head breaks it some time later. */
  function stallGroupOf({ entry: { membership } }: SimulatedRunner): void {
    if (membership === undefined) return;
    const { group, epoch } = membership;
    const head = membersOf(group, epoch).find((each) =>
      each.entry.membership!.rank === 0
    );
    const engine = head?.engine;
    if (head === undefined || engine === undefined) return;
    engine.stall();
    clock.after(stallMs, () => {
      if (head.engine === engine && !head.isDark) breakHead(head);
    });
  }

  function breakHead(head: SimulatedRunner): void {
    head.engine?.close();
    head.engine = undefined;
    const membership = head.entry.membership!;
    update(head, { membership: { ...membership, state: "broken" } });
  }

  function darken(runner: SimulatedRunner): void {
    stallGroupOf(runner);
    runner.isDark = true;
    lapse(runner);
  }

  function leaveGroup(runner: SimulatedRunner): void {
    runner.engine?.close();
    runner.engine = undefined;
    stallGroupOf(runner);
  }

  function checkJoin(runner: SimulatedRunner, group: string): void {
    const { membership, id } = runner.entry;
    if (membership === undefined || membership.group === group) return;
    const head = membersOf(membership.group, membership.epoch)
      .find((each) => each.entry.membership!.rank === 0);
    if (head?.engine === undefined || head.isDark) return;
    pool.violations.push(`${id} left open ${membership.group} for ${group}`);
  }

  /** Handles each action of an order; undefined where the order does not fit. */
  const handlers: {
    [A in RunnerOrder["action"]]: (
      runner: SimulatedRunner,
      order: Extract<RunnerOrder, { action: A }>,
    ) => OrderOutcome;
  } = {
    stage(runner, { model }) {
      const isEarly = clock.now < leadMs;
      if (!isEarly) pool.loadCount += 1;
      const loadMs = modelOf(model).loadMs * (isEarly ? EARLY_LOAD_SHARE : 1);
      clock.after(loadMs, () => {
        if (!runner.isDark) update(runner, { staged: [model] });
      });
      return "accepted";
    },
    join(runner, { group, epoch, model, members }) {
      const { id } = runner.entry;
      checkJoin(runner, group);
      leaveGroup(runner);
      const rank = members.indexOf(id);
      const assigned = { group, epoch, rank };
      update(runner, { membership: { ...assigned, state: "joining" } });
      const joinMs = runner.lastModel === model ? REJOIN_MS : WARM_MS;
      clock.after(joinMs, () => {
        const current = runner.entry.membership;
        if (runner.isDark || current?.epoch !== epoch) return;
        runner.lastModel = model;
        update(runner, {
          model,
          membership: { ...assigned, state: "ready" },
        });
      });
      return "accepted";
    },
    open(runner, { group, epoch }) {
      const { membership } = runner.entry;
      if (membership?.group !== group || membership.epoch !== epoch) {
        return "mismatched";
      }
      if (membership.state === "open") return "already_done";
      if (membership.state !== "ready") return "mismatched";
      clock.after(FORM_MS, () => openHead(runner, group, epoch));
      return "accepted";
    },
    close(runner, { group, epoch, mode }) {
      const { membership } = runner.entry;
      const isMember = membership?.group === group &&
        membership.epoch === epoch;
      const { engine } = runner;
      if (!isMember || engine === undefined) return "mismatched";
      const finish = () => {
        engine.close();
        if (runner.engine !== engine) return;
        runner.engine = undefined;
        update(runner, { membership: { ...membership, state: "ready" } });
      };
      if (mode === "interrupt") finish();
      else {
        update(runner, { membership: { ...membership, state: "closing" } });
        engine.drain(finish);
      }
      return "accepted";
    },
    leave(runner, { group, epoch }) {
      const { membership } = runner.entry;
      if (membership?.group !== group || membership.epoch !== epoch) {
        return "mismatched";
      }
      leaveGroup(runner);
      update(runner, { membership: undefined });
      return "accepted";
    },
  };

  function openHead(
    runner: SimulatedRunner,
    group: string,
    epoch: number,
  ): void {
    const { membership, model } = runner.entry;
    const isMember = membership?.group === group && membership.epoch === epoch;
    if (runner.isDark || !isMember || runner.engine !== undefined) return;
    const members = membersOf(group, epoch);
    const { size, pace } = modelOf(model!);
    if (members.length < size) {
      pool.violations.push(`${runner.entry.id} opened ${group} incomplete`);
    }
    const { slots, speed } = profile;
    const { queueLength } = scenario;
    runner.engine = createGroupEngine(clock, {
      speed: speed!,
      pace,
      slots,
      queueLength,
    });
    runner.engine.slowness = runner.slowness;
    update(runner, { membership: { ...membership, state: "open" } });
    if (members.some(({ isDark }) => isDark)) stallGroupOf(runner);
  }

  function listAlive(): SimulatedRunner[] {
    return [...runners.values()].filter(({ isDark }) => !isDark);
  }

  function drawShare(
    list: readonly SimulatedRunner[],
    share: number,
  ): SimulatedRunner[] {
    return list.filter(() => nextFloat(random) < share);
  }

  function loseMembers(zone: number, count: number): void {
    const members = listAlive().filter((each) =>
      each.zone === zone && each.entry.membership !== undefined
    );
    for (let lost = 0; lost < count && members.length > 0; lost += 1) {
      const [runner] = members.splice(nextIndex(random, members.length), 1);
      darken(runner!);
    }
  }

  function darkenDomain(domain: number, forMs: number): void {
    const lost = listAlive().filter(({ entry }) =>
      entry.domain === `d${domain}`
    );
    for (const runner of lost) darken(runner);
    clock.after(forMs, () => {
      for (const runner of lost) {
        runner.isDark = false;
        if (runner.engine === undefined) update(runner, {});
        else breakHead(runner);
      }
    });
  }

  function cutFromStore(share: number, forMs: number): void {
    const cut = drawShare(listAlive(), share);
    for (const runner of cut) {
      runner.isCutFromStore = true;
      lapse(runner);
    }
    clock.after(forMs, () => {
      for (const runner of cut) {
        runner.isCutFromStore = false;
        publish(runner);
      }
    });
  }

  function setSlowness(list: SimulatedRunner[], factor: number): void {
    for (const runner of list) {
      runner.slowness = factor;
      if (runner.engine !== undefined) runner.engine.slowness = factor;
    }
  }

  function addRunners(zone: number, count: number): void {
    const domains = domainsOf(scenario, zone);
    for (let index = 0; index < count; index += 1) {
      add(zone, domains[nextIndex(random, domains.length)]!);
    }
  }

  const faultHandlers: {
    [K in Fault["kind"]]: (fault: Extract<Fault, { kind: K }>) => void;
  } = {
    lose_members: ({ zone, count }) => loseMembers(zone, count),
    domain_dark: ({ domain, forMs }) => darkenDomain(domain, forMs),
    cut_from_store: ({ share, forMs }) => cutFromStore(share, forMs),
    slow_runners({ share, factor, forMs }) {
      const slow = drawShare(listAlive(), share);
      setSlowness(slow, factor);
      clock.after(forMs, () => setSlowness(slow, 1));
    },
    add_runners: ({ zone, count }) => addRunners(zone, count),
    // The daemons carry it out.
    change_planner: () => {},
  };

  const pool: RunnerPool = {
    runners,
    violations: [],
    loadCount: 0,
    onListChange: () => {},
    order(id, order, fence) {
      const runner = runners.get(id);
      if (runner === undefined || runner.isDark) return undefined;
      if (fence < runner.fence) return "fenced";
      runner.fence = fence;
      const handle = handlers[order.action] as (
        runner: SimulatedRunner,
        order: RunnerOrder,
      ) => OrderOutcome;
      return handle(runner, order);
    },
    report(id) {
      const runner = runners.get(id);
      if (runner === undefined || runner.isDark) return undefined;
      const { running, waiting: queued } = runner.engine?.load() ??
        { running: 0, waiting: 0 };
      const known = reports.get(id);
      if (known !== undefined && clock.now - known.at < REPORT_LAG_MS) {
        return known.report;
      }
      const report = { running, queued };
      reports.set(id, { at: clock.now, report });
      return report;
    },
    scheduleFault(fault, trafficStart) {
      const handle = faultHandlers[fault.kind] as (fault: Fault) => void;
      clock.at(trafficStart + fault.atMs, () => handle(fault));
    },
    openHeads: (model) =>
      listAlive().filter(({ entry, engine }) =>
        entry.model === model && engine !== undefined
      ),
  };

  for (const zone of scenario.domainsByZone.keys()) {
    for (const domain of domainsOf(scenario, zone)) {
      for (let index = 0; index < scenario.runnersPerDomain; index += 1) {
        clock.at(nextFloat(random) * 300, () => add(zone, domain));
      }
    }
  }
  return pool;
}

/** Returns the fabric domains of an availability zone. */
function domainsOf({ domainsByZone }: Scenario, zone: number): string[] {
  const before = domainsByZone.slice(0, zone)
    .reduce((sum, count) => sum + count, 0);
  return Array.from(
    { length: domainsByZone[zone]! },
    (_, index) => `d${before + index}`,
  );
}
