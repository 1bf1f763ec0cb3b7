// Stand-in for a runner of a plain service: registers itself, answers requests and notes what it was sent.
import { createServer } from "node:http";
import { Buffer } from "node:buffer";
import { setTimeout as sleep } from "node:timers/promises";

const HEARTBEAT_MS = 1_200;

/** Starts a runner and writes its entry into the store. */
export async function startRunner(
  { id, service, store, zone, workMs = 20, slots = 6, host = "127.0.0.1" },
) {
  const runner = {
    id,
    service,
    address: "",
    /** Requests that arrived, in order. */
    arrivals: [],
    workMs,
    /** Answers a request in place of the runner; returns true where it does. */
    answer: undefined,
    answerHeaders: {},
    running: 0,
    entry: {
      service,
      zone,
      version: "v1",
      slots,
      state: "ready",
      coldRemainingMs: 0,
      born: Date.now(),
      sequence: 0,
    },
    /** Changes the entry; returns the time of the store's acknowledgement. */
    write(changes = {}) {
      runner.entry = {
        ...runner.entry,
        ...changes,
        address: runner.address,
        sequence: runner.entry.sequence + 1,
      };
      return store.put("servers", id, runner.entry);
    },
    /** Removes the entry, as a runner that has left. */
    leave() {
      clearInterval(timer);
      store.put("servers", id, undefined);
    },
    stop() {
      clearInterval(timer);
      server.close();
      server.closeAllConnections();
    },
  };

  async function handle(request, response) {
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const body = Buffer.concat(chunks).toString();
    if (request.url === "/primroseshed/report") {
      return response.end(
        JSON.stringify({
          running: runner.running,
          queued: 0,
          sequence: 0,
          busy: false,
        }),
      );
    }
    for (const [name, value] of Object.entries(runner.answerHeaders)) {
      response.setHeader(name, value);
    }
    response.setHeader("primroseshed-instance-id", id);
    if (request.headers["primroseshed-expect-instance"] !== id) {
      response.statusCode = 421;
      return response.end();
    }
    const attempt = request.headers["primroseshed-attempt-id"];
    const arrival = {
      at: performance.now(),
      id: attempt,
      path: request.url,
      method: request.method,
      body,
      headers: request.headers,
      hasRun: false,
    };
    runner.arrivals.push(arrival);
    response.setHeader("primroseshed-attempt-id", attempt);
    if (runner.answer?.(arrival, request, response)) return;
    arrival.hasRun = true;
    runner.running += 1;
    await sleep(runner.workMs);
    runner.running -= 1;
    response.setHeader(
      "primroseshed-response-signature",
      `sig.${id}.${attempt}`,
    );
    response.end(`answer of ${id} to ${attempt}`);
  }

  const server = createServer((request, response) => {
    handle(request, response).catch(() => response.destroy());
  });
  server.keepAliveTimeout = 20_000;
  await new Promise((resolve) => server.listen(0, host, resolve));
  runner.address = `${host}:${server.address().port}`;
  runner.write();
  const timer = setInterval(() => runner.write(), HEARTBEAT_MS);
  return runner;
}
