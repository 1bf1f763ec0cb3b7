/**
 * Measures what a complete daemon adds to a stream over real sockets, compared with calls to the same engine in the
 * same run.
 *
 * @module
 */
import process from "node:process";
import { createLogger, type Daemon } from "@primroseshed/daemon";
import { type Engine, startSystem, type System } from "@primroseshed/stand_ins";
import { Agent, request } from "undici";
import type { Bench, Figure } from "../figure.ts";

/** Tokens of a response at the target load: 14 million per second over 53,000 requests per second. */
const RESPONSE_TOKENS = 264;
const REQUESTS = 400;
const WARM_UP_REQUESTS = 100;
/** Responses of the first-token bench are short, since only their start is measured. */
const SHORT_RESPONSE_TOKENS = 8;
const CONCURRENCY = 24;
const SEQUENTIAL_REQUESTS = 300;
const US_PER_MS = 1_000;
const P95 = 0.95;

interface StreamedResponse {
  firstTokenMs: number;
  tokens: number;
}

type PromptSender = (prompt: string) => Promise<StreamedResponse>;

function createPromptSender(
  url: string,
  headers: Record<string, string>,
): PromptSender {
  const dispatcher = new Agent({ connections: null });
  return async (prompt) => {
    const startedAt = performance.now();
    const body = JSON.stringify({
      model: "assistant",
      stream: true,
      messages: [{ role: "user", content: prompt }],
    });
    const response = await request(url, {
      method: "POST",
      headers,
      body,
      dispatcher,
    });
    let firstTokenMs = 0;
    const parts: string[] = [];
    for await (const chunk of response.body) {
      const part = String(chunk);
      parts.push(part);
      if (firstTokenMs === 0 && /"content":"[^"]/.test(part)) {
        firstTokenMs = performance.now() - startedAt;
      }
    }
    return {
      firstTokenMs,
      tokens: parts.join("").split('"content":"').length - 1,
    };
  };
}

function createDaemonSender({ addresses }: Daemon): PromptSender {
  return createPromptSender(`${addresses.callers}/v1/chat/completions`, {
    authorization: "Bearer demo-tavua-key",
    "content-type": "application/json",
  });
}

function createEngineSender({ address, status }: Engine): PromptSender {
  return createPromptSender(`${address}/v1/chat/completions`, {
    "content-type": "application/json",
    "x-request-id": "direct",
    "x-group": status.group ?? "",
    "x-epoch": String(status.epoch),
  });
}

async function sendPrompts(
  sendPrompt: PromptSender,
  count: number,
): Promise<{ cpuMs: number; tokens: number }> {
  let next = 0;
  let tokens = 0;
  const before = process.cpuUsage();
  await Promise.all(Array.from({ length: CONCURRENCY }, async () => {
    while (next < count) {
      const response = await sendPrompt(`prompt ${next++}`);
      tokens += response.tokens;
    }
  }));
  const { user, system } = process.cpuUsage(before);
  return { cpuMs: (user + system) / US_PER_MS, tokens };
}

function headOf(system: System): Engine {
  const target = [...system.daemons[0]!.state.targets.values()].find((
    { epoch },
  ) => epoch !== undefined);
  const head = system.engines.find(({ vm }) =>
    vm === target?.members[0]?.member.vm
  );
  if (head === undefined) {
    throw new Error("Cannot find the head of a replica group to call directly");
  }
  return head;
}

async function measureCpu(system: System): Promise<Figure> {
  const direct = createEngineSender(headOf(system));
  const relayed = createDaemonSender(system.daemons[0]!);
  await sendPrompts(direct, WARM_UP_REQUESTS);
  await sendPrompts(relayed, WARM_UP_REQUESTS);
  const directCost = await sendPrompts(direct, REQUESTS);
  const relayedCost = await sendPrompts(relayed, REQUESTS);
  const perToken = relayedCost.cpuMs / relayedCost.tokens -
    directCost.cpuMs / directCost.tokens;
  return {
    name: "relay_cpu_us_per_token",
    value: perToken * US_PER_MS,
    unit: "us",
    atMost: 58,
    baseline: {
      engine_and_client_alone: directCost.cpuMs / directCost.tokens * US_PER_MS,
    },
  };
}

async function measureFirstToken(system: System): Promise<Figure> {
  const direct = createEngineSender(headOf(system));
  const relayed = createDaemonSender(system.daemons[0]!);
  const times = { direct: [] as number[], relayed: [] as number[] };
  for (let count = 0; count < SEQUENTIAL_REQUESTS; count++) {
    times.direct.push((await direct(`first ${count}`)).firstTokenMs);
    times.relayed.push((await relayed(`first ${count}`)).firstTokenMs);
  }
  const p95 = (values: number[]) =>
    values.toSorted((left, right) =>
      left - right
    )[Math.floor(values.length * P95)] ?? 0;
  return {
    name: "relay_first_token_added_ms",
    value: p95(times.relayed) - p95(times.direct),
    unit: "ms",
    atMost: 15,
    baseline: { direct_p95: p95(times.direct) },
  };
}

async function withSystem(
  { stepMs, responseTokens }: { stepMs: number; responseTokens: number },
  measure: (system: System) => Promise<Figure>,
): Promise<Figure[]> {
  const logger = createLogger({ level: "error", node: "bench" });
  const system = await startSystem({
    daemons: 1,
    stepMs,
    logger,
    responseTokens,
  });
  try {
    return [await measure(system)];
  } finally {
    await system.kill();
  }
}

/** Benches of the processor time per relayed token, and of the time that the daemon adds to the first token. */
export const RELAY_BENCHES: readonly Bench[] = [
  {
    name: "relay_cpu_us_per_token",
    run: () =>
      withSystem({ stepMs: 0, responseTokens: RESPONSE_TOKENS }, measureCpu),
  },
  {
    name: "relay_first_token_added_ms",
    run: () =>
      withSystem(
        { stepMs: 1, responseTokens: SHORT_RESPONSE_TOKENS },
        measureFirstToken,
      ),
  },
];
