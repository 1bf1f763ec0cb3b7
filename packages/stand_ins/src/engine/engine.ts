/**
 * Stand-in for the model engine of one VM.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import type { CacheChange, Member, MemberStatus } from "@primroseshed/core";
import { hashPrefixes } from "@primroseshed/core";
import {
  createApp,
  type Faults,
  type Listener,
  readJson,
  sendJson,
  startListener,
} from "../http/listener.ts";
import { responseLength, wordAt } from "./text.ts";

/** Faults that an engine simulates in addition to those of its listener. */
export interface EngineFaults extends Faults {
  ignoresFencing: boolean;
  /** Ends each response after this many tokens, without the final chunk. */
  cutAfterTokens: number | undefined;
  /** Sends each resumed response whole, from its first token on. */
  ignoresResume: boolean;
  /** Faulty chunk to send once in each stream, at the given token. */
  streamFault: StreamFault | undefined;
  /** Refuses every request with status 503 without running it. */
  refusesRequests: boolean;
  /** Times at which requests were refused, ms. */
  refusedAt: number[];
}

/** A faulty chunk in a stream. */
export interface StreamFault {
  kind: "broken_json" | "foreign_id" | "duplicate" | "gap";
  atToken: number;
}

/** Options of {@link startEngine}. */
export interface EngineOptions {
  vm: string;
  host?: string;
  port?: number;
  /** Pause between tokens, ms. */
  stepMs?: number;
  /** Weight load time of an engine, ms. */
  weightLoadMs?: number;
  maxBatch?: number;
  /** Length of every response, tokens; derived from the prompt by default. */
  responseTokens?: number;
}

/** A running engine. */
export interface Engine extends Listener {
  vm: string;
  faults: EngineFaults;
  status: MemberStatus;
  /** Requests received, with their resume offset. */
  received: { id: string; resumeFrom: number }[];
  cancelled: string[];
  orders: Order[];
  /** Returns to a state without weights under a new incarnation, as a replaced VM would. */
  restart(): void;
}

interface Order {
  action: "load" | "unload";
  fence: number;
  epoch: number;
  group?: string;
  members?: Member[];
}

interface ChatBody {
  messages: { role: string; content: string }[];
  max_tokens?: number;
  resume?: { offset: number };
}

const CHARS_PER_TOKEN = 4;

function waitForDrain(response: ServerResponse): Promise<void> {
  return new Promise((resolve) => {
    const done = () => {
      response.off("drain", done).off("close", done);
      resolve();
    };
    response.on("drain", done).on("close", done);
  });
}

function createEngineFaults(): EngineFaults {
  return {
    down: false,
    paused: false,
    slowMs: 0,
    loseResponses: false,
    ignoresFencing: false,
    cutAfterTokens: undefined,
    ignoresResume: false,
    streamFault: undefined,
    refusesRequests: false,
    refusedAt: [],
  };
}

