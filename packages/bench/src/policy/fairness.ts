/**
 * Scenarios of fairness between callers and between owners, of a limit that all entries share and of a replaced entry.
 *
 * @module
 */
import type { Bench, Figure } from "../figure.ts";
import { principalOf } from "../fleet/document.ts";
import type { RequestSource } from "../fleet/load.ts";
import {
  firstTokenPercentile,
  inTimeShare,
  selectOutcomes,
  servedShare,
} from "../fleet/results.ts";
import { checkInvariants } from "./invariants.ts";
import {
  capacityOf,
  drawScenarioRequests,
  ENTRIES,
  EXCLUDED_TAIL_MS,
  GROUPS,
  MEASURED_WINDOW,
  readBaselines,
  RUN_MS,
  runBaselines,
  runPolicy,
  spreadLoad,
  STEADY_MIX,
  WARM_UP_MS,
} from "./setup.ts";

const TEAMS = 10;
/** Load of each small caller as a share of its fair share. */
const SMALL_CALLER_SHARE = 0.6;
const LARGE_FACTOR = 20;

function fairRate(): number {
  return capacityOf().requestsPerSecond * GROUPS / TEAMS;
}

function smallSources(): RequestSource[] {
  return Array.from({ length: TEAMS - 1 }, (_, index) => ({
    principal: principalOf("tavua", index + 1),
    rank: "standard",
    perSecond: fairRate() * SMALL_CALLER_SHARE,
  }));
}

function largeSource(): RequestSource {
  return {
    principal: principalOf("tavua", 0),
    rank: "standard",
    perSecond: fairRate() * LARGE_FACTOR,
  };
}

const smallCallers: Bench = {
  name: "small_callers",
  run() {
    const alone = runPolicy(drawScenarioRequests(smallSources()));
    const requests = drawScenarioRequests([...smallSources(), largeSource()]);
    const besideLarge = runPolicy(requests);
    const baselines = runBaselines(requests);
    const teams = smallSources().map(({ principal }) => principal.team);
    const worstServed = (results: typeof besideLarge.results) =>
      Math.min(
        ...teams.map((team) =>
          servedShare(selectOutcomes(results, { team, ...MEASURED_WINDOW }))
        ),
      );
    const firstTokenP95Of = (results: typeof besideLarge.results) =>
      firstTokenPercentile(
        teams.flatMap((team) =>
          selectOutcomes(results, { team, ...MEASURED_WINDOW })
        ),
        95,
      );
    const aloneMs = firstTokenP95Of(alone.results);
    return [
      {
        name: "small_callers.worst_served",
        value: worstServed(besideLarge.results),
        unit: "share",
        atLeast: 0.99,
        baseline: readBaselines(baselines, worstServed),
      },
      {
        name: "small_callers.wait_p95_ratio",
        value: firstTokenP95Of(besideLarge.results) / aloneMs,
        unit: "ratio",
        atMost: 1.5,
        baseline: readBaselines(
          baselines,
          (results) => firstTokenP95Of(results) / aloneMs,
        ),
      },
      checkInvariants("small_callers", besideLarge),
    ];
  },
};

const ownerShare: Bench = {
  name: "owner_share",
  run() {
    const ownLoad = { urgent: 0.15, standard: 0.2, batch: 0.1 };
    const flood = { urgent: 2, standard: 2, batch: 2 };
    const requests = drawScenarioRequests([
      ...spreadLoad(ownLoad, { owners: ["abay"] }),
      ...spreadLoad(flood, { owners: ["tavua"] }),
    ]);
    const fleet = runPolicy(requests);
    const baselines = runBaselines(requests);
    const inTime = (results: typeof fleet.results) =>
      Math.min(
        ...(["urgent", "standard"] as const).map((rank) =>
          inTimeShare(
            selectOutcomes(results, {
              owner: "abay",
              rank,
              ...MEASURED_WINDOW,
            }),
          )
        ),
      );
    return [
      {
        name: "owner_share.other_in_time",
        value: inTime(fleet.results),
        unit: "share",
        atLeast: 0.99,
        baseline: readBaselines(baselines, inTime),
      },
      checkInvariants("owner_share", fleet),
    ];
  },
};

