import { expect } from "chai";
import type { WaitingQueue } from "./types.ts";
import {
  addWaiter,
  createAdmission,
  levelOf,
  moveToLate,
  queueOf,
  recordDemand,
  recordStart,
  removeWaiter,
  waitersAhead,
  waitersInOrder,
} from "./waiting_queue.ts";

const NOW = { now: 0 };
let count = 0;

function createQueue(): WaitingQueue {
  return queueOf(createAdmission(), "k", NOW);
}

function add(
  queue: WaitingQueue,
  route: string,
  { team = "t", priority = 0, cost = 1_000, isLate = false } = {},
) {
  count += 1;
  const request = `${route}-${count}`;
  recordDemand(queue, { priority, cost }, NOW);
  const path = [route, team] as const;
  return addWaiter(queue, { request, priority, path, cost, since: 0, isLate });
}

/** Starts the next request and returns its route. */
function startNext(queue: WaitingQueue): string | undefined {
  const [next] = waitersInOrder(queue);
  if (next === undefined) return undefined;
  removeWaiter(queue, next.request);
  recordStart(queue, next, NOW);
  return next.path[0];
}

function startAll(queue: WaitingQueue, starts: number): string[] {
  return Array.from({ length: starts }, () => startNext(queue) ?? "none");
}

function countOf(routes: readonly string[], route: string): number {
  return routes.filter((name) => name === route).length;
}

describe("waiting queue", () => {
  it("serves the more urgent priority first, and routes of one priority by cost", () => {
    const queue = createQueue();
    for (let index = 0; index < 60; index += 1) {
      add(queue, "long", { cost: 3_000 });
      add(queue, "short", { cost: 1_000 });
    }
    add(queue, "urgent", { priority: -1 });
    expect(startNext(queue)).to.equal("urgent");
    const starts = startAll(queue, 40);
    expect(countOf(starts, "long")).to.be.within(9, 12);
  });

  it("serves a team with few requests before a team with many", () => {
    const queue = createQueue();
    for (let index = 0; index < 50; index += 1) {
      add(queue, "r", { team: "large" });
    }
    startAll(queue, 20);
    const small = add(queue, "r", { team: "small" });
    expect(waitersAhead(queue, small)).to.be.at.most(1);
    const [next] = waitersInOrder(queue);
    expect(next).to.equal(small);
  });

  it("serves what can be in time before all that is late, whatever its priority", () => {
    const queue = createQueue();
    const urgent = add(queue, "urgent", { priority: 0 });
    moveToLate(queue, urgent, { now: 500 });
    add(queue, "normal", { priority: 1 });
    expect(startAll(queue, 3)).to.deep.equal(["normal", "urgent", "none"]);
  });

  it("gives a less urgent priority a quarter of its demand's share of the starts at least", () => {
    const queue = createQueue();
    const starts: string[] = [];
    for (let round = 0; round < 2_000; round += 1) {
      // Of 10 requests 2 are less urgent, and 4 slots come free.
      for (let index = 0; index < 10; index += 1) {
        if (index < 8) add(queue, "urgent");
        else add(queue, "normal", { priority: 1 });
      }
      starts.push(...startAll(queue, 4));
    }
    const share = countOf(starts, "normal") / starts.length;
    expect(share).to.be.within(0.2 * 0.25, 0.2 * 0.5);
  });

  it("saves up no more than two requests for a priority without demand", () => {
    const queue = createQueue();
    add(queue, "normal", { priority: 1 });
    startNext(queue);
    for (let index = 0; index < 500; index += 1) add(queue, "urgent");
    startAll(queue, 400);
    expect(levelOf(queue, 1, NOW).credit).to.be.at.most(
      2 * queue.unitCost.value,
    );
  });

  it("keeps nothing of a request that has left", () => {
    const queue = createQueue();
    const first = add(queue, "r");
    const second = add(queue, "r");
    removeWaiter(queue, first.request);
    removeWaiter(queue, first.request);
    expect([...waitersInOrder(queue)]).to.deep.equal([second]);
    expect(levelOf(queue, 0, NOW).inTime.backlog).to.equal(1);
  });
});
