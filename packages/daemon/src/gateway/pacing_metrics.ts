/**
 * Metrics of pacing: cold runners, and sends that were held back from runners.
 *
 * @module
 */
import { isCold, type State } from "@primroseshed/core";
import { Counter, type Registry } from "prom-client";
import { createGaugeAdder } from "../observe/gauges.ts";

/** Creates the metrics of pacing, which are read from the state when scraped. */
export function createPacingMetrics(
  state: State,
  { registers }: { registers: Registry[] },
): void {
  const gateway = state.gateway!;
  createGaugeAdder(registers)(
    "primrose_cold_runners",
    "Known runners that have just started, and take few requests until they are warm",
    () =>
      [...gateway.runners.values()].filter((runner) => isCold(state, runner))
        .length,
  );
  new Counter({
    name: "primrose_sends_held_back_total",
    help:
      "Times that the choice of a runner passed one over to keep its pace, by what sets the pace",
    labelNames: ["cause"],
    registers,
    collect() {
      this.reset();
      for (const [cause, count] of Object.entries(gateway.pacing.heldBack)) {
        this.inc({ cause }, count);
      }
    },
  });
}
