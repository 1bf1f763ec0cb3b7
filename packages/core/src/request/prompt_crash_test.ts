import { expect } from "chai";
import type { Effect } from "../effect/types.ts";
import type { EventBody } from "../event/types.ts";
import { reduce } from "../reduce.ts";
import { createState } from "../state/create_state.ts";

const GROUPS = 12;
const STEP_MS = 20;
/** Time after its crash at which an engine is back, ms. */
const DOWN_MS = 500;
const OWNER = "tavua";
const POLICY_ATTEMPTS = 2;
/** Fingerprint of a request that crashes engines, whatever the parts of its prompt. */
const POISON = "poison";
const LOAD = {
  running: 1,
  queued: 0,
  stepMs: 20,
  prefillPerMs: 20,
  kvUsedShare: 0.1,
  maxBatch: 64,
};

interface Engine {
  vm: string;
  address: string;
  group: string;
  /** Offset of the record that formed the group. */
  epoch: number;
  incarnation: number;
  isDown: boolean;
}

interface Daemon {
  sends: string[];
  refusals: { request: string; code: string; verdict: string }[];
  finished: Set<string>;
  request(
    id: string,
    parts: string[],
    options?: { fingerprint?: string },
  ): void;
  feed(event: EventBody): Effect[];
  run(ms: number): void;
}

function startDaemon(): Daemon {
  const state = createState({
    name: "entry-1",
    zone: "suva-a",
    site: "suva-a",
    incarnation: "1",
    balancerLagMs: 0,
  }, { seed: 1, now: 0 });
  const engines: Engine[] = Array.from({ length: GROUPS }, (_, index) => ({
    vm: `vm-${index}`,
    address: `http://10.0.0.${index}:80`,
    group: `group-${index}`,
    epoch: index + 1,
    incarnation: 1,
    isDown: false,
  }));
  const sends: string[] = [];
  const refusals: Daemon["refusals"] = [];
  const finished = new Set<string>();
  const partsByRequest = new Map<string, string[]>();
  const crashingRequests = new Set<string>();
  const later: { at: number; act(): void }[] = [];
  let now = 0;

  function feed(event: EventBody): Effect[] {
    const effects = reduce(state, { ...event, at: now });
    for (const effect of effects) carryOut(effect);
    return effects;
  }

  function carryOut(effect: Effect): void {
    if (effect.kind === "refuse") refusals.push(effect);
    if (effect.kind === "finish") finished.add(effect.request);
    if (effect.kind !== "send") return;
    sends.push(effect.request);
    const engine = engines.find(({ address }) => address === effect.address)!;
    const { request, attempt } = effect;
    const isCrashing = partsByRequest.get(request)!.includes("bad") ||
      crashingRequests.has(request);
    later.push({
      at: now + STEP_MS,
      act() {
        feed({ kind: "attempt_accepted", request, attempt });
        if (isCrashing) return crash(engine, { request, attempt });
        feed({ kind: "attempt_progress", request, attempt, tokens: 5 });
        feed({ kind: "attempt_ended", request, attempt, outcome: "completed" });
      },
    });
  }

  function crash(
    engine: Engine,
    at: { request: string; attempt: number },
  ): void {
    engine.isDown = true;
    feed({ kind: "attempt_ended", ...at, outcome: "body_cut_off" });
    feed({
      kind: "member_unreachable",
      address: engine.address,
      vm: engine.vm,
      cause: "refused",
    });
    later.push({
      at: now + DOWN_MS,
      act() {
        engine.isDown = false;
        engine.incarnation += 1;
        report(engine);
      },
    });
  }

  function report({ vm, address, group, epoch, incarnation }: Engine): void {
    feed({
      kind: "member_reported",
      address,
      status: {
        vm,
        incarnation: `${vm}-${incarnation}`,
        state: "ready",
        group,
        epoch,
        load: LOAD,
      },
    });
  }

  feed({
    kind: "config_loaded",
    document: {
      base: {
        version: 1,
        owners: {
          [OWNER]: {
            share: 1,
            teams: {
              team: { callers: { caller: { keySha256: "0".repeat(64) } } },
            },
          },
        },
        deployments: {
          assistant: {
            kind: "model",
            callers: [OWNER],
            replicas: GROUPS,
            vmsPerReplica: 1,
          },
        },
        policy: { maxAttempts: POLICY_ATTEMPTS },
      },
      overlays: {},
    },
  });
  const records = engines.map(({ vm, address, group, epoch }) => ({
    offset: epoch,
    at: 0,
    record: {
      type: "group_form" as const,
      group,
      deployment: "assistant",
      fence: "operator" as const,
      members: [{ vm, address, zone: "suva-a", domain: "d" }],
      id: group,
      level: 1,
    },
  }));
  feed({ kind: "log_read", records, head: GROUPS, horizon: 1 });

  return {
    feed,
    sends,
    refusals,
    finished,
    request(id, parts, { fingerprint = id } = {}) {
      partsByRequest.set(id, parts);
      if (fingerprint === POISON) crashingRequests.add(id);
      feed({
        kind: "request_arrived",
        request: id,
        deployment: "assistant",
        principal: { owner: OWNER, team: "team", caller: "caller" },
        rank: "urgent",
        promptTokens: 100,
        maxOutputTokens: 20,
        prefixes: [],
        promptParts: parts,
        fingerprint,
        idempotent: true,
      });
    },
    run(ms) {
      for (const end = now + ms; now < end;) {
        now += STEP_MS;
        feed({ kind: "tick" });
        const due = later.filter(({ at }) => at <= now);
        for (const each of due) {
          later.splice(later.indexOf(each), 1);
          each.act();
        }
        if (now % 200 !== 0) continue;
        for (const engine of engines) if (!engine.isDown) report(engine);
      }
    },
  };
}

