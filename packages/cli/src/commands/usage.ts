/**
 * Implements `usage show|verify`: recomputes each owner's usage and share from the raw records of the stream.
 *
 * @module
 */
import { createPublicKey, verify } from "node:crypto";
import {
  type Config,
  type FoldedUsage,
  type LogRecord,
  resolveConfig,
  type UsageCounter,
  usagePayload,
} from "@primroseshed/core";
import { callAny, type DaemonAccess } from "../daemon_client.ts";
import { CommandError } from "../exit_codes.ts";
import { type LogView, readLog } from "../log_access.ts";
import { type Cell, formatCsv, formatTable, type Output } from "../output.ts";

/** Why a usage record is not counted, or is counted with a finding. */
export type UsageCause = "forged" | "repeated" | "late" | "decreased" | "gap";

/** A problem found in the stream. */
export interface UsageFinding {
  offset: number;
  entry: string;
  cause: UsageCause;
}

/** Usage of one owner. */
export interface OwnerUsage {
  owner: string;
  requests: number;
  promptTokens: number;
  cachedTokens: number;
  outputTokens: number;
  bookings: number;
  /** Share of all output tokens. */
  share: number;
}

/** Usage recomputed from the stream, and the problems found in it. */
export interface UsageReport {
  owners: OwnerUsage[];
  counters: UsageCounter[];
  findings: UsageFinding[];
}

type UsageRecord = Extract<LogRecord, { type: "usage" }>;

const COUNTER_FIELDS = [
  "requests",
  "promptTokens",
  "cachedTokens",
  "outputTokens",
  "bookings",
] as const;

function isSigned(record: UsageRecord, keys: readonly string[]): boolean {
  const payload = Buffer.from(usagePayload(record));
  const signature = Buffer.from(record.signature, "base64");
  return keys.some((key) =>
    verify(null, payload, createPublicKey(key), signature)
  );
}

function counterKey({ owner, team, deployment, rank }: UsageCounter): string {
  return [owner, team, deployment, rank].join("/");
}

function hasDecreased(before: FoldedUsage, after: UsageRecord): boolean {
  const afterByKey = new Map(
    after.counters.map((counter) => [counterKey(counter), counter]),
  );
  return before.counters.some((counter) => {
    const later = afterByKey.get(counterKey(counter));
    return COUNTER_FIELDS.some((field) =>
      (later?.[field] ?? 0) < counter[field]
    );
  });
}

function checkRecord(
  record: UsageRecord,
  newest: FoldedUsage | undefined,
  keys: readonly string[],
): UsageCause | undefined {
  if (!isSigned(record, keys)) return "forged";
  if (newest === undefined) return undefined;
  if (record.sequence === newest.sequence) return "repeated";
  if (record.sequence < newest.sequence) return "late";
  return hasDecreased(newest, record) ? "decreased" : undefined;
}

/** Findings with which a record is still counted. */
const COUNTED_CAUSES: ReadonlySet<UsageCause | undefined> = new Set([
  undefined,
  "gap",
]);

/**
 * Recomputes usage from raw records: sums the newest cumulative counters of each entry incarnation, considering only
 * records with a valid signature.
 */
export function computeUsage(
  records: readonly { offset: number; record: UsageRecord }[],
  { publicKeys }: { publicKeys: readonly string[] },
): UsageReport {
  const newest = new Map<string, FoldedUsage>();
  const findings: UsageFinding[] = [];
  for (const { offset, record } of records) {
    const previous = newest.get(record.entry);
    const cause = checkRecord(record, previous, publicKeys);
    if (cause !== undefined) {
      findings.push({ offset, entry: record.entry, cause });
    }
    if (
      cause === undefined && record.sequence > (previous?.sequence ?? 0) + 1
    ) {
      findings.push({ offset, entry: record.entry, cause: "gap" });
    }
    if (COUNTED_CAUSES.has(cause)) newest.set(record.entry, record);
  }
  const counters = sumCounters(
    [...newest.values()].flatMap((usage) => usage.counters),
  );
  return { owners: sumOwners(counters), counters, findings };
}

