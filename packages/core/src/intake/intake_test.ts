import { expect } from "chai";
import fc from "fast-check";
import {
  balance,
  closeHolding,
  createIntake,
  giveUpSmallChunks,
  type Holding,
  type Intake,
  type IntakeDecision,
  type IntakeLimits,
  openHolding,
  receiveChunk,
  setBodyBytes,
  setStage,
  sweepIntake,
  totalHeld,
} from "./mod.ts";

const LIMITS: IntakeLimits = {
  maxBytes: 1_000,
  maxResponseBytes: 1_000,
  maxCallers: 10,
  maxDaemons: 10,
  maxOperators: 10,
};
const SWEEP_MS = 500;

function start(): Intake {
  return createIntake(LIMITS, { now: 0 });
}

function open(intake: Intake, bytes = 0, deadlineMs?: number): Holding {
  const holding = openHolding(intake, { headBytes: 10, deadlineMs, now: 0 });
  holding.awaitsCaller = true;
  setBodyBytes(intake, holding, bytes);
  return holding;
}

/** Sweeps until a time; `receive` is called before each sweep. */
function sweepUntil(
  intake: Intake,
  { until, receive = () => undefined }: {
    until: number;
    receive?: (now: number) => void;
  },
): IntakeDecision[] {
  const decisions: IntakeDecision[] = [];
  for (let now = intake.sweptAt + SWEEP_MS; now <= until; now += SWEEP_MS) {
    receive(now);
    decisions.push(...sweepIntake(intake, { now }));
  }
  return decisions;
}

const givenUp = (decisions: Iterable<IntakeDecision>) =>
  [...decisions].flatMap((each) => each.kind === "give_up" ? [each] : []);

/** One thing that a caller or the daemon does. */
type Step =
  | { kind: "open"; headBytes: number }
  | { kind: "grow"; index: number; bytes: number }
  | { kind: "complete" | "close"; index: number };

const steps: fc.Arbitrary<Step> = fc.oneof(
  fc.record({
    kind: fc.constant("open" as const),
    headBytes: fc.integer({ min: 1, max: 200 }),
  }),
  fc.record({
    kind: fc.constant("grow" as const),
    index: fc.nat(20),
    bytes: fc.integer({ min: 1, max: 400 }),
  }),
  fc.record({
    kind: fc.constantFrom("complete" as const, "close" as const),
    index: fc.nat(20),
  }),
);

function apply(intake: Intake, step: Step): void {
  if (step.kind === "open") {
    openHolding(intake, { headBytes: step.headBytes, now: 0 });
    return;
  }
  const all = [...intake.holdings.values()];
  const holding = all[step.index % Math.max(1, all.length)];
  if (holding === undefined) return;
  if (step.kind === "grow") {
    if (holding.stage !== "reading") return;
    setBodyBytes(intake, holding, holding.bodyBytes + step.bytes);
  } else if (step.kind === "close") closeHolding(intake, holding);
  else setStage(intake, holding, "waiting");
}

describe("the intake", () => {
  // Guards against an account that drifts from what is held, and against a budget that unfinished requests exceed.
  it("never gives up a complete request, and holds no unfinished one beside others beyond the budget", () => {
    fc.assert(fc.property(fc.array(steps, { maxLength: 80 }), (history) => {
      const intake = start();
      for (const step of history) {
        apply(intake, step);
        const complete = [...intake.holdings.values()]
          .filter(({ stage }) => stage !== "reading").map(({ id }) => id);
        const dropped = givenUp(balance(intake)).map(({ holding }) => holding);
        expect(dropped.filter((id) => complete.includes(id))).to.deep.equal([]);
        const holdings = [...intake.holdings.values()];
        const sum = holdings.reduce(
          (total, { headBytes, bodyBytes }) => total + headBytes + bodyBytes,
          0,
        );
        expect(totalHeld(intake)).to.equal(sum);
        const hasUnfinished = holdings.some(({ stage }) => stage === "reading");
        if (hasUnfinished && holdings.length > 1) {
          expect(sum).to.be.at.most(LIMITS.maxBytes);
        }
      }
    }));
  });

  it("gives up the largest body without progress first, then the largest one", () => {
    const intake = start();
    const stalled = open(intake, 200);
    const larger = open(intake, 500);
    larger.receivedBytes = 500;
    const small = open(intake, 100);
    small.receivedBytes = 100;
    setBodyBytes(intake, small, 300);
    const first = givenUp(balance(intake));
    expect(first).to.deep.equal([
      { kind: "give_up", holding: stalled.id, cause: "budget" },
    ]);
    setBodyBytes(intake, small, 490);
    expect(givenUp(balance(intake))[0]).to.include({ holding: larger.id });
    expect([...intake.holdings.keys()]).to.deep.equal([small.id]);
  });

  it("keeps a single request of any size", () => {
    const intake = start();
    open(intake, 5_000);
    expect([...balance(intake)]).to.deep.equal([]);
  });

  it("stops reading while complete requests hold most of the budget", () => {
    const intake = start();
    const complete = open(intake, 760);
    setStage(intake, complete, "waiting");
    expect([...balance(intake)]).to.deep.equal([{ kind: "pause" }]);
    expect([...balance(intake)]).to.deep.equal([]);
    closeHolding(intake, complete);
    expect([...balance(intake)]).to.deep.equal([{ kind: "resume" }]);
  });
});

