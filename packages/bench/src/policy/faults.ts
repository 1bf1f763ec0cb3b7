/**
 * Scenarios of stale load reports, lost cache updates, dead and slow groups, and failing attempts.
 *
 * @module
 */
import {
  firstTokenPercentile,
  inTimeShare,
  type RunResults,
  selectOutcomes,
} from "../fleet/results.ts";
import { createRandom, nextFloat } from "@primroseshed/core";
import type { Bench, Figure } from "../figure.ts";
import type { FleetSimulation } from "../fleet/fleet.ts";
import { checkInvariants } from "./invariants.ts";
import {
  drawScenarioRequests,
  EXCLUDED_TAIL_MS,
  GROUPS,
  MEASURED_WINDOW,
  readBaselines,
  RUN_MS,
  runBaselines,
  runPolicy,
  type ScheduledAction,
  spreadLoad,
  STEADY_MIX,
  WARM_UP_MS,
} from "./setup.ts";

function firstTokenP95(results: RunResults, window = MEASURED_WINDOW): number {
  const outcomes = (["urgent", "standard"] as const).flatMap((rank) =>
    selectOutcomes(results, { rank, ...window })
  );
  return firstTokenPercentile(outcomes, 95);
}

const staleReports: Bench = {
  name: "stale_reports",
  run() {
    const requests = drawScenarioRequests(spreadLoad(STEADY_MIX));
    const fresh = runPolicy(requests);
    const stale = runPolicy(requests, { reportLagMs: 2_000 });
    const baselines = runBaselines(requests);
    const freshMs = firstTokenP95(fresh.results);
    return [
      {
        name: "stale_reports.first_token_p95_ratio",
        value: firstTokenP95(stale.results) / freshMs,
        unit: "ratio",
        atMost: 1.25,
        baseline: readBaselines(
          baselines,
          (results) => firstTokenP95(results) / freshMs,
        ),
      },
      checkInvariants("stale_reports", stale),
    ];
  },
};

const SHARED_PROMPTS = 60;

function cachedShare({ engines }: Pick<FleetSimulation, "engines">): number {
  const totalTokens = engines.reduce(
    (sum, { prefill }) => sum + prefill.totalTokens,
    0,
  );
  return engines.reduce((sum, { prefill }) => sum + prefill.cachedTokens, 0) /
    totalTokens;
}

const prefixGaps: Bench = {
  name: "prefix_gaps",
  run() {
    const requests = drawScenarioRequests(
      spreadLoad({ urgent: 0.2, standard: 0.3, batch: 0.2 }, {
        sharedPrompts: SHARED_PROMPTS,
      }),
    );
    const perfect = runPolicy(requests, { perfectCache: true });
    const lossy = runPolicy(requests, { cacheLoss: 0.2, cacheLagMs: 5_000 });
    const withoutAffinity = runPolicy(
      requests.map((request) => ({ ...request })),
      {
        cacheLoss: 1,
        ignoresPrefixes: true,
      },
    );
    const baselines = runBaselines(requests);
    return [
      {
        name: "prefix_gaps.saved_against_perfect",
        value: cachedShare(lossy) / cachedShare(perfect),
        unit: "ratio",
        atLeast: 0.9,
        baseline: Object.fromEntries(
          Object.entries(baselines).map((
            [kind, run],
          ) => [kind, cachedShare(run) / cachedShare(perfect)]),
        ),
      },
      {
        name: "prefix_gaps.first_token_p95_against_no_affinity",
        value: firstTokenP95(lossy.results) /
          firstTokenP95(withoutAffinity.results),
        unit: "ratio",
        atMost: 1,
      },
      checkInvariants("prefix_gaps", lossy),
    ];
  },
};

const OUTAGE_AT_MS = 20_000;
const LOST_GROUPS = GROUPS / 4;

const domainDark: Bench = {
  name: "domain_dark",
  run() {
    const requests = drawScenarioRequests([
      ...spreadLoad({ urgent: 0.25, standard: 0.2, batch: 0.1 }),
      ...spreadLoad({ batch: 5 }, { fromMs: WARM_UP_MS }),
    ]);
    const scheduledActions: ScheduledAction[] = [{
      at: OUTAGE_AT_MS,
      apply: (engines) =>
        engines.slice(0, LOST_GROUPS).forEach((engine) => engine.kill()),
    }];
    let ejected = 0;
    const fleet = runPolicy(requests, {
      scheduledActions,
      prepare({ clock, cores }) {
        for (let at = OUTAGE_AT_MS; at < RUN_MS; at += 500) {
          clock.at(at, () => {
            for (const { state } of cores) {
              ejected = Math.max(
                ejected,
                state.pools.get("assistant")?.ejected ?? 0,
              );
            }
          });
        }
      },
    });
    const baselines = runBaselines(requests, { scheduledActions });
    const window = {
      fromMs: OUTAGE_AT_MS + 5_000,
      untilMs: RUN_MS - EXCLUDED_TAIL_MS,
    };
    const inTime = (results: RunResults) =>
      inTimeShare(selectOutcomes(results, { rank: "urgent", ...window }));
    const aroundOutage = selectOutcomes(fleet.results, {
      fromMs: OUTAGE_AT_MS - 5_000,
      untilMs: OUTAGE_AT_MS + 5_000,
    });
    const lost = aroundOutage.filter(({ request, responseCodes, tokens }) =>
      request.rank !== "batch" &&
      (responseCodes[0] === undefined ||
        (responseCodes[0] !== "ok" && tokens > 0))
    );
    return [
      {
        name: "domain_dark.urgent_in_time",
        value: inTime(fleet.results),
        unit: "share",
        atLeast: 0.95,
        baseline: readBaselines(baselines, inTime),
      },
      {
        name: "domain_dark.lost_or_short",
        value: lost.length,
        unit: "requests",
        atMost: 0,
      },
      {
        name: "domain_dark.ejected",
        value: ejected,
        unit: "groups",
        atMost: Math.floor(GROUPS * 0.3),
      },
      checkInvariants("domain_dark", fleet),
    ];
  },
};

