/**
 * Checks the invariants of every scenario on the request outcomes and the state of the cores.
 *
 * @module
 */
import type { Figure } from "../figure.ts";
import { type FleetSimulation } from "../fleet/fleet.ts";
import type { RequestOutcome } from "../fleet/results.ts";

const MAX_SLOT_ERROR = 1e-6;

function hasSeveralResponses({ responseCodes }: RequestOutcome): boolean {
  return responseCodes.length > 1;
}

function hasFalseVerdict({ verdict, tokens }: RequestOutcome): boolean {
  return verdict === "not_run" && tokens > 0;
}

function hasWrongTokenCount(
  { responseCodes, request, tokens }: RequestOutcome,
): boolean {
  return responseCodes[0] === "ok"
    ? tokens !== request.outputTokens
    : tokens > request.outputTokens;
}

function countWrongPoolCounts(fleet: FleetSimulation): number {
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
      if (Math.abs(slots - pool.slots) > MAX_SLOT_ERROR) wrong += 1;
      const maxRequests = state.config?.config.policy.queueMaxRequests ?? 0;
      if (
        Object.values(pool.queues).some(({ backlog }) => backlog > maxRequests)
      ) {
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
export function checkInvariants(
  scenario: string,
  fleet: FleetSimulation,
): Figure {
  const outcomes = [...fleet.results.outcomes.values()];
  const broken =
    outcomes.filter((requestOutcome) =>
      hasSeveralResponses(requestOutcome) || hasFalseVerdict(requestOutcome) ||
      hasWrongTokenCount(requestOutcome)
    ).length;
  return {
    name: `${scenario}.broken_invariants`,
    value: broken + countWrongPoolCounts(fleet),
    unit: "count",
    atMost: 0,
  };
}