/** Starts an engine without weights; an order loads them. */
export async function startEngine(options: EngineOptions): Promise<Engine> {
  const { vm, stepMs = 2, weightLoadMs = 20, maxBatch = 32 } = options;
  const faults = createEngineFaults();
  const received: Engine["received"] = [];
  const cancelled: string[] = [];
  const orders: Order[] = [];
  const cache: {
    sequence: number;
    changes: CacheChange[];
    known: Set<number>;
  } = {
    sequence: 0,
    changes: [],
    known: new Set(),
  };
  let restarts = 0;
  let running = 0;
  const status: MemberStatus = {
    vm,
    incarnation: `${vm}-0`,
    state: "empty",
    epoch: 0,
    fence: 0,
  };

  function currentStatus(): MemberStatus {
    const load = {
      running,
      queued: 0,
      stepMs,
      prefillPerMs: 20,
      kvUsedShare: running / (maxBatch * 2),
      maxBatch,
    };
    return { ...status, load };
  }

  async function applyOrder(order: Order): Promise<void> {
    status.fence = Math.max(status.fence ?? 0, order.fence);
    const isRepeat = order.action === "load" && status.group === order.group &&
      status.epoch === order.epoch;
    if (isRepeat || order.epoch < (status.epoch ?? 0)) return;
    status.epoch = order.epoch;
    if (order.action === "unload") {
      status.state = "empty";
      delete status.group;
      return;
    }
    const keepsWeights = status.state === "ready" &&
      status.group === order.group;
    status.group = order.group ?? "";
    status.state = "loading";
    await sleep(keepsWeights ? 1 : weightLoadMs);
    if (status.epoch === order.epoch) status.state = "ready";
  }

  async function handleOrder(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const order = await readJson<Order>(request);
    if (!faults.ignoresFencing && order.fence < (status.fence ?? 0)) {
      return sendJson(response, 409, {
        body: { error: "old fencing number", fence: status.fence },
      });
    }
    orders.push(order);
    void applyOrder(order);
    sendJson(response, 202, { body: { accepted: true } });
  }

  function isForCurrentGroup(request: IncomingMessage): boolean {
    return request.headers["x-group"] === status.group &&
      request.headers["x-epoch"] === String(status.epoch);
  }

  function recordPrefixes(prompt: string): number {
    const prefixes = hashPrefixes(prompt);
    const hits = prefixes.filter((prefix) => cache.known.has(prefix)).length;
    for (const prefix of prefixes) {
      if (cache.known.has(prefix)) continue;
      cache.known.add(prefix);
      cache.sequence += 1;
      cache.changes.push({ kind: "stored", prefix });
    }
    return hits;
  }

  async function handleCompletion(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const id = String(request.headers["x-request-id"]);
    const body = await readJson<ChatBody>(request);
    const canRun = status.state === "ready" && isForCurrentGroup(request) &&
      running < maxBatch && !faults.refusesRequests;
    if (!canRun) {
      faults.refusedAt.push(performance.now());
      return sendJson(response, 503, { body: { error: "not begun" } });
    }
    const resumeFrom = body.resume?.offset ?? 0;
    received.push({ id, resumeFrom });
    running += 1;
    let isCancelled = false;
    response.on("close", () => {
      isCancelled = !response.writableFinished;
      if (isCancelled) cancelled.push(id);
    });
    try {
      await writeStream({
        id,
        body,
        resumeFrom,
        response,
        isCancelled: () => isCancelled,
      });
    } finally {
      running -= 1;
    }
  }

  async function writeStream({ id, body, resumeFrom, response, isCancelled }: {
    id: string;
    body: ChatBody;
    resumeFrom: number;
    response: ServerResponse;
    isCancelled(): boolean;
  }): Promise<void> {
    const prompt = body.messages.map(({ role, content }) =>
      `${role}\n${content}\n`
    ).join("");
    const hits = recordPrefixes(prompt);
    const length = options.responseTokens ??
      responseLength(prompt, body.max_tokens ?? Infinity);
    response.writeHead(200, { "content-type": "text/event-stream" });
    const write = (
      chunkId: string,
      offset: number,
      extra: Record<string, unknown> = {},
    ) => {
      const isEnd = offset >= length;
      const delta = isEnd ? {} : { content: wordAt(prompt, offset) };
      const choices = [{
        index: 0,
        delta,
        finish_reason: isEnd ? "stop" : null,
      }];
      return response.write(
        `data: ${
          JSON.stringify({
            id: chunkId,
            offset,
            tokens: isEnd ? 0 : 1,
            choices,
            ...extra,
          })
        }\n\n`,
      );
    };
    const restarts = faults.ignoresResume && resumeFrom > 0;
    const first = restarts ? 0 : resumeFrom;
    for (let offset = first; offset < length; offset++) {
      while (faults.paused && !isCancelled()) await sleep(stepMs);
      if (stepMs > 0) await sleep(stepMs);
      if (isCancelled()) return;
      if (
        faults.cutAfterTokens !== undefined && !restarts &&
        offset - resumeFrom >= faults.cutAfterTokens
      ) {
        return void response.end();
      }
      if (faults.streamFault?.atToken === offset) {
        writeFault(faults.streamFault, { id, offset, response, write });
      }
      const canWriteMore = write(id, offset);
      if (!canWriteMore) await waitForDrain(response);
    }
    const promptTokens = Math.max(
      1,
      Math.ceil(prompt.length / CHARS_PER_TOKEN),
    );
    const cachedTokens = Math.min(promptTokens, hits * 64);
    const usage = {
      prompt_tokens: promptTokens,
      completion_tokens: length,
      cached_tokens: cachedTokens,
    };
    write(id, length, { usage });
    response.end("data: [DONE]\n\n");
  }

  function writeFault(
    { kind }: StreamFault,
    { id, offset, response, write }: {
      id: string;
      offset: number;
      response: ServerResponse;
      write(id: string, offset: number): boolean;
    },
  ): void {
    if (kind === "broken_json") response.write("data: {not json\n\n");
    if (kind === "foreign_id") write(`${id}-other`, offset);
    if (kind === "duplicate") write(id, offset - 1);
    if (kind === "gap") write(id, offset + 1);
  }

  const app = createApp()
    .get(
      "/status",
      (_request, response) =>
        sendJson(response, 200, { body: currentStatus() }),
    )
    .post("/orders", handleOrder)
    .post("/v1/chat/completions", handleCompletion)
    .get("/cache_events", (request, response) => {
      const from = Number(
        new URL(request.url ?? "", "http://engine").searchParams.get("from") ??
          0,
      );
      const changes = cache.changes.slice(Math.max(0, from - 1));
      sendJson(response, 200, {
        body: { sequence: cache.sequence, changes },
      });
    });
  const listener = await startListener(app, { ...options, faults });
  return {
    ...listener,
    vm,
    faults,
    status,
    received,
    cancelled,
    orders,
    restart() {
      restarts += 1;
      status.incarnation = `${vm}-${restarts}`;
      status.state = "empty";
      status.epoch = 0;
      status.fence = 0;
      delete status.group;
    },
  };
}
