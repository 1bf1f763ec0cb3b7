/**
 * Baselines that scenarios compare with the policy: one FIFO queue with round robin, and one with the least loaded
 * group, both without fairness.
 *
 * @module
 */
import { type Clock, createClock } from "./clock.ts";
import { createEngine, type Engine } from "./engine.ts";
import { type FleetSimulationOptions, groupName } from "./fleet.ts";
import type { OfferedRequest } from "./load.ts";
import { createRunResults, recordToken, type RunResults } from "./results.ts";

/** How a baseline chooses a group. */
export type BaselineKind = "round_robin" | "least_loaded";

/** A running simulation of a baseline. */
export interface BaselineSimulation {
  clock: Clock;
  engines: Engine[];
  results: RunResults;
  run(untilMs: number): void;
}

/** Latency of a call to an engine, ms. */
const CALL_MS = 0.5;

type Chooser = (
  engines: readonly Engine[],
  inFlight: ReadonlyMap<string, number>,
  turn: number,
) => Engine;

const CHOOSERS: Readonly<Record<BaselineKind, Chooser>> = {
  round_robin: (engines, _inFlight, turn) =>
    engines[turn % engines.length] as Engine,
  least_loaded: (engines, inFlight) =>
    engines.reduce((best, engine) =>
      (inFlight.get(engine.name) ?? 0) < (inFlight.get(best.name) ?? 0)
        ? engine
        : best
    ),
};

/** Creates a baseline with one FIFO queue and a fixed batch size for each group. */
export function createBaseline(
  requests: readonly OfferedRequest[],
  { kind, groups, batch }: Pick<FleetSimulationOptions, "groups"> & {
    kind: BaselineKind;
    batch: number;
  },
): BaselineSimulation {
  const clock = createClock();
  const results = createRunResults(requests);
  const engines = Array.from(
    { length: groups },
    (_, index) => createEngine(groupName(index), clock),
  );
  const inFlight = new Map<string, number>();
  const queue: OfferedRequest[] = [];
  let head = 0;
  let turn = 0;

  function start(request: OfferedRequest, engine: Engine): void {
    const requestOutcome = results.outcomes.get(request.id);
    if (requestOutcome === undefined) return;
    requestOutcome.attempts += 1;
    inFlight.set(engine.name, (inFlight.get(engine.name) ?? 0) + 1);
    engine.submit({
      id: request.id,
      rank: "standard",
      lowUsage: false,
      promptTokens: request.promptTokens,
      outputTokens: request.outputTokens,
      prefixes: request.prefixes,
      resumeFrom: 0,
      onToken: () =>
        clock.after(
          CALL_MS,
          () => recordToken(results, requestOutcome, clock.now),
        ),
      onEnd(outcome) {
        inFlight.set(engine.name, (inFlight.get(engine.name) ?? 1) - 1);
        requestOutcome.responseCodes.push(
          outcome === "completed" ? "ok" : outcome,
        );
        requestOutcome.endedAt = clock.now;
        dispatch();
      },
    });
  }

  function dispatch(): void {
    while (head < queue.length) {
      const alive = engines.filter(({ dead }) => !dead);
      const engine = CHOOSERS[kind](alive, inFlight, turn);
      if ((inFlight.get(engine.name) ?? 0) >= batch) {
        const freeEngine = alive.find(({ name }) =>
          (inFlight.get(name) ?? 0) < batch
        );
        if (freeEngine === undefined) return;
        turn += 1;
        start(queue[head] as OfferedRequest, freeEngine);
      } else {
        turn += 1;
        start(queue[head] as OfferedRequest, engine);
      }
      head += 1;
    }
  }

  return {
    clock,
    engines,
    results,
    run(untilMs) {
      for (const request of requests) {
        clock.at(request.at, () => {
          queue.push(request);
          dispatch();
        });
      }
      clock.runUntil(untilMs);
    },
  };
}