const SLOW_AT_MS = 12_000;
const SLOW_UNTIL_MS = 25_000;
const SLOW_GROUPS = 3;
const SLOWDOWN = 4;

const stragglers: Bench = {
  name: "stragglers",
  run() {
    const requests = drawScenarioRequests(
      spreadLoad({ urgent: 0.2, standard: 0.25, batch: 0.2 }),
      55_000,
    );
    const slowDownGroups =
      (slowdown: number) =>
      (engines: Parameters<ScheduledAction["apply"]>[0]) =>
        engines.slice(0, SLOW_GROUPS).forEach((engine) =>
          engine.slowdown = slowdown
        );
    const scheduledActions = [
      { at: SLOW_AT_MS, apply: slowDownGroups(SLOWDOWN) },
      { at: SLOW_UNTIL_MS, apply: slowDownGroups(1) },
    ];
    let ejectedAt = Infinity;
    let servingAt = Infinity;
    const fleet = runPolicy(requests, {
      untilMs: 55_000,
      scheduledActions,
      prepare({ clock, cores }) {
        const phases = () =>
          cores.flatMap(({ state }) =>
            Array.from(
              { length: SLOW_GROUPS },
              (_, index) => state.targets.get(`group-${index}`)?.phase,
            )
          );
        for (let at = SLOW_AT_MS; at < 55_000; at += 100) {
          clock.at(at, () => {
            const now = phases();
            const out = now.every((phase) =>
              phase === "ejected" || phase === "probing"
            );
            const back = now.every((phase) => phase === "serving");
            if (out && at < SLOW_UNTIL_MS) ejectedAt = Math.min(ejectedAt, at);
            if (back && at > SLOW_UNTIL_MS) servingAt = Math.min(servingAt, at);
          });
        }
      },
    });
    const baselines = runBaselines(requests, {
      untilMs: 55_000,
      scheduledActions,
    });
    const window = { fromMs: SLOW_AT_MS, untilMs: 50_000 };
    const inTime = (results: RunResults) =>
      inTimeShare(selectOutcomes(results, { rank: "urgent", ...window }));
    return [
      {
        name: "stragglers.urgent_in_time",
        value: inTime(fleet.results),
        unit: "share",
        atLeast: 0.99,
        baseline: readBaselines(baselines, inTime),
      },
      {
        name: "stragglers.ejected_after",
        value: ejectedAt - SLOW_AT_MS,
        unit: "ms",
        atMost: 5_000,
      },
      {
        name: "stragglers.back_after",
        value: servingAt - SLOW_UNTIL_MS,
        unit: "ms",
        atMost: 15_000,
      },
      checkInvariants("stragglers", fleet),
    ];
  },
};

const STORM_FROM_MS = 10_000;
const STORM_MS = 60_000;
const STORM_UNTIL_MS = STORM_FROM_MS + STORM_MS;
const STORM_RUN_MS = STORM_UNTIL_MS + 25_000;
const FAILING_SHARE = 0.3;

const retryStorm: Bench = {
  name: "retry_storm",
  run() {
    const requests = drawScenarioRequests(
      spreadLoad({ urgent: 0.2, standard: 0.2, batch: 0.1 }),
      STORM_RUN_MS,
    );
    const random = createRandom(7);
    const fleet = runPolicy(requests, {
      untilMs: STORM_RUN_MS,
      isFailing(_group, now) {
        return now >= STORM_FROM_MS && now < STORM_UNTIL_MS &&
          nextFloat(random) < FAILING_SHARE;
      },
    });
    const attempts = fleet.results.attempts.filter(({ at }) =>
      at >= STORM_FROM_MS && at < STORM_UNTIL_MS
    );
    const firstAttempts = attempts.filter((attempt) => attempt.isFirst).length;
    const recovered = selectOutcomes(fleet.results, {
      fromMs: STORM_UNTIL_MS + 10_000,
      untilMs: STORM_RUN_MS - EXCLUDED_TAIL_MS,
    });
    const urgent = recovered.filter(({ request }) => request.rank !== "batch");
    const figures: Figure[] = [
      {
        name: "retry_storm.sends_per_first_try",
        value: attempts.length / firstAttempts,
        unit: "ratio",
        atMost: 1.1,
      },
      {
        name: "retry_storm.in_time_after_10_s",
        value: inTimeShare(urgent),
        unit: "share",
        atLeast: 0.99,
      },
    ];
    return [...figures, checkInvariants("retry_storm", fleet)];
  },
};

/** Benches of stale reports, lost cache updates, dead and slow groups, and failing attempts. */
export const FAULT_BENCHES: readonly Bench[] = [
  staleReports,
  prefixGaps,
  domainDark,
  stragglers,
  retryStorm,
];