describe("chat completions that crash every engine that serves them", () => {
  // Guards against prompts that crash engine after engine at the product's own interface, a path apart from the gateway's.
  it("stop reaching engines after a few crashes, while others are served", () => {
    const daemon = startDaemon();
    daemon.run(1_000);
    daemon.request("sound-0", ["system"]);
    daemon.run(500);
    for (let count = 1; count <= 20; count += 1) {
      daemon.request(`crash-${count}`, ["system", "bad", `own-${count}`]);
      daemon.run(200);
      daemon.request(`sound-${count}`, ["system"]);
      daemon.run(200);
    }
    const crashing = daemon.sends.filter((id) => id.startsWith("crash"));
    expect(crashing.length).to.be.within(3, 3 * POLICY_ATTEMPTS);
    const sound = [...daemon.finished].filter((id) => id.startsWith("sound"));
    expect(sound).to.have.length(21);
    expect(daemon.refusals.at(-1)).to.include({
      request: "crash-20",
      code: "prompt_quarantined",
      verdict: "not_run",
    });
  });

  // Guards against copies of one request that crash engine after engine (incident second1), on this path too.
  it("stop reaching engines after a few crashes where they are copies of one request", () => {
    const daemon = startDaemon();
    daemon.run(1_000);
    for (let count = 1; count <= 20; count += 1) {
      daemon.request(`crash-${count}`, ["system"], { fingerprint: POISON });
      daemon.run(200);
      daemon.request(`sound-${count}`, ["system"]);
      daemon.run(200);
    }
    const crashing = daemon.sends.filter((id) => id.startsWith("crash"));
    expect(crashing.length).to.be.within(3, 3 * POLICY_ATTEMPTS);
    const sound = [...daemon.finished].filter((id) => id.startsWith("sound"));
    expect(sound).to.have.length(20);
    expect(daemon.refusals.at(-1)).to.include({
      request: "crash-20",
      code: "request_quarantined",
      verdict: "not_run",
    });
  });

  it("are known to other daemons at once, also to those that come later", () => {
    const daemon = startDaemon();
    daemon.run(1_000);
    for (let count = 1; count <= 5; count += 1) {
      daemon.request(`crash-${count}`, ["bad", `own-${count}`]);
      daemon.run(400);
    }
    const effects = daemon.feed({
      kind: "peer_joined",
      peer: "entry-2",
      address: "",
      zone: "",
      incarnation: "1",
    });
    const messages = effects.flatMap((effect) =>
      effect.kind === "peer_send" ? effect.message : []
    );
    const other = startDaemon();
    other.feed({
      kind: "peer_joined",
      peer: "entry-1",
      address: "",
      zone: "",
      incarnation: "1",
    });
    other.run(1_000);
    for (const message of messages) {
      other.feed({ kind: "peer_received", peer: "entry-1", message });
    }
    other.request("crash-6", ["bad"]);
    expect(other.sends).to.deep.equal([]);
    expect(other.refusals.at(-1)).to.include({ code: "prompt_quarantined" });
  });
});
