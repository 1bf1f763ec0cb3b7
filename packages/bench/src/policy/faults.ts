/**
 * Scenarios of stale load reports, lost cache updates, dead and slow groups, and failing attempts.
 *
 * @module
 */
import {
  firstTokenPercentile,
  inTimeShare,
  type Records,
  select,
} from "../fleet/record.ts";
import { createRandom, nextFloat } from "@primroseshed/core";
import type { Fleet } from "../fleet/fleet.ts";
import type { Bench, Figure } from "../runner/types.ts";
import { checkInvariants } from "./invariants.ts";
import {
  fromBaselines,
  GROUPS,
  type Happening,
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

function firstTokenP95(records: Records, window = WINDOW): number {
  const fates = (["urgent", "standard"] as const).flatMap((rank) =>
    select(records, { rank, ...window })
  );
  return firstTokenPercentile(fates, 95);
}

const staleReports: Bench = {
  name: "stale_reports",
  run() {
    const offers = offersFor(spread(STEADY_MIX));
    const fresh = runPolicy(offers);
    const stale = runPolicy(offers, { reportLagMs: 2_000 });
    const baselines = runBaselines(offers);
    const freshMs = firstTokenP95(fresh.records);
    return [
      {
        name: "stale_reports.first_token_p95_ratio",
        value: firstTokenP95(stale.records) / freshMs,
        unit: "ratio",
        atMost: 1.25,
        baseline: fromBaselines(
          baselines,
          (records) => firstTokenP95(records) / freshMs,
        ),
      },
      checkInvariants("stale_reports", stale),
    ];
  },
};

const TOPICS = 60;

function savedShare({ engines }: Pick<Fleet, "engines">): number {
  const asked = engines.reduce((sum, { prefill }) => sum + prefill.asked, 0);
  return engines.reduce((sum, { prefill }) => sum + prefill.saved, 0) / asked;
}

const prefixGaps: Bench = {
  name: "prefix_gaps",
  run() {
    const offers = offersFor(
      spread({ urgent: 0.2, standard: 0.3, batch: 0.2 }, { topics: TOPICS }),
    );
    const perfect = runPolicy(offers, { perfectCache: true });
    const gaps = runPolicy(offers, { cacheLoss: 0.2, cacheLagMs: 5_000 });
    const blind = runPolicy(offers.map((offer) => ({ ...offer })), {
      cacheLoss: 1,
      ignoresPrefixes: true,
    });
    const baselines = runBaselines(offers);
    return [
      {
        name: "prefix_gaps.saved_against_perfect",
        value: savedShare(gaps) / savedShare(perfect),
        unit: "ratio",
        atLeast: 0.9,
        baseline: Object.fromEntries(
          Object.entries(baselines).map((
            [kind, run],
          ) => [kind, savedShare(run) / savedShare(perfect)]),
        ),
      },
      {
        name: "prefix_gaps.first_token_p95_against_no_affinity",
        value: firstTokenP95(gaps.records) / firstTokenP95(blind.records),
        unit: "ratio",
        atMost: 1,
      },
      checkInvariants("prefix_gaps", gaps),
    ];
  },
};

const DARK_AT_MS = 20_000;
const DARK_GROUPS = GROUPS / 4;

const domainDark: Bench = {
  name: "domain_dark",
  run() {
    const offers = offersFor([
      ...spread({ urgent: 0.25, standard: 0.2, batch: 0.1 }),
      ...spread({ batch: 5 }, { fromMs: SETTLED_MS }),
    ]);
    const happenings: Happening[] = [{
      at: DARK_AT_MS,
      act: (engines) =>
        engines.slice(0, DARK_GROUPS).forEach((engine) => engine.kill()),
    }];
    let ejected = 0;
    const fleet = runPolicy(offers, {
      happenings,
      prepare({ clock, cores }) {
        for (let at = DARK_AT_MS; at < RUN_MS; at += 500) {
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
    const baselines = runBaselines(offers, { happenings });
    const window = { fromMs: DARK_AT_MS + 5_000, untilMs: RUN_MS - TAIL_MS };
    const inTime = (records: Records) =>
      inTimeShare(select(records, { rank: "urgent", ...window }));
    const around = select(fleet.records, {
      fromMs: DARK_AT_MS - 5_000,
      untilMs: DARK_AT_MS + 5_000,
    });
    const lost = around.filter(({ offer, outcomes, tokens }) =>
      offer.rank !== "batch" &&
      (outcomes[0] === undefined || (outcomes[0] !== "ok" && tokens > 0))
    );
    return [
      {
        name: "domain_dark.urgent_in_time",
        value: inTime(fleet.records),
        unit: "share",
        atLeast: 0.95,
        baseline: fromBaselines(baselines, inTime),
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
const SLOWNESS = 4;

const stragglers: Bench = {
  name: "stragglers",
  run() {
    const offers = offersFor(
      spread({ urgent: 0.2, standard: 0.25, batch: 0.2 }),
      55_000,
    );
    const slowDown =
      (slowness: number) => (engines: Parameters<Happening["act"]>[0]) =>
        engines.slice(0, SLOW_GROUPS).forEach((engine) =>
          engine.slowness = slowness
        );
    const happenings = [
      { at: SLOW_AT_MS, act: slowDown(SLOWNESS) },
      { at: SLOW_UNTIL_MS, act: slowDown(1) },
    ];
    let ejectedBy = Infinity;
    let backBy = Infinity;
    const fleet = runPolicy(offers, {
      untilMs: 55_000,
      happenings,
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
            if (out && at < SLOW_UNTIL_MS) ejectedBy = Math.min(ejectedBy, at);
            if (back && at > SLOW_UNTIL_MS) backBy = Math.min(backBy, at);
          });
        }
      },
    });
    const baselines = runBaselines(offers, { untilMs: 55_000, happenings });
    const window = { fromMs: SLOW_AT_MS, untilMs: 50_000 };
    const inTime = (records: Records) =>
      inTimeShare(select(records, { rank: "urgent", ...window }));
    return [
      {
        name: "stragglers.urgent_in_time",
        value: inTime(fleet.records),
        unit: "share",
        atLeast: 0.99,
        baseline: fromBaselines(baselines, inTime),
      },
      {
        name: "stragglers.ejected_after",
        value: ejectedBy - SLOW_AT_MS,
        unit: "ms",
        atMost: 5_000,
      },
      {
        name: "stragglers.back_after",
        value: backBy - SLOW_UNTIL_MS,
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
    const offers = offersFor(
      spread({ urgent: 0.2, standard: 0.2, batch: 0.1 }),
      STORM_RUN_MS,
    );
    const random = createRandom(7);
    const fleet = runPolicy(offers, {
      untilMs: STORM_RUN_MS,
      failsSend(_group, now) {
        return now >= STORM_FROM_MS && now < STORM_UNTIL_MS &&
          nextFloat(random) < FAILING_SHARE;
      },
    });
    const sends = fleet.records.sends.filter(({ at }) =>
      at >= STORM_FROM_MS && at < STORM_UNTIL_MS
    );
    const first = sends.filter((send) => send.first).length;
    const recovered = select(fleet.records, {
      fromMs: STORM_UNTIL_MS + 10_000,
      untilMs: STORM_RUN_MS - TAIL_MS,
    });
    const urgent = recovered.filter(({ offer }) => offer.rank !== "batch");
    const figures: Figure[] = [
      {
        name: "retry_storm.sends_per_first_try",
        value: sends.length / first,
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
