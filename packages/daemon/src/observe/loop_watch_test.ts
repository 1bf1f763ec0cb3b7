import { expect } from "chai";
import { Registry } from "prom-client";
import { createLoopWatch } from "./loop_watch.ts";

function createWatch() {
  const lines: [string, Record<string, unknown>][] = [];
  const registry = new Registry();
  const onDelay = createLoopWatch({
    registry,
    log: (event, fields = {}) => lines.push([event, fields]),
    describeLoad: () => ({ requests: 3 }),
  });
  return { lines, registry, onDelay };
}

describe("loop watch", () => {
  it("logs a long delay with what the process did meanwhile", () => {
    const { lines, onDelay } = createWatch();
    onDelay({ lateMs: 640.4, spanMs: 740.2, cpuMs: 11.6, events: 3 });
    expect(lines).to.deep.equal([["loop_late", {
      lateMs: 640,
      spanMs: 740,
      cpuMs: 12,
      events: 3,
      requests: 3,
    }]]);
  });

  it("counts short delays without a log line", async () => {
    const { lines, registry, onDelay } = createWatch();
    onDelay({ lateMs: 3, spanMs: 103, cpuMs: 2, events: 1 });
    expect(lines).to.deep.equal([]);
    expect(await registry.metrics()).to.contain(
      'primrose_loop_delay_seconds_bucket{le="0.01"} 1',
    );
  });
});
