/**
 * Implements `explain`: reconstructs what happened to a request from the log lines of any number of daemons.
 *
 * @module
 */
import { CommandError } from "../exit_codes.ts";
import { type Cell, formatTable, type Output, print } from "../output.ts";

/** One line of a daemon's log. */
export interface LogLine {
  /** Index of the line in the input. */
  index: number;
  /** Unix time, ms; undefined if the line has no valid timestamp. */
  at: number | undefined;
  node: string;
  event: string;
  fields: Record<string, unknown>;
}

/** Log lines that concern a request, and conclusions from them. */
export interface Explanation {
  /** Lines of the request itself, ordered by time. */
  own: LogLine[];
  /** Lines from the same time about its runners and its daemons, ordered by time. */
  around: LogLine[];
  /** One sentence for each time that the caller sent the request to a daemon. */
  conclusions: string[];
}

/** Time span before the request's first line in which a line may show the cause, ms. */
const CONTEXT_BEFORE_MS = 5_000;
/** Time span after the request's last line in which a line may still show the cause, ms. */
const CONTEXT_AFTER_MS = 2_000;

const COMMON_FIELDS = new Set([
  "event",
  "level",
  "message",
  "node",
  "number",
  "timestamp",
  "request",
]);
/** Events that change what a daemon can serve. */
const SERVING_EVENTS = new Set([
  "belief_lost",
  "belief_regained",
  "clock_jumped",
  "routing_in_force",
  "started",
  "stopping",
  "lines_left_out",
]);

/** Parses a log line, ignoring any text before its JSON object; returns undefined for text that is not a log line. */
export function parseLine(text: string, index: number): LogLine | undefined {
  const start = text.indexOf("{");
  if (start < 0) return undefined;
  let fields: Record<string, unknown>;
  try {
    fields = JSON.parse(text.slice(start));
  } catch {
    return undefined;
  }
  if (typeof fields.event !== "string") return undefined;
  const at = Date.parse(String(fields.timestamp));
  return {
    index,
    at: Number.isNaN(at) ? undefined : at,
    node: String(fields.node ?? ""),
    event: fields.event,
    fields,
  };
}

function compareByTime(left: LogLine, right: LogLine): number {
  return (left.at ?? 0) - (right.at ?? 0) || left.index - right.index;
}

function isOfRequest({ fields }: LogLine, id: string): boolean {
  const { request } = fields;
  if (typeof request !== "string") return false;
  return request === id || request.startsWith(`${id}#`);
}

function hasRunner({ fields }: LogLine, runners: ReadonlySet<string>): boolean {
  if (runners.has(String(fields.runner))) return true;
  const { members } = fields;
  return typeof members === "string" &&
    members.split(" ").some((member) => runners.has(member));
}

function findRelatedLines(
  lines: readonly LogLine[],
  own: readonly LogLine[],
): LogLine[] {
  const times = own.flatMap(({ at }) => at ?? []);
  const from = Math.min(...times) - CONTEXT_BEFORE_MS;
  const until = Math.max(...times) + CONTEXT_AFTER_MS;
  const nodes = new Set(own.map(({ node }) => node));
  const runners = new Set(
    own.flatMap(({ fields }) =>
      typeof fields.runner === "string" ? fields.runner : []
    ),
  );
  return lines.filter((line) => {
    const { at, node, event, fields } = line;
    if (at === undefined || at < from || at > until) return false;
    if (fields.request !== undefined) return false;
    return hasRunner(line, runners) ||
      nodes.has(node) && SERVING_EVENTS.has(event);
  }).sort(compareByTime);
}

function toText(value: unknown): string {
  return String(value ?? "unknown");
}

type ConclusionFormatter = (fields: Record<string, unknown>) => string;

const CONCLUSION_FORMATTERS: Record<string, ConclusionFormatter> = {
  request_refused: ({ code, configAge }) =>
    `was refused on arrival: ${toText(code)}` +
    (configAge === undefined || configAge === null
      ? ""
      : `, with a configuration confirmed ${toText(configAge)} ms before`),
  request_ended: ({ verdict, code, tries, tookMs }) =>
    `ended ${code === undefined ? "normally" : `with ${toText(code)}`}` +
    ` (${toText(verdict)}) after ${toText(tries)} attempts and ${
      toText(tookMs)
    } ms`,
};

function formatConclusion(request: string, lines: readonly LogLine[]): string {
  const last = lines.findLast(({ event }) => event in CONCLUSION_FORMATTERS);
  const failures = lines.filter(({ event }) => event === "attempt_failed")
    .map(({ fields }) => `${toText(fields.runner)}: ${toText(fields.outcome)}`);
  const outcome = last === undefined
    ? "has no end in these lines"
    : CONCLUSION_FORMATTERS[last.event]!(last.fields);
  const node = lines.at(-1)?.node ?? "unknown";
  const failureText = failures.length === 0
    ? ""
    : `; failed at ${failures.join(", ")}`;
  return `${request} at ${node} ${outcome}${failureText}`;
}

/**
 * Explains a request by its id, with or without the counter that the daemon appends to it (`abc` or `abc#7`).
 *
 * @example
 * ```ts
 * explainRequest(lines, "e9801bdaa3c103bd").conclusions;
 * ```
 */
export function explainRequest(
  lines: readonly LogLine[],
  id: string,
): Explanation {
  const own = lines.filter((line) => isOfRequest(line, id)).sort(compareByTime);
  const linesByRequest = new Map<string, LogLine[]>();
  for (const line of own) {
    const key = `${String(line.fields.request)} ${line.node}`;
    linesByRequest.set(key, [...linesByRequest.get(key) ?? [], line]);
  }
  const conclusions = [...linesByRequest.values()].map((requestLines) =>
    formatConclusion(String(requestLines[0]!.fields.request), requestLines)
  );
  return { own, around: findRelatedLines(lines, own), conclusions };
}

function detailsOf({ fields }: LogLine): string {
  return Object.entries(fields)
    .filter(([name]) => !COMMON_FIELDS.has(name))
    .map(([name, value]) => `${name}=${toText(value)}`).join(" ");
}

function formatLines(lines: readonly LogLine[]): string {
  const rows = lines.map((line): Cell[] => [
    line.at === undefined ? undefined : new Date(line.at).toISOString(),
    line.node,
    line.event,
    detailsOf(line),
  ]);
  return formatTable(["time", "daemon", "event", "details"], rows);
}

function formatExplanation(
  { own, around, conclusions }: Explanation,
): string {
  const parts = [conclusions.join("\n"), formatLines(own)];
  if (around.length > 0) {
    parts.push(`At the same time:\n${formatLines(around)}`);
  }
  return parts.join("\n\n");
}

/** Reads log lines and shows what happened to a request. */
export async function explain(
  input: AsyncIterable<string>,
  output: Output,
  { id }: { id: string },
): Promise<void> {
  const lines: LogLine[] = [];
  let index = 0;
  for await (const text of input) {
    const line = parseLine(text, index);
    if (line !== undefined) lines.push(line);
    index += 1;
  }
  const explanation = explainRequest(lines, id);
  if (explanation.own.length === 0) {
    throw new CommandError(
      "failed",
      `Cannot find request "${id}" in ${lines.length} log lines; check that the input contains the logs of all daemons from that time`,
    );
  }
  print(output, explanation, formatExplanation);
}
