/**
 * Baselines that scenarios compare with the policy: one FIFO queue with round robin, and one with the least loaded
 * group, both without fairness.
 *
 * @module
 */
import { type Clock, createClock } from "./clock.ts";
import { createEngine, type Engine } from "./engine.ts";
import { type FleetOptions, groupName } from "./fleet.ts";
import type { Offer } from "./load.ts";
import { createRecords, noteToken, type Records } from "./record.ts";

/** How a baseline chooses a group. */
export type BaselineKind = "round_robin" | "least_loaded";

/** A running simulation of a baseline. */
export interface BaselineFleet {
  clock: Clock;
  engines: Engine[];
  records: Records;
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
  offers: readonly Offer[],
  { kind, groups, batch }: Pick<FleetOptions, "groups"> & {
    kind: BaselineKind;
    batch: number;
  },
): BaselineFleet {
  const clock = createClock();
  const records = createRecords(offers);
  const engines = Array.from(
    { length: groups },
    (_, index) => createEngine(groupName(index), clock),
  );
  const inFlight = new Map<string, number>();
  const queue: Offer[] = [];
  let head = 0;
  let turn = 0;

  function start(offer: Offer, engine: Engine): void {
    const fate = records.fates.get(offer.id);
    if (fate === undefined) return;
    fate.sends += 1;
    inFlight.set(engine.name, (inFlight.get(engine.name) ?? 0) + 1);
    engine.submit({
      id: offer.id,
      rank: "standard",
      light: false,
      promptTokens: offer.promptTokens,
      outputTokens: offer.outputTokens,
      prefixes: offer.prefixes,
      resumeFrom: 0,
      onToken: () =>
        clock.after(CALL_MS, () => noteToken(records, fate, clock.now)),
      onEnd(outcome) {
        inFlight.set(engine.name, (inFlight.get(engine.name) ?? 1) - 1);
        fate.outcomes.push(outcome === "completed" ? "ok" : outcome);
        fate.endedAt = clock.now;
        dispatch();
      },
    });
  }

  function dispatch(): void {
    while (head < queue.length) {
      const alive = engines.filter(({ dead }) => !dead);
      const engine = CHOOSERS[kind](alive, inFlight, turn);
      if ((inFlight.get(engine.name) ?? 0) >= batch) {
        const open = alive.find(({ name }) =>
          (inFlight.get(name) ?? 0) < batch
        );
        if (open === undefined) return;
        turn += 1;
        start(queue[head] as Offer, open);
      } else {
        turn += 1;
        start(queue[head] as Offer, engine);
      }
      head += 1;
    }
  }

  return {
    clock,
    engines,
    records,
    run(untilMs) {
      for (const offer of offers) {
        clock.at(offer.at, () => {
          queue.push(offer);
          dispatch();
        });
      }
      clock.runUntil(untilMs);
    },
  };
}