function addCounter(sum: UsageCounter, counter: UsageCounter): void {
  for (const field of COUNTER_FIELDS) sum[field] += counter[field];
}

function sumCounters(counters: readonly UsageCounter[]): UsageCounter[] {
  const sums = new Map<string, UsageCounter>();
  for (const counter of counters) {
    const key = counterKey(counter);
    const sum = sums.get(key);
    if (sum === undefined) sums.set(key, { ...counter });
    else addCounter(sum, counter);
  }
  return [...sums.values()].toSorted((left, right) =>
    counterKey(left) < counterKey(right) ? -1 : 1
  );
}

function sumOwners(counters: readonly UsageCounter[]): OwnerUsage[] {
  const owners = new Map<string, OwnerUsage>();
  for (const counter of counters) {
    const empty = {
      requests: 0,
      promptTokens: 0,
      cachedTokens: 0,
      outputTokens: 0,
      bookings: 0,
      share: 0,
    };
    const usage = owners.get(counter.owner) ??
      { owner: counter.owner, ...empty };
    owners.set(counter.owner, usage);
    for (const field of COUNTER_FIELDS) usage[field] += counter[field];
  }
  const total = [...owners.values()].reduce(
    (sum, { outputTokens }) => sum + outputTokens,
    0,
  );
  for (const usage of owners.values()) {
    usage.share = total > 0 ? usage.outputTokens / total : 0;
  }
  return [...owners.values()];
}

function publicKeysOf(view: LogView): string[] {
  const document = view.fold.config?.document;
  const resolution = document && resolveConfig(document, "");
  if (!resolution?.ok) return [];
  return Object.values((resolution.value as Config).owners).flatMap((
    { usagePublicKeys },
  ) => usagePublicKeys);
}

async function readUsage(access: DaemonAccess): Promise<UsageReport> {
  const { log } = await callAny<{ log: string }>(access, "/config");
  const view = await readLog(log);
  const records = view.records.flatMap(({ stored: { offset, record } }) =>
    record.type === "usage" ? [{ offset, record }] : []
  );
  return computeUsage(records, { publicKeys: publicKeysOf(view) });
}

const OWNER_HEAD = [
  "owner",
  "requests",
  "prompt",
  "cached",
  "output",
  "bookings",
  "share",
];

function ownerRows(owners: readonly OwnerUsage[]): Cell[][] {
  return owners.map((
    {
      owner,
      requests,
      promptTokens,
      cachedTokens,
      outputTokens,
      bookings,
      share,
    },
  ) => [
    owner,
    requests,
    promptTokens,
    cachedTokens,
    outputTokens,
    bookings,
    `${(share * 100).toFixed(2)}%`,
  ]);
}

/** Shows usage by owner. */
export async function showUsage(
  access: DaemonAccess,
  output: Output,
  { csv }: { csv: boolean },
): Promise<void> {
  const report = await readUsage(access);
  if (output.json) return output.write(JSON.stringify(report, null, 2));
  const rows = ownerRows(report.owners);
  output.write(
    csv ? formatCsv(OWNER_HEAD, rows) : formatTable(OWNER_HEAD, rows),
  );
}

/** Verifies signatures and sequence numbers of the whole stream; fails if a record is forged or its counts decrease. */
export async function verifyUsage(
  access: DaemonAccess,
  output: Output,
): Promise<void> {
  const { owners, findings } = await readUsage(access);
  if (output.json) output.write(JSON.stringify({ owners, findings }, null, 2));
  else {
    const found = findings.length === 0
      ? "Every record is signed and in sequence."
      : formatTable(
        ["offset", "entry", "cause"],
        findings.map(({ offset, entry, cause }) => [offset, entry, cause]),
      );
    output.write(`${formatTable(OWNER_HEAD, ownerRows(owners))}\n\n${found}`);
  }
  const untrusted = findings.filter(({ cause }) =>
    cause === "forged" || cause === "decreased"
  );
  if (untrusted.length > 0) {
    throw new CommandError(
      "invalid",
      `Cannot trust ${untrusted.length} usage records; check the findings "forged" and "decreased"`,
    );
  }
}
