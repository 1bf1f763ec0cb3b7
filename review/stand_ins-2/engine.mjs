// Stand-in for a model runner: takes orders, forms groups and writes streams of events.
import { createServer } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";

const HEARTBEAT_MS = 1_200;

/** Starts a model runner and writes its entry into the store. */
export async function startEngine(
  {
    id,
    service,
    store,
    zone,
    domain,
    slots = 4,
    events = 20,
    eventMs = 40,
    loadMs = 300,
    warmupMs = 100,
    formMs = 50,
    host = "127.0.0.1",
  },
) {
  const engine = {
    id,
    service,
    address: "",
    arrivals: [],
    running: 0,
    /** Called when a join is taken, with the order and the membership that it replaces. */
    onJoin: undefined,
    /** Time at which the group of which this runner is the head last opened. */
    openedAt: undefined,
    entry: {
      service,
      zone,
      version: "v1",
      slots,
      state: "ready",
      coldRemainingMs: 0,
      born: Date.now(),
      sequence: 0,
      stage: "both",
      domain,
      staged: [],
      models: [],
    },
    write(changes = {}) {
      engine.entry = {
        ...engine.entry,
        ...changes,
        address: engine.address,
        sequence: engine.entry.sequence + 1,
      };
      if (store.isAway) return undefined;
      return store.put("servers", id, engine.entry);
    },
    /** Puts the entry off until it is written next time by hand. */
    pauseHeartbeat() {
      clearInterval(timer);
    },
    resumeHeartbeat() {
      clearInterval(timer);
      engine.write();
      timer = setInterval(() => engine.write(), HEARTBEAT_MS);
    },
    stop() {
      clearInterval(timer);
      server.close();
      server.closeAllConnections();
    },
  };
  let orders = 0;
  let highestFence = 0;

  function isMember({ group, epoch }) {
    const known = engine.entry.group;
    return known?.name === group && known.epoch === epoch;
  }
  function setState(state) {
    engine.write({ group: { ...engine.entry.group, state } });
  }
  function order(body) {
    const { operation, group, epoch, model, members, fencingToken } = body;
    if (fencingToken < highestFence) return 412;
    highestFence = fencingToken;
    const known = engine.entry.group;
    if (operation === "stage") {
      setTimeout(() => engine.write({ staged: [model] }), loadMs);
    } else if (operation === "join") {
      if (known !== undefined && epoch < known.epoch) return 412;
      if (isMember(body)) return 200;
      engine.onJoin?.(body, known);
      const rank = members.indexOf(id);
      engine.write({ group: { name: group, epoch, rank, state: "joining" } });
      setTimeout(() => {
        if (!isMember(body)) return;
        engine.write({ models: [{ name: model, version: 1, adapters: [] }] });
        setState("ready");
      }, warmupMs);
    } else if (!isMember(body)) return 409;
    else if (operation === "leave") engine.write({ group: undefined });
    else if (operation === "close") setState("ready");
    else if (operation === "open") {
      if (known.state === "open") return 200;
      if (known.state !== "ready") return 409;
      setTimeout(() => {
        if (!isMember(body)) return;
        engine.openedAt = performance.now();
        setState("open");
      }, formMs);
    } else return 400;
    orders += 1;
    return 202;
  }

  async function handle(request, response) {
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    if (request.url === "/primroseshed/report") {
      const { stage, models } = engine.entry;
      return response.end(
        JSON.stringify({
          stage,
          models,
          busy: false,
          sequence: orders,
          queued: 0,
          running: engine.running,
          kvUsed: 0,
          kvTotal: 100_000,
          handles: 0,
        }),
      );
    }
    response.setHeader("primroseshed-instance-id", id);
    if (request.headers["primroseshed-expect-instance"] !== id) {
      response.statusCode = 421;
      return response.end();
    }
    if (request.url === "/primroseshed/order") {
      response.statusCode = order(JSON.parse(Buffer.concat(chunks)));
      return response.end();
    }
    const attempt = request.headers["primroseshed-attempt-id"];
    const group = engine.entry.group;
    response.setHeader("primroseshed-attempt-id", attempt);
    response.setHeader(
      "primroseshed-server-load",
      `${engine.running},0,${slots}`,
    );
    if (group?.state !== "open" || group.rank !== 0) {
      response.statusCode = 421;
      return response.end();
    }
    if (engine.running >= slots) {
      response.writeHead(503, { "primroseshed-not-executed": "1" });
      return response.end();
    }
    const arrival = {
      at: performance.now(),
      id: attempt,
      path: request.url,
      isComplete: false,
    };
    engine.arrivals.push(arrival);
    engine.running += 1;
    response.once("close", () => engine.running -= 1);
    response.writeHead(200, {
      "content-type": "text/event-stream",
      "primroseshed-response-signature": `sig.${id}.${attempt}`,
    });
    const first = Number(request.headers["last-event-id"] ?? 0) + 1;
    for (let event = first; event <= events; event += 1) {
      await sleep(eventMs);
      if (response.destroyed) return;
      response.write(`id: ${event}\ndata: ${attempt}.${event}\n\n`);
    }
    arrival.isComplete = true;
    response.end();
  }

  const server = createServer((request, response) => {
    handle(request, response).catch(() => response.destroy());
  });
  server.keepAliveTimeout = 20_000;
  await new Promise((resolve) => server.listen(0, host, resolve));
  engine.address = `${host}:${server.address().port}`;
  engine.write();
  let timer = setInterval(() => engine.write(), HEARTBEAT_MS);
  return engine;
}
