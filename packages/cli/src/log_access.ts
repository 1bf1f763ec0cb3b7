/**
 * Reads and appends to the log service for operators.
 *
 * @module
 */
import {
  createFoldState,
  type FoldDump,
  foldRecord,
  type FoldResult,
  type FoldState,
  type LogRecord,
  restoreFold,
  type StoredRecord,
} from "@primroseshed/core";
import { request } from "undici";
import { CommandError } from "./exit_codes.ts";

interface Page {
  records: StoredRecord[];
  head: number;
  horizon: number;
}

/** The log folded up to its head, with what was decided about each record read. */
export interface LogView {
  fold: FoldState;
  decided: { stored: StoredRecord; result: FoldResult }[];
}

const TIMEOUT_MS = 5_000;

async function readPage(
  log: string,
  stream: string,
  from: number,
): Promise<Page> {
  try {
    const url = `${log}/v1/streams/${stream}/records?from=${from}&limit=1000`;
    const response = await request(url, {
      signal: AbortSignal.timeout(TIMEOUT_MS),
    });
    return await response.body.json() as Page;
  } catch (error) {
    throw new CommandError(
      "unreachable",
      `Cannot read the log service at ${log}: ${(error as Error).message}`,
    );
  }
}

async function loadSnapshot(log: string): Promise<FoldState> {
  const { head } = await readPage(log, "snapshots", 1);
  if (head === 0) return createFoldState();
  const { records } = await readPage(log, "snapshots", head);
  const dump =
    (records[0]?.record as unknown as { state?: FoldDump } | undefined)?.state;
  return dump === undefined ? createFoldState() : restoreFold(dump);
}

/** Reads the control stream from the newest snapshot that still joins it, and folds it. */
export async function readLog(log: string): Promise<LogView> {
  const first = await readPage(log, "control", 1);
  const fold = first.horizon > 1 ? await loadSnapshot(log) : createFoldState();
  const decided: LogView["decided"] = [];
  let page = fold.next > 1 ? await readPage(log, "control", fold.next) : first;
  while (page.records.length > 0) {
    for (const stored of page.records) {
      decided.push({ stored, result: foldRecord(fold, stored) });
    }
    page = await readPage(log, "control", fold.next);
  }
  return { fold, decided };
}

/**
 * Appends one record and returns its offset.
 *
 * @throws {CommandError} The outcome is unknown; the same id may be appended again safely.
 */
export async function appendRecord(
  log: string,
  record: LogRecord,
): Promise<number> {
  try {
    const response = await request(`${log}/v1/streams/control/records`, {
      method: "POST",
      headers: { "content-type": "application/json" },
      body: JSON.stringify({ records: [record] }),
      signal: AbortSignal.timeout(TIMEOUT_MS),
    });
    const { offsets } = await response.body.json() as { offsets: number[] };
    return offsets[0] as number;
  } catch (error) {
    throw new CommandError(
      "unreachable",
      `Cannot tell whether the log service at ${log} took the record: ${
        (error as Error).message
      }`,
    );
  }
}