const LIMIT_PER_SECOND = 40;
const LIMIT_OFFERED_PER_SECOND = 120;
const DEATHS_AT_MS = 20_000;
const STABILIZATION_MS = 5_000;
const LIMIT_WINDOW_MS = 5_000;
/** The balancer sends four times as many requests to each of the first three entries as to each other entry. */
const HEAVY_ENTRIES = 3;
const HEAVY_WEIGHT = 4;
const DEAD_ENTRIES = 3;

function limitSources(): RequestSource[] {
  const weights = Array.from(
    { length: ENTRIES },
    (_, entry) => entry < HEAVY_ENTRIES ? HEAVY_WEIGHT : 1,
  );
  const total = weights.reduce((sum, weight) => sum + weight, 0);
  return weights.map((weight, entry) => ({
    principal: principalOf("tavua", 0),
    rank: "standard",
    perSecond: LIMIT_OFFERED_PER_SECOND * weight / total,
    entry,
  }));
}

const limitSplit: Bench = {
  name: "limit_split",
  run() {
    const requests = drawScenarioRequests([
      ...limitSources(),
      ...spreadLoad({ standard: 0.2 }, { owners: ["abay"] }),
    ]);
    const fleet = runPolicy(requests, {
      config: { limit: { requestsPerMinute: LIMIT_PER_SECOND * 60 } },
      prepare({ clock, cores, killEntry }) {
        clock.at(
          DEATHS_AT_MS,
          () => cores.slice(-DEAD_ENTRIES).forEach(killEntry),
        );
      },
    });
    const admitted = (fromMs: number, untilMs: number) => {
      const outcomes = selectOutcomes(fleet.results, {
        owner: "tavua",
        fromMs,
        untilMs,
      });
      return outcomes.filter(({ attempts }) => attempts > 0).length /
        (untilMs - fromMs) * 1_000;
    };
    const errorOf = (rate: number) => Math.abs(rate / LIMIT_PER_SECOND - 1);
    const windows: Figure[] = [
      ["limit_split.error_uneven", WARM_UP_MS, DEATHS_AT_MS, 0.1],
      [
        "limit_split.error_after_deaths",
        DEATHS_AT_MS,
        DEATHS_AT_MS + LIMIT_WINDOW_MS,
        0.2,
      ],
      [
        "limit_split.error_settled",
        DEATHS_AT_MS + STABILIZATION_MS,
        RUN_MS - EXCLUDED_TAIL_MS,
        0.1,
      ],
    ].map(([name, fromMs, untilMs, atMost]) => ({
      name: name as string,
      value: errorOf(admitted(fromMs as number, untilMs as number)),
      unit: "share",
      atMost: atMost as number,
    }));
    return [...windows, checkInvariants("limit_split", fleet)];
  },
};

const REPLACED_AT_MS = 20_000;

const entryReplaced: Bench = {
  name: "entry_replaced",
  run() {
    const requests = drawScenarioRequests(spreadLoad(STEADY_MIX));
    const fleet = runPolicy(requests, {
      prepare({ clock, cores, addEntry, killEntry }) {
        clock.at(REPLACED_AT_MS, () => {
          killEntry(cores[0] as (typeof cores)[number]);
          const joined = addEntry();
          cores[0] = joined;
        });
      },
    });
    const window = {
      fromMs: REPLACED_AT_MS,
      untilMs: RUN_MS - EXCLUDED_TAIL_MS,
    };
    return [
      ...(["urgent", "standard"] as const).map((rank): Figure => ({
        name: `entry_replaced.${rank}_first_token_p95`,
        value: firstTokenPercentile(
          selectOutcomes(fleet.results, { rank, ...window }),
          95,
        ),
        unit: "ms",
        atMost: 730,
      })),
      checkInvariants("entry_replaced", fleet),
    ];
  },
};

/** Benches of fairness, shared limits and a replaced entry. */
export const FAIRNESS_BENCHES: readonly Bench[] = [
  smallCallers,
  ownerShare,
  limitSplit,
  entryReplaced,
];
