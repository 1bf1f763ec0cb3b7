/**
 * Checks the invariants of every scenario on the request outcomes and the state of the cores.
 *
 * @module
 */
import { type Fleet } from "../fleet/fleet.ts";
import type { Fate } from "../fleet/record.ts";
import type { Figure } from "../runner/types.ts";

const MAX_COST_ERROR = 1e-6;

function breaksOutcome({ outcomes }: Fate): boolean {
  return outcomes.length > 1;
}

function breaksVerdict({ verdict, tokens }: Fate): boolean {
  return verdict === "not_run" && tokens > 0;
}

function breaksTokens({ outcomes, offer, tokens }: Fate): boolean {
  return outcomes[0] === "ok"
    ? tokens !== offer.outputTokens
    : tokens > offer.outputTokens;
}

function countAccounts(fleet: Fleet): number {
  let wrong = 0;
  for (const { state, dead } of fleet.cores) {
    if (dead) continue;
    for (const pool of state.pools.values()) {
      const queued = [...state.requests.values()].filter(({ phase }) =>
        phase === "queued"
      ).length;
      const waiting = pool.queues.urgent.backlog +
        pool.queues.standard.backlog + pool.queues.batch.backlog +
        pool.resumptions.length;
      if (queued !== waiting) wrong += 1;
      const slots = [...pool.targets].reduce(
        (sum, name) => sum + (state.targets.get(name)?.limit ?? 0),
        0,
      );
      if (Math.abs(slots - pool.slots) > MAX_COST_ERROR) wrong += 1;
      const most = state.config?.config.policy.queueMaxRequests ?? 0;
      if (Object.values(pool.queues).some(({ backlog }) => backlog > most)) {
        wrong += 1;
      }
    }
  }
  return wrong;
}

/**
 * Counts broken invariants of a run: each request has at most one outcome and a true verdict, a completed response has
 * all its tokens, and the queue and slot counts of each pool match the requests and targets.
 */
export function checkInvariants(scenario: string, fleet: Fleet): Figure {
  const fates = [...fleet.records.fates.values()];
  const broken =
    fates.filter((fate) =>
      breaksOutcome(fate) || breaksVerdict(fate) || breaksTokens(fate)
    ).length;
  return {
    name: `${scenario}.broken_invariants`,
    value: broken + countAccounts(fleet),
    unit: "count",
    atMost: 0,
  };
}
