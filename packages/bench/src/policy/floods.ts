/**
 * Scenarios of steady load and of overload by rank.
 *
 * @module
 */
import type { Rank } from "@primroseshed/core";
import {
  BETWEEN_TOKENS_MS,
  FIRST_TOKEN_MS,
  firstTokenPercentile,
  goodput,
  inTimeShare,
  type Records,
  refusalPercentile,
  select,
} from "../fleet/record.ts";
import type { Bench, Figure } from "../runner/types.ts";
import { checkInvariants } from "./invariants.ts";
import {
  fleetTokens,
  fromBaselines,
  gapP95,
  offersFor,
  RUN_MS,
  runBaselines,
  runPolicy,
  spread,
  STEADY_MIX,
  TAIL_MS,
  WINDOW,
} from "./setup.ts";

/** Shares of the capacity that standard and batch work keep under an overload of urgent work. */
const STANDARD_FLOOR = 0.1;
const BATCH_FLOOR = 0.05;
const REFUSAL_MS = 100;

type Window = typeof WINDOW;
type Read = (records: Records) => number;

function inTime(rank: Rank, window: Window = WINDOW): Read {
  return (records) => inTimeShare(select(records, { rank, ...window }));
}

function firstToken(rank: Rank, window: Window = WINDOW): Read {
  return (records) =>
    firstTokenPercentile(select(records, { rank, ...window }), 95);
}

function goodputShare(rank?: Rank, window: Window = WINDOW): Read {
  return (records) =>
    goodput(records, { ...(rank && { rank }), ...window }) / fleetTokens();
}

function shed(window: Window = WINDOW): Read {
  return (records) =>
    select(records, window).filter(({ outcomes }) =>
      outcomes[0] && outcomes[0] !== "ok"
    ).length;
}

interface Row {
  name: string;
  unit: string;
  read: Read;
  atMost?: number;
  atLeast?: number;
}

function steadyRows(window: Window): Row[] {
  return [
    {
      name: "urgent_first_token_p95",
      unit: "ms",
      read: firstToken("urgent", window),
      atMost: FIRST_TOKEN_MS,
    },
    {
      name: "standard_first_token_p95",
      unit: "ms",
      read: firstToken("standard", window),
      atMost: FIRST_TOKEN_MS,
    },
  ];
}

function urgentFloodRows(window: Window): Row[] {
  return [
    {
      name: "goodput",
      unit: "of capacity",
      read: goodputShare(undefined, window),
      atLeast: 0.9,
    },
    {
      name: "standard_goodput",
      unit: "of capacity",
      read: goodputShare("standard", window),
      atLeast: STANDARD_FLOOR,
    },
    {
      name: "batch_goodput",
      unit: "of capacity",
      read: goodputShare("batch", window),
      atLeast: BATCH_FLOOR,
    },
    {
      name: "refusal_p95",
      unit: "ms",
      read: (records) => refusalPercentile(select(records, window), 95),
      atMost: REFUSAL_MS,
    },
  ];
}

function createFloodBench(
  name: string,
  sources: () => ReturnType<typeof spread>,
  rows: readonly Row[],
  untilMs = RUN_MS,
): Bench {
  return {
    name,
    run() {
      const offers = offersFor(sources(), untilMs);
      const fleet = runPolicy(offers, { untilMs });
      const baselines = runBaselines(offers, { untilMs });
      const figures = rows.map(({ read, ...row }): Figure => ({
        ...row,
        name: `${name}.${row.name}`,
        value: read(fleet.records),
        baseline: fromBaselines(baselines, read),
      }));
      return [...figures, checkInvariants(name, fleet)];
    },
  };
}

const FLOOD_FROM_MS = 10_000;
const URGENT_FROM_MS = 20_000;
const FLOOD_UNTIL_MS = 35_000;
const CALM_FROM_MS = FLOOD_UNTIL_MS + 10_000;
const BOTH_UNTIL_MS = 60_000;
const BOTH_WINDOW = { fromMs: URGENT_FROM_MS + 5_000, untilMs: FLOOD_UNTIL_MS };
const CALM_WINDOW = { fromMs: CALM_FROM_MS, untilMs: BOTH_UNTIL_MS - TAIL_MS };

/** Benches of steady load and of an overload of batch work, of urgent work and of both. */
export const FLOOD_BENCHES: readonly Bench[] = [
  createFloodBench("steady_80", () => spread(STEADY_MIX), [
    ...steadyRows(WINDOW),
    {
      name: "between_tokens_p95",
      unit: "ms",
      read: gapP95,
      atMost: BETWEEN_TOKENS_MS,
    },
    { name: "shed", unit: "requests", read: shed(), atMost: 0 },
  ]),
  createFloodBench(
    "flood_batch_10x",
    () => spread({ ...STEADY_MIX, batch: 10 }),
    [
      {
        name: "urgent_in_time",
        unit: "share",
        read: inTime("urgent"),
        atLeast: 0.99,
      },
      {
        name: "standard_in_time",
        unit: "share",
        read: inTime("standard"),
        atLeast: 0.95,
      },
      {
        name: "goodput",
        unit: "of capacity",
        read: goodputShare(),
        atLeast: 0.95,
      },
    ],
  ),
  createFloodBench(
    "flood_urgent_3x",
    () => spread({ ...STEADY_MIX, urgent: 3 }),
    urgentFloodRows(WINDOW),
  ),
  createFloodBench(
    "flood_both",
    () => [
      ...spread(STEADY_MIX),
      ...spread({ batch: 10 }, {
        fromMs: FLOOD_FROM_MS,
        untilMs: FLOOD_UNTIL_MS,
      }),
      ...spread({ urgent: 3 }, {
        fromMs: URGENT_FROM_MS,
        untilMs: FLOOD_UNTIL_MS,
      }),
    ],
    [
      ...urgentFloodRows(BOTH_WINDOW),
      ...steadyRows(CALM_WINDOW).map((row) => ({
        ...row,
        name: `calm_${row.name}`,
      })),
    ],
    BOTH_UNTIL_MS,
  ),
];
