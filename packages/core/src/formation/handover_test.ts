import { expect } from "chai";
import fc from "fast-check";
import type { Effect } from "../effect/types.ts";
import {
  createDomain,
  createHarness,
  type GatewayHarness,
  publish,
} from "../gateway/test_fixture.ts";
import type { Runner } from "../gateway/types.ts";
import type { OrderOutcome, RunnerOrder } from "./types.ts";

/** One step of a schedule; `planner` is one of two daemons. */
type Step =
  | { kind: "run"; planner: number; ms: number }
  | { kind: "grant"; planner: number }
  | { kind: "deliver"; choice: number };

interface SentOrder {
  planner: number;
  runner: string;
  fence: number;
  order: RunnerOrder;
}

interface ExecutedOrder {
  planner: number;
  fence: number;
}

/** Two planners before one pool. Orders wait on the network until the schedule delivers them, in any order. */
function createHandover() {
  const planners = [createHarness(), createHarness()];
  const runners = new Map<string, Runner>(
    createDomain("d1", 8).map((runner) => [
      runner.id,
      { ...runner, staged: ["small"], model: "small" },
    ]),
  );
  const network: SentOrder[] = [];
  const highestFence = new Map<string, number>();
  const executed = new Map<string, ExecutedOrder[]>();
  let term = 0;
  for (const planner of planners) {
    publish(planner, { runners: [...runners.values()] });
  }

  function handle(planner: number, effects: readonly Effect[]): void {
    for (const effect of effects) {
      if (effect.kind === "begin_term") {
        term += 1;
        handle(planner, planners[planner]!.feed({ kind: "term_begun", term }));
      }
      if (effect.kind === "check_runner") {
        const { runner } = effect;
        planners[planner]!.feed({
          kind: "runner_checked",
          runner,
          status: "alive",
          report: undefined,
        });
      }
      if (effect.kind !== "order_runner") continue;
      const { runner, fence, order } = effect;
      network.push({ planner, runner, fence, order });
    }
  }

  /** Carries out an order as a runner does that checks fencing numbers. */
  function execute({ planner, runner: id, fence, order }: SentOrder) {
    if (fence < (highestFence.get(id) ?? 0)) return "fenced";
    highestFence.set(id, fence);
    const log = executed.get(id) ?? [];
    executed.set(id, [...log, { planner, fence }]);
    const runner = runners.get(id)!;
    const next = apply(runner, order);
    if (next === undefined) return "mismatched";
    runners.set(id, next);
    return "accepted";
  }

  function deliver(choice: number): void {
    const [sent] = network.splice(choice % Math.max(1, network.length), 1);
    if (sent === undefined) return;
    const outcome: OrderOutcome = execute(sent);
    const { planner, runner, fence } = sent;
    handle(
      planner,
      planners[planner]!.feed({
        kind: "order_completed",
        runner,
        fence,
        outcome,
      }),
    );
  }

  const steps: {
    [K in Step["kind"]]: (step: Extract<Step, { kind: K }>) => void;
  } = {
    run({ planner, ms }) {
      const harness: GatewayHarness = planners[planner]!;
      harness.feed({
        kind: "runners_read",
        runners: [...runners.values()],
        removedIds: [],
        isWhole: true,
        position: { timeline: 1, offset: 0 },
        confirmedAt: harness.state.now,
      });
      handle(planner, harness.advance(ms));
    },
    grant({ planner }) {
      const harness = planners[planner]!;
      const sentAt = harness.state.now;
      harness.feed({ kind: "leadership_renewed", isGranted: true, sentAt });
      steps.run({ kind: "run", planner, ms: 600 });
    },
    deliver: ({ choice }) => deliver(choice),
  };
  return {
    executed,
    take: (step: Step) => (steps[step.kind] as (step: Step) => void)(step),
  };
}

/** Returns the runner after an order; undefined where the order does not fit. */
function apply(runner: Runner, order: RunnerOrder): Runner | undefined {
  if (order.action === "stage") return { ...runner, staged: [order.model] };
  const { membership } = runner;
  if (order.action === "join") {
    const { group, epoch, members } = order;
    const rank = members.indexOf(runner.id);
    return { ...runner, membership: { group, epoch, rank, state: "ready" } };
  }
  if (
    membership?.group !== order.group || membership.epoch !== order.epoch
  ) return undefined;
  if (order.action === "leave") return { ...runner, membership: undefined };
  const state = order.action === "open" ? "open" : "ready";
  return { ...runner, membership: { ...membership, state } };
}

const planner = fc.nat(1);
const step: fc.Arbitrary<Step> = fc.oneof(
  fc.record({
    kind: fc.constant("run" as const),
    planner,
    ms: fc.constantFrom(100, 500, 1_200),
  }),
  fc.record({ kind: fc.constant("grant" as const), planner }),
  fc.record({ kind: fc.constant("deliver" as const), choice: fc.nat(40) }),
);

/** Environment variable with the seed of fresh schedules; a fixed seed is used where it is unset. */
const SEED_VARIABLE = "HANDOVER_SEED";
const SEED = Number(process.env[SEED_VARIABLE] ?? 20_261_204);

describe("a hand-over between two planners", () => {
  it("lets no order take effect twice, and none of a former leader after one of a later leader", () => {
    let orders = 0;
    let bothActed = 0;
    fc.assert(
      fc.property(fc.array(step, { minLength: 30, maxLength: 80 }), (plan) => {
        const handover = createHandover();
        for (const each of plan) handover.take(each);
        for (const log of handover.executed.values()) {
          const fences = log.map(({ fence }) => fence);
          const rising = [...new Set(fences)].sort((left, right) =>
            left - right
          );
          expect(fences).to.deep.equal(rising);
          orders += log.length;
          if (new Set(log.map((each) => each.planner)).size > 1) bothActed += 1;
        }
      }),
      { seed: SEED, numRuns: 300 },
    );
    expect(orders).to.be.above(1_000);
    expect(bothActed).to.be.above(100);
  });
});
