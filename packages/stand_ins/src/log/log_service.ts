/**
 * Stand-in for the platform's append-only log service.
 *
 * @module
 */
import type { StoredRecord } from "@primroseshed/core";
import {
  createApp,
  type Listener,
  readJson,
  sendJson,
  startListener,
} from "../http/listener.ts";

interface Stream {
  records: StoredRecord[];
  /** Offset of the oldest record kept. */
  horizon: number;
  head: number;
  waiters: Set<() => void>;
}

/** A running log service that keeps its streams in memory. */
export interface LogService extends Listener {
  /** Appends to a stream directly, without an HTTP request. */
  append(stream: string, records: readonly unknown[]): number[];
  read(stream: string): readonly StoredRecord[];
  /** Drops all but the newest `keep` records. */
  trim(stream: string, keep: number): void;
}

const DEFAULT_LIMIT_RECORDS = 1_000;

function createStream(): Stream {
  return { records: [], horizon: 1, head: 0, waiters: new Set() };
}

function readPage(
  { records, horizon, head }: Stream,
  from: number,
  limit: number,
) {
  const start = Math.max(0, from - horizon);
  return { records: records.slice(start, start + limit), head, horizon };
}

function waitForMore(stream: Stream, waitMs: number): Promise<void> {
  return new Promise((resolve) => {
    const wake = () => {
      clearTimeout(timer);
      stream.waiters.delete(wake);
      resolve();
    };
    const timer = setTimeout(wake, waitMs);
    stream.waiters.add(wake);
  });
}

/** Starts a log service. Offsets begin at 1 in each stream. */
export async function startLogService(
  { port = 0 }: { port?: number } = {},
): Promise<LogService> {
  const streams = new Map<string, Stream>();

  function streamOf(name: string): Stream {
    const stream = streams.get(name) ?? createStream();
    streams.set(name, stream);
    return stream;
  }

  function append(name: string, records: readonly unknown[]): number[] {
    const stream = streamOf(name);
    const offsets = records.map((record) => {
      stream.head += 1;
      stream.records.push({
        offset: stream.head,
        at: Date.now(),
        record: record as StoredRecord["record"],
      });
      return stream.head;
    });
    for (const wake of [...stream.waiters]) wake();
    return offsets;
  }

  const app = createApp()
    .post("/v1/streams/:stream/records", async (request, response) => {
      const { records } = await readJson<{ records: unknown[] }>(request);
      sendJson(response, 200, {
        body: { offsets: append(String(request.params.stream), records) },
      });
    })
    .get("/v1/streams/:stream/records", async (request, response) => {
      const query = new URL(request.url ?? "", "http://log").searchParams;
      const from = Number(query.get("from") ?? 1);
      const waitMs = Number(query.get("wait_ms") ?? 0);
      const stream = streamOf(String(request.params.stream));
      if (waitMs > 0 && from > stream.head) await waitForMore(stream, waitMs);
      sendJson(response, 200, {
        body: readPage(
          stream,
          from,
          Number(query.get("limit") ?? DEFAULT_LIMIT_RECORDS),
        ),
      });
    });

  const listener = await startListener(app, { port });
  return {
    ...listener,
    append,
    read: (name) => streamOf(name).records,
    trim(name, keep) {
      const stream = streamOf(name);
      stream.records = stream.records.slice(-keep);
      stream.horizon = stream.head - stream.records.length + 1;
    },
  };
}