describe("the progress of a body", () => {
  it("is enough at 64 bytes a second until the deadline of its caller", () => {
    const intake = start();
    const slow = open(intake, 10, 20_000);
    const receive = () => void (slow.receivedBytes += 32);
    const early = sweepUntil(intake, { until: 19_500, receive });
    expect(early).to.deep.equal([]);
    const late = sweepUntil(intake, { until: 20_000, receive });
    expect(givenUp(late)).to.deep.equal([
      { kind: "give_up", holding: slow.id, cause: "slow" },
    ]);
  });

  it("is not asked for before 6 seconds, whatever the deadline", () => {
    const intake = start();
    open(intake, 10, 100);
    expect(sweepUntil(intake, { until: 5_500 })).to.deep.equal([]);
    expect(sweepUntil(intake, { until: 6_000 })).to.have.length(1);
  });

  it("ends 6 seconds after the last bytes of a body that stops short of its end", () => {
    const intake = start();
    const body = open(intake, 10, 60_000);
    const receive = (now: number) => {
      if (now <= 10_000) body.receivedBytes += 1_000;
    };
    expect(sweepUntil(intake, { until: 15_500, receive })).to.deep.equal([]);
    expect(sweepUntil(intake, { until: 16_500, receive })).to.have.length(1);
  });

  it("is not asked for while the daemon does not read, or was late itself", () => {
    const intake = start();
    const body = open(intake, 10, 60_000);
    body.awaitsCaller = false;
    expect(sweepUntil(intake, { until: 20_000 })).to.deep.equal([]);
    body.awaitsCaller = true;
    // One sweep after a pause of the whole process.
    expect([...sweepIntake(intake, { now: 50_000 })]).to.deep.equal([]);
    expect(sweepUntil(intake, { until: 55_500 })).to.deep.equal([]);
    expect(sweepUntil(intake, { until: 56_000 })).to.have.length(1);
  });
});

describe("small chunks", () => {
  function send(intake: Intake, holding: Holding, count: number): boolean {
    let isOver = false;
    for (let index = 0; index < count; index += 1) {
      isOver = receiveChunk(intake, holding, { bytes: 1 });
    }
    return isOver;
  }

  it("of a single request are all read", () => {
    const intake = start();
    const holding = open(intake);
    expect(send(intake, holding, 100_000)).to.equal(true);
    expect([...giveUpSmallChunks(intake)]).to.deep.equal([]);
  });

  it("of many requests end all but the oldest, and no small body", () => {
    const intake = start();
    const holdings = Array.from({ length: 4 }, () => open(intake));
    const ordinary = open(intake);
    expect(send(intake, ordinary, 1)).to.equal(false);
    for (const holding of holdings) send(intake, holding, 10_000);
    const decisions = givenUp(giveUpSmallChunks(intake));
    expect(decisions.map(({ holding }) => holding)).to.deep.equal(
      holdings.slice(1).map(({ id }) => id),
    );
    expect(send(intake, ordinary, 1)).to.equal(false);
    expect([...intake.holdings.keys()]).to.deep.equal([
      holdings[0]!.id,
      ordinary.id,
    ]);
  });

  it("are counted anew after each sweep", () => {
    const intake = start();
    const holding = open(intake);
    send(intake, holding, 20_000);
    sweepUntil(intake, { until: SWEEP_MS });
    expect(send(intake, holding, 20_000)).to.equal(false);
  });
});
