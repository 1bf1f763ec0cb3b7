/**
 * Scenarios of steady load and of overload by rank.
 *
 * @module
 */
import type { Rank } from "@primroseshed/core";
import type { Bench, Figure } from "../figure.ts";
import {
  BETWEEN_TOKENS_MS,
  FIRST_TOKEN_MS,
  firstTokenPercentile,
  goodput,
  inTimeShare,
  refusalPercentile,
  type RunResults,
  selectOutcomes,
} from "../fleet/results.ts";
import { checkInvariants } from "./invariants.ts";
import {
  betweenTokensP95,
  drawScenarioRequests,
  EXCLUDED_TAIL_MS,
  fleetTokens,
  MEASURED_WINDOW,
  readBaselines,
  RUN_MS,
  runBaselines,
  runPolicy,
  spreadLoad,
  STEADY_MIX,
} from "./setup.ts";

/** Shares of the capacity that standard and batch work keep under an overload of urgent work. */
const STANDARD_FLOOR = 0.1;
const BATCH_FLOOR = 0.05;
const MAX_REFUSAL_MS = 100;

type Window = typeof MEASURED_WINDOW;
type FigureReader = (results: RunResults) => number;

function inTime(rank: Rank, window: Window = MEASURED_WINDOW): FigureReader {
  return (results) => inTimeShare(selectOutcomes(results, { rank, ...window }));
}

function firstToken(
  rank: Rank,
  window: Window = MEASURED_WINDOW,
): FigureReader {
  return (results) =>
    firstTokenPercentile(selectOutcomes(results, { rank, ...window }), 95);
}

function goodputShare(
  rank?: Rank,
  window: Window = MEASURED_WINDOW,
): FigureReader {
  return (results) =>
    goodput(results, { ...(rank && { rank }), ...window }) / fleetTokens();
}

function shed(window: Window = MEASURED_WINDOW): FigureReader {
  return (results) =>
    selectOutcomes(results, window).filter(({ responseCodes }) =>
      responseCodes[0] && responseCodes[0] !== "ok"
    ).length;
}

interface FigureRow {
  name: string;
  unit: string;
  read: FigureReader;
  atMost?: number;
  atLeast?: number;
}

function steadyRows(window: Window): FigureRow[] {
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

function urgentFloodRows(window: Window): FigureRow[] {
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
      read: (results) => refusalPercentile(selectOutcomes(results, window), 95),
      atMost: MAX_REFUSAL_MS,
    },
  ];
}

function createFloodBench(
  name: string,
  sources: () => ReturnType<typeof spreadLoad>,
  rows: readonly FigureRow[],
  untilMs = RUN_MS,
): Bench {
  return {
    name,
    run() {
      const requests = drawScenarioRequests(sources(), untilMs);
      const fleet = runPolicy(requests, { untilMs });
      const baselines = runBaselines(requests, { untilMs });
      const figures = rows.map(({ read, ...row }): Figure => ({
        ...row,
        name: `${name}.${row.name}`,
        value: read(fleet.results),
        baseline: readBaselines(baselines, read),
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
const CALM_WINDOW = {
  fromMs: CALM_FROM_MS,
  untilMs: BOTH_UNTIL_MS - EXCLUDED_TAIL_MS,
};

/** Benches of steady load and of an overload of batch work, of urgent work and of both. */
export const FLOOD_BENCHES: readonly Bench[] = [
  createFloodBench("steady_80", () => spreadLoad(STEADY_MIX), [
    ...steadyRows(MEASURED_WINDOW),
    {
      name: "between_tokens_p95",
      unit: "ms",
      read: betweenTokensP95,
      atMost: BETWEEN_TOKENS_MS,
    },
    { name: "shed", unit: "requests", read: shed(), atMost: 0 },
  ]),
  createFloodBench(
    "flood_batch_10x",
    () => spreadLoad({ ...STEADY_MIX, batch: 10 }),
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
    () => spreadLoad({ ...STEADY_MIX, urgent: 3 }),
    urgentFloodRows(MEASURED_WINDOW),
  ),
  createFloodBench(
    "flood_both",
    () => [
      ...spreadLoad(STEADY_MIX),
      ...spreadLoad({ batch: 10 }, {
        fromMs: FLOOD_FROM_MS,
        untilMs: FLOOD_UNTIL_MS,
      }),
      ...spreadLoad({ urgent: 3 }, {
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
