import { createState } from "@primroseshed/core";
import { expect } from "chai";
import { setTimeout } from "node:timers/promises";
import { createDriver, type LoopDelay, monotonicNow } from "./driver.ts";

const STARTED_MS = 20;
const BLOCKED_MS = 400;
/** Interval of the core's timers. */
const HOUSEKEEPING_MS = 250;
const NODE = {
  name: "daemon-1",
  zone: "suva-a",
  site: "viti-levu",
  incarnation: "1",
  balancerLagMs: 0,
};

function blockLoop(ms: number): void {
  const end = monotonicNow() + ms;
  while (monotonicNow() < end);
}

describe("driver", () => {
  it("reports by how much the event loop was late, and that it worked meanwhile", async () => {
    const delays: LoopDelay[] = [];
    const driver = createDriver({
      state: createState(NODE, { seed: 1, now: monotonicNow() }),
      // A busy machine reads its sockets twice before the driver stops, and the reducer then logs that it caught up.
      handlers: { peer_send: () => undefined, log: () => undefined },
      onError: (error) => {
        throw error;
      },
      onDelay: (delay) => delays.push(delay),
    });
    await setTimeout(STARTED_MS);
    delays.length = 0;
    blockLoop(BLOCKED_MS);
    await setTimeout(0);
    driver.stop();
    const [delay] = delays;
    expect(delay!.lateMs).to.be.at.least(BLOCKED_MS - HOUSEKEEPING_MS);
    expect(delay!.spanMs).to.be.at.least(BLOCKED_MS);
    expect(delay!.cpuMs).to.be.at.least(BLOCKED_MS / 2);
  });
});
