/**
 * Implements `sizes`: counts from the log lines of any number of daemons how often the requests of each route were
 * served, by size.
 *
 * @module
 */
import { costOfOutput } from "@primroseshed/core";
import { CommandError } from "../exit_codes.ts";
import { type Cell, formatTable, type Output, print } from "../output.ts";
import { type LogLine, parseLine } from "./explain.ts";

/** Part of a route's requests, by size. */
export type SizeBand = "largest_tenth" | "next_fifth" | "rest";

/** How the requests of one size band of a route ended. */
export interface SizeCount {
  route: string;
  model: string;
  band: SizeBand;
  requests: number;
  /** Smallest size in the band, output tokens or their equivalent. */
  fromSize: number;
  /** Share that got a whole response, 0 to 1. */
  servedShare: number;
  /** Requests without a whole response, by what ended them and how far they had come. */
  unserved: Record<string, number>;
}

interface EndedRequest {
  route: string;
  model: string;
  size: number;
  /** Undefined where the caller got a whole response. */
  cause: string | undefined;
}

/** Cause of an end at the caller's deadline, whether the caller left or the daemon ended the request. */
const AT_DEADLINE = "deadline_passed";
/** Time left at which a caller that leaves does so at its deadline, ms. */
const DEADLINE_SLACK_MS = 50;
const FINAL_EVENTS: ReadonlySet<string> = new Set([
  "request_ended",
  "request_refused",
]);
/** Upper ends of the bands, as shares of the requests sorted from the largest. */
const BANDS: readonly (readonly [SizeBand, number])[] = [
  ["largest_tenth", 0.1],
  ["next_fifth", 0.3],
  ["rest", 1],
];

function readEnd({ event, fields }: LogLine): EndedRequest | undefined {
  const { promptTokens, verdict, code, stage, remainingMs } = fields;
  if (!FINAL_EVENTS.has(event)) return undefined;
  if (typeof promptTokens !== "number") return undefined;
  const outputTokens = fields.expectedOutputTokens ?? fields.maxOutputTokens;
  const size = costOfOutput({ promptTokens }, Number(outputTokens ?? 0));
  const isServed = event === "request_ended" && verdict === "ran";
  const isAtDeadline = typeof remainingMs === "number" &&
    remainingMs <= DEADLINE_SLACK_MS;
  const cause = [isAtDeadline ? AT_DEADLINE : code, stage ?? "arrival"]
    .join(" ");
  return {
    route: String(fields.route ?? "none"),
    model: String(fields.model ?? "none"),
    size,
    cause: isServed ? undefined : cause,
  };
}

function countBand(
  band: SizeBand,
  requests: readonly EndedRequest[],
): SizeCount {
  const { route, model } = requests[0]!;
  const unserved: Record<string, number> = {};
  for (const { cause } of requests) {
    if (cause !== undefined) unserved[cause] = (unserved[cause] ?? 0) + 1;
  }
  const served = requests.filter(({ cause }) => cause === undefined).length;
  return {
    route,
    model,
    band,
    requests: requests.length,
    fromSize: Math.round(requests.at(-1)!.size),
    servedShare: served / requests.length,
    unserved,
  };
}

function countRoute(requests: readonly EndedRequest[]): SizeCount[] {
  const sorted = requests.toSorted((left, right) => right.size - left.size);
  let from = 0;
  return BANDS.flatMap(([band, share]) => {
    const until = Math.ceil(sorted.length * share);
    const members = sorted.slice(from, until);
    from = until;
    return members.length === 0 ? [] : [countBand(band, members)];
  });
}

/**
 * Counts how the requests of each route ended, in three bands of size, the largest first.
 *
 * @example
 * ```ts
 * countBySize(lines)[0]?.servedShare; // 0.24 for the largest tenth of the first route
 * ```
 */
export function countBySize(lines: readonly LogLine[]): SizeCount[] {
  const byRoute = new Map<string, EndedRequest[]>();
  for (const line of lines) {
    const end = readEnd(line);
    if (end === undefined) continue;
    const requests = byRoute.get(end.route) ?? [];
    requests.push(end);
    byRoute.set(end.route, requests);
  }
  return [...byRoute.values()].flatMap(countRoute);
}

function formatUnserved(unserved: Record<string, number>): string {
  return Object.entries(unserved)
    .toSorted(([, left], [, right]) => right - left)
    .map(([cause, count]) => `${cause}: ${count}`).join(", ");
}

function toRow(count: SizeCount): Cell[] {
  const { route, model, band, requests, fromSize, servedShare } = count;
  return [
    route,
    model,
    band.replace("_", " "),
    requests,
    fromSize,
    servedShare.toFixed(3),
    formatUnserved(count.unserved),
  ];
}

const HEAD = [
  "route",
  "model",
  "size",
  "requests",
  "from tokens",
  "served",
  "unserved",
];

/** Prints how often the requests of each route were served, by size. */
export async function showSizes(
  stdin: AsyncIterable<string>,
  output: Output,
): Promise<void> {
  const lines: LogLine[] = [];
  let index = 0;
  for await (const text of stdin) {
    const line = parseLine(text, index);
    index += 1;
    if (line !== undefined && FINAL_EVENTS.has(line.event)) lines.push(line);
  }
  const counts = countBySize(lines);
  if (counts.length === 0) {
    throw new CommandError(
      "failed",
      "No line tells the end of a request to a model",
    );
  }
  print(output, counts, () => formatTable(HEAD, counts.map(toRow)));
}
