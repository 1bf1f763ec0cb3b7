import { expect } from "chai";
import fc from "fast-check";
import { advance } from "../request/machine.ts";
import type { Request } from "../request/types.ts";
import { createFairNode } from "./fair_queue.ts";
import {
  charge,
  enqueue,
  peekExcess,
  peekFair,
  removeWaiting,
  type RequestNode,
} from "./request_queue.ts";

const weightOf = () => 1;
let count = 0;

function createWaiting(team: string, cost = 100, owner = "tavua"): Request {
  count += 1;
  return {
    request: `r${count}`,
    principal: { owner, team, caller: "c" },
    phase: "queued",
    predictedCost: cost,
    arrivedAt: count,
  } as Request;
}

function serve(root: RequestNode): string | undefined {
  const next = peekFair(root);
  if (next === undefined) return undefined;
  removeWaiting(root, next);
  advance(next, "send");
  charge(root, next, { amount: next.predictedCost, weightOf });
  return next.principal.team;
}

describe("fair queue", () => {
  it("serves two backlogged teams by cost, not by requests", () => {
    const root = createFairNode<Request>("");
    for (let index = 0; index < 60; index++) {
      enqueue(root, createWaiting("large", 300), { weightOf, unitCost: 100 });
      enqueue(root, createWaiting("small", 100), { weightOf, unitCost: 100 });
    }
    const served = Array.from({ length: 40 }, () => serve(root));
    const large = served.filter((team) => team === "large").length;
    expect(large).to.be.within(9, 11);
  });

  it("serves a small caller's burst before a large caller's backlog", () => {
    const root = createFairNode<Request>("");
    for (let index = 0; index < 50; index++) {
      enqueue(root, createWaiting("large"), { weightOf, unitCost: 100 });
    }
    for (let index = 0; index < 20; index++) serve(root);
    for (let index = 0; index < 3; index++) {
      enqueue(root, createWaiting("small"), { weightOf, unitCost: 100 });
    }
    expect([serve(root), serve(root), serve(root)]).to.deep.equal([
      "small",
      "small",
      "small",
    ]);
  });

  it("sheds from the longest backlog, and the arrived request among equal ones", () => {
    const root = createFairNode<Request>("");
    for (let index = 0; index < 20; index++) {
      enqueue(root, createWaiting("large"), { weightOf, unitCost: 100 });
    }
    const arrived = createWaiting("small");
    enqueue(root, arrived, { weightOf, unitCost: 100 });
    expect(peekExcess(root, { arrived, isExempt: () => false })?.principal.team)
      .to.equal("large");
    const equal = createWaiting("large");
    enqueue(root, equal, { weightOf, unitCost: 100 });
    expect(peekExcess(root, { arrived: equal, isExempt: () => false })).to
      .equal(equal);
  });

  it("never sheds the work of an exempt owner", () => {
    const root = createFairNode<Request>("");
    for (let index = 0; index < 20; index++) {
      enqueue(root, createWaiting("t", 100, "abay"), {
        weightOf,
        unitCost: 100,
      });
    }
    const arrived = createWaiting("t", 100, "tavua");
    enqueue(root, arrived, { weightOf, unitCost: 100 });
    const isExempt = (owner: string) => owner === "abay";
    expect(peekExcess(root, { arrived, isExempt })?.principal.owner).to.equal(
      "tavua",
    );
  });

  it("keeps backlog and cost equal to the waiting requests under any sequence of changes", () => {
    const step = fc.record({
      team: fc.constantFrom("a", "b", "c"),
      act: fc.constantFrom("add", "serve", "leave", "shed"),
    });
    fc.assert(
      fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
        const root = createFairNode<Request>("");
        const waiting = new Set<Request>();
        for (const { team, act } of steps) {
          if (act === "add") {
            const request = createWaiting(team);
            enqueue(root, request, { weightOf, unitCost: 100 });
            waiting.add(request);
          }
          const [first] = waiting;
          const chosen = act === "serve"
            ? peekFair(root)
            : act === "leave"
            ? first
            : act === "shed" && first
            ? peekExcess(root, { arrived: first, isExempt: () => false })
            : undefined;
          if (chosen === undefined) continue;
          expect(waiting.has(chosen)).to.equal(true);
          removeWaiting(root, chosen);
          advance(chosen, "end");
          waiting.delete(chosen);
        }
        expect(root.backlog).to.equal(waiting.size);
        expect(root.cost).to.equal(
          [...waiting].reduce(
            (sum, { predictedCost }) => sum + predictedCost,
            0,
          ),
        );
        expect(peekFair(root) === undefined).to.equal(waiting.size === 0);
      }),
      { seed: 21, numRuns: 500 },
    );
  });
});
