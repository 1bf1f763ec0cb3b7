/**
 * Client of the platform's log service.
 *
 * @module
 */
import type { LogRecord, StoredRecord } from "@primroseshed/core";
import { type Dispatcher, request } from "undici";
import VError from "verror";
import { createAnswerAgent, createConnect } from "../backend/answer_agent.ts";
import { readLimitedJson } from "../backend/limited_body.ts";

/** Stream of the records that all daemons fold into the shared state. */
export const CONTROL_STREAM = "control";
/** Stream of snapshots of the folded state. */
export const SNAPSHOT_STREAM = "snapshots";

/** Page of a stream. */
export interface LogPage {
  records: StoredRecord[];
  /** Offset of the newest record, or 0 if there is none. */
  head: number;
  /** Offset of the oldest record that still exists. */
  horizon: number;
}

/** Options of {@link LogClient.read}. */
export interface ReadOptions {
  from: number;
  limit?: number;
  /** Longest time to wait for a record beyond the head, ms. */
  waitMs?: number;
}

/** Client of the log service. */
export interface LogClient {
  read(stream: string, options: ReadOptions): Promise<LogPage>;
  /** Appends records in order and returns their offsets; after a failure it is unknown whether they were stored. */
  append(stream: string, records: readonly LogRecord[]): Promise<number[]>;
}

const READ_LIMIT_RECORDS = 1_000;
/** Largest answer, bytes; a snapshot holds the whole folded state. */
const MAX_PAGE_BYTES = 64 * 1024 * 1024;
const REQUEST_TIMEOUT_MS = 5_000;

async function readJson<T>(
  response: Dispatcher.ResponseData,
  action: string,
): Promise<T> {
  if (response.statusCode !== 200) {
    await response.body.dump();
    throw new VError(
      { name: "LogError", info: { status: response.statusCode } },
      "Cannot %s: status %d",
      action,
      response.statusCode,
    );
  }
  return await readLimitedJson<T>(response.body, { maxBytes: MAX_PAGE_BYTES });
}

/** Creates a client of the log service at `address`. */
export function createLogClient(address: string): LogClient {
  const dispatcher = createAnswerAgent({
    connect: createConnect({ timeout: REQUEST_TIMEOUT_MS }),
  });
  const urlOf = (stream: string) => `${address}/v1/streams/${stream}/records`;
  return {
    async read(stream, { from, limit = READ_LIMIT_RECORDS, waitMs = 0 }) {
      const url = `${
        urlOf(stream)
      }?from=${from}&limit=${limit}&wait_ms=${waitMs}`;
      const headersTimeout = waitMs + REQUEST_TIMEOUT_MS;
      const response = await request(url, {
        dispatcher,
        headersTimeout,
        bodyTimeout: REQUEST_TIMEOUT_MS,
      });
      return await readJson<LogPage>(response, "read the log");
    },
    async append(stream, records) {
      const response = await request(urlOf(stream), {
        method: "POST",
        dispatcher,
        headers: { "content-type": "application/json" },
        body: JSON.stringify({ records }),
        headersTimeout: REQUEST_TIMEOUT_MS,
      });
      const { offsets } = await readJson<{ offsets: number[] }>(
        response,
        "append to the log",
      );
      return offsets;
    },
  };
}
