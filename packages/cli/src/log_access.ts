/**
 * Reads, folds and appends to the log for operator commands.
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
import {
  CONTROL_STREAM,
  createLogClient,
  type LogClient,
  type LogPage,
  SNAPSHOT_STREAM,
} from "@primroseshed/daemon";
import { CommandError } from "./exit_codes.ts";

/** Fold of the control stream up to its head, with the fold's result for each record read. */
export interface LogView {
  fold: FoldState;
  records: { stored: StoredRecord; result: FoldResult }[];
}

async function loadSnapshot(client: LogClient): Promise<FoldState> {
  const { head } = await client.read(SNAPSHOT_STREAM, { from: 1 });
  if (head === 0) return createFoldState();
  const { records } = await client.read(SNAPSHOT_STREAM, { from: head });
  const dump =
    (records[0]?.record as unknown as { state?: FoldDump } | undefined)?.state;
  return dump === undefined ? createFoldState() : restoreFold(dump);
}

async function foldAll(client: LogClient): Promise<LogView> {
  const readPage = (from: number): Promise<LogPage> =>
    client.read(CONTROL_STREAM, { from });
  const first = await readPage(1);
  const fold = first.horizon > 1
    ? await loadSnapshot(client)
    : createFoldState();
  const records: LogView["records"] = [];
  let page = fold.next > 1 ? await readPage(fold.next) : first;
  while (page.records.length > 0) {
    for (const stored of page.records) {
      records.push({ stored, result: foldRecord(fold, stored) });
    }
    page = await readPage(fold.next);
  }
  return { fold, records };
}

/**
 * Reads and folds the control stream, from the newest snapshot on if the oldest records have been trimmed.
 *
 * @throws {CommandError} The log service cannot be reached.
 */
export async function readLog(log: string): Promise<LogView> {
  try {
    return await foldAll(createLogClient(log));
  } catch (error) {
    throw new CommandError(
      "unreachable",
      `Cannot read the log service at ${log}: ${(error as Error).message}`,
    );
  }
}

/**
 * Appends one record and returns its offset.
 *
 * @throws {CommandError} The outcome is unknown; it is safe to append a record with the same id again.
 */
export async function appendRecord(
  log: string,
  record: LogRecord,
): Promise<number> {
  try {
    const [offset] = await createLogClient(log).append(CONTROL_STREAM, [
      record,
    ]);
    return offset as number;
  } catch (error) {
    throw new CommandError(
      "unreachable",
      `Cannot tell whether the log service at ${log} stored the record: ${
        (error as Error).message
      }`,
    );
  }
}
