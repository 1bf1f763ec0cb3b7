/**
 * Scenarios of fairness between callers and between owners, of a limit that all entries share and of a replaced entry.
 *
 * @module
 */
import { principalOf } from "../fleet/document.ts";
import type { Source } from "../fleet/load.ts";
import {
  firstTokenPercentile,
  inTimeShare,
  select,
  servedShare,
} from "../fleet/record.ts";
import type { Bench, Figure } from "../runner/types.ts";
import { checkInvariants } from "./invariants.ts";
import {
  capacityOf,
  ENTRIES,
  fromBaselines,
  GROUPS,
  offersFor,
  RUN_MS,
  runBaselines,
  runPolicy,
  SETTLED_MS,
  spread,
  STEADY_MIX,
  TAIL_MS,
  WINDOW,
} from "./setup.ts";

const TEAMS = 10;
/** Load of each small caller as a share of its fair share. */
const SMALL_LOAD = 0.6;
const LARGE_FACTOR = 20;

function fairRate(): number {
  return capacityOf().requestsPerSecond * GROUPS / TEAMS;
}

function smallSources(): Source[] {
  return Array.from({ length: TEAMS - 1 }, (_, index) => ({
    principal: principalOf("tavua", index + 1),
    rank: "standard",
    perSecond: fairRate() * SMALL_LOAD,
  }));
}

function largeSource(): Source {
  return {
    principal: principalOf("tavua", 0),
    rank: "standard",
    perSecond: fairRate() * LARGE_FACTOR,
  };
}

const smallCallers: Bench = {
  name: "small_callers",
  run() {
    const alone = runPolicy(offersFor(smallSources()));
    const offers = offersFor([...smallSources(), largeSource()]);
    const beside = runPolicy(offers);
    const baselines = runBaselines(offers);
    const teams = smallSources().map(({ principal }) => principal.team);
    const worstServed = (records: typeof beside.records) =>
      Math.min(
        ...teams.map((team) =>
          servedShare(select(records, { team, ...WINDOW }))
        ),
      );
    const waitOf = (records: typeof beside.records) =>
      firstTokenPercentile(
        teams.flatMap((team) => select(records, { team, ...WINDOW })),
        95,
      );
    const aloneMs = waitOf(alone.records);
    return [
      {
        name: "small_callers.worst_served",
        value: worstServed(beside.records),
        unit: "share",
        atLeast: 0.99,
        baseline: fromBaselines(baselines, worstServed),
      },
      {
        name: "small_callers.wait_p95_ratio",
        value: waitOf(beside.records) / aloneMs,
        unit: "ratio",
        atMost: 1.5,
        baseline: fromBaselines(
          baselines,
          (records) => waitOf(records) / aloneMs,
        ),
      },
      checkInvariants("small_callers", beside),
    ];
  },
};

const ownerShare: Bench = {
  name: "owner_share",
  run() {
    const paid = { urgent: 0.15, standard: 0.2, batch: 0.1 };
    const flood = { urgent: 2, standard: 2, batch: 2 };
    const offers = offersFor([
      ...spread(paid, { owners: ["abay"] }),
      ...spread(flood, { owners: ["tavua"] }),
    ]);
    const fleet = runPolicy(offers);
    const baselines = runBaselines(offers);
    const read = (records: typeof fleet.records) =>
      Math.min(
        ...(["urgent", "standard"] as const).map((rank) =>
          inTimeShare(select(records, { owner: "abay", rank, ...WINDOW }))
        ),
      );
    return [
      {
        name: "owner_share.other_in_time",
        value: read(fleet.records),
        unit: "share",
        atLeast: 0.99,
        baseline: fromBaselines(baselines, read),
      },
      checkInvariants("owner_share", fleet),
    ];
  },
};

const LIMIT_PER_SECOND = 40;
const LIMIT_OFFERED_PER_SECOND = 120;
const DEATHS_AT_MS = 20_000;
const DEATH_SETTLED_MS = 5_000;
const LIMIT_WINDOW_MS = 5_000;
/** The balancer sends four times as many requests to each of the first three entries as to each other entry. */
const HEAVY_ENTRIES = 3;
const HEAVY_WEIGHT = 4;
const DEAD_ENTRIES = 3;

function limitSources(): Source[] {
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
    const offers = offersFor([
      ...limitSources(),
      ...spread({ standard: 0.2 }, { owners: ["abay"] }),
    ]);
    const fleet = runPolicy(offers, {
      config: { limit: { requestsPerMinute: LIMIT_PER_SECOND * 60 } },
      prepare({ clock, cores, killEntry }) {
        clock.at(
          DEATHS_AT_MS,
          () => cores.slice(-DEAD_ENTRIES).forEach(killEntry),
        );
      },
    });
    const admitted = (fromMs: number, untilMs: number) => {
      const fates = select(fleet.records, { owner: "tavua", fromMs, untilMs });
      return fates.filter(({ sends }) => sends > 0).length /
        (untilMs - fromMs) * 1_000;
    };
    const errorOf = (rate: number) => Math.abs(rate / LIMIT_PER_SECOND - 1);
    const windows: Figure[] = [
      ["limit_split.error_uneven", SETTLED_MS, DEATHS_AT_MS, 0.1],
      [
        "limit_split.error_after_deaths",
        DEATHS_AT_MS,
        DEATHS_AT_MS + LIMIT_WINDOW_MS,
        0.2,
      ],
      [
        "limit_split.error_settled",
        DEATHS_AT_MS + DEATH_SETTLED_MS,
        RUN_MS - TAIL_MS,
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

const JOINS_AT_MS = 20_000;

const entryReplaced: Bench = {
  name: "entry_replaced",
  run() {
    const offers = offersFor(spread(STEADY_MIX));
    const fleet = runPolicy(offers, {
      prepare({ clock, cores, addEntry, killEntry }) {
        clock.at(JOINS_AT_MS, () => {
          killEntry(cores[0] as (typeof cores)[number]);
          const joined = addEntry();
          cores[0] = joined;
        });
      },
    });
    const window = { fromMs: JOINS_AT_MS, untilMs: RUN_MS - TAIL_MS };
    return [
      ...(["urgent", "standard"] as const).map((rank): Figure => ({
        name: `entry_replaced.${rank}_first_token_p95`,
        value: firstTokenPercentile(
          select(fleet.records, { rank, ...window }),
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
