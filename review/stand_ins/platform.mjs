/**
 * Small stand-ins of the platform for the scripts of this review: the store, plain runners, model runners, callers, and
 * daemons that run as processes of their own.
 *
 * They need nothing but Node's own modules, listen on loopback addresses only, and do what the users' pages allow.
 */
import { spawn } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import http from "node:http";
import net from "node:net";
import { tmpdir } from "node:os";
import path from "node:path";

export const ROOT = path.resolve(import.meta.dirname, "../..");
export const HOST = "127.0.0.1";
/** Bounds of the small site abay-ice, as far as the settings template names them. */
export const BOUNDS = {
  revokeMs: 5_000,
  retryBudgetRatio: 0.2,
  retryBudgetSlack: 107,
  budgetWindowS: 10,
  graceS: 8,
  stallMs: 6_000,
};
const HEARTBEAT_MS = 1_200;

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** Waits until a condition holds; throws after `timeoutMs`. */
export async function waitFor(what, isMet, { timeoutMs = 20_000 } = {}) {
  const deadline = Date.now() + timeoutMs;
  while (!(await isMet())) {
    if (Date.now() > deadline) throw new Error(`Timed out: ${what}`);
    await sleep(20);
  }
}

/** Ports of daemons lie below those that the operating system gives to outgoing connections. */
const FIRST_PORT = 21_000;
const PORT_COUNT = 10_000;
let portCount = (process.pid * 89) % PORT_COUNT;

function canListen(port) {
  const server = net.createServer();
  return new Promise((resolve) => {
    server.once("error", () => resolve(false));
    server.listen(port, HOST, () => server.close(() => resolve(true)));
  });
}

/** Returns a free port of the loopback address. */
export async function freePort() {
  while (true) {
    portCount = (portCount + 1) % PORT_COUNT;
    const port = FIRST_PORT + portCount;
    if (await canListen(port)) return port;
  }
}

function listen(server, port = 0) {
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(
      port,
      HOST,
      () => resolve(`${HOST}:${server.address().port}`),
    );
  });
}

async function readAll(request) {
  const chunks = [];
  for await (const chunk of request) chunks.push(chunk);
  return Buffer.concat(chunks);
}

// --- the store -------------------------------------------------------------------------------------------------------

const PARTS = 12;

function keyedRecord(key, value) {
  const name = Buffer.from(key);
  return Buffer.concat([Buffer.from([name.length]), name, value]);
}

/** Starts the platform's store: topics, keyed topics, groups, and the era that it names in its answers. */
export async function startStore() {
  const topics = new Map();
  const era = 1;
  const groups = new Map();

  function topicOf(name, part) {
    const id = `${name}/${part ?? 0}`;
    let topic = topics.get(id);
    if (topic === undefined) {
      topic = { first: 0, records: [], newest: new Map(), waiting: new Set() };
      topics.set(id, topic);
    }
    return topic;
  }
  const endOf = ({ first, records }) => first + records.length;

  function append(name, part, records) {
    const topic = topicOf(name, part);
    const offset = endOf(topic);
    for (const record of records) {
      topic.records.push(record);
      if (!name.startsWith("keyed.")) continue;
      const keyEnd = 1 + record[0];
      const key = record.toString("utf8", 1, keyEnd);
      if (keyEnd === record.length) topic.newest.delete(key);
      else {topic.newest.set(key, {
          value: record.subarray(keyEnd),
          offset: endOf(topic) - 1,
        });}
    }
    for (const wake of [...topic.waiting]) wake();
    return { offset, end: endOf(topic) };
  }

  function put(name, key, value) {
    const bytes = value === undefined
      ? Buffer.alloc(0)
      : Buffer.from(JSON.stringify(value));
    append(`keyed.${name}`, 0, [keyedRecord(key, bytes)]);
  }

  function sendJson(response, status, body) {
    const text = JSON.stringify(body);
    response.writeHead(status, {
      "content-type": "application/json",
      "content-length": Buffer.byteLength(text),
      "store-era": String(era),
    });
    response.end(text);
  }

  async function read(query, response) {
    const from = Number(query.get("from"));
    const waitMs = Math.min(30_000, Number(query.get("waitMs") ?? 0));
    const limit = Number(query.get("sizeLimit") ?? 1_024) * 1_024;
    const topic = topicOf(query.get("topic"), query.get("part"));
    if (endOf(topic) === from && waitMs > 0) {
      await new Promise((resolve) => {
        const done = () => {
          clearTimeout(timer);
          topic.waiting.delete(done);
          resolve();
        };
        const timer = setTimeout(done, waitMs);
        topic.waiting.add(done);
      });
    }
    const now = topicOf(query.get("topic"), query.get("part"));
    if (from < now.first || from > endOf(now)) {
      return sendJson(response, 410, { first: now.first });
    }
    const parts = [Buffer.alloc(16)];
    parts[0].writeBigUInt64BE(BigInt(endOf(now)), 0);
    parts[0].writeBigUInt64BE(BigInt(now.first), 8);
    let size = 0;
    for (const record of now.records.slice(from - now.first)) {
      if (size > 0 && size + record.length > limit) break;
      const length = Buffer.alloc(4);
      length.writeUInt32BE(record.length);
      parts.push(length, record);
      size += record.length;
    }
    const body = Buffer.concat(parts);
    response.writeHead(200, {
      "content-length": body.length,
      "store-era": String(era),
    });
    response.end(body);
  }

  function newest(query, response) {
    const topic = topicOf(query.get("topic"), query.get("part"));
    const after = query.get("after");
    const keys = [...topic.newest.keys()].sort();
    const rest = after === null ? keys : keys.filter((key) => key > after);
    const items = rest.slice(0, 500).map((key) => {
      const { value, offset } = topic.newest.get(key);
      return { key, value: value.toString("base64"), offset };
    });
    sendJson(response, 200, {
      items,
      hasMore: rest.length > items.length,
      end: endOf(topic),
    });
  }

  /** Deals the partitions evenly; one that is dealt anew moves when its owner has heard of it, left or lapsed. */
  function settle(group) {
    const now = Date.now();
    let hasChanged = false;
    for (const [name, { at, ttlMs }] of group.members) {
      if (now - at < ttlMs) continue;
      group.members.delete(name);
      hasChanged = true;
    }
    const names = [...group.members.keys()].sort();
    if (hasChanged || names.join() !== group.names) {
      group.names = names.join();
      group.generation += 1;
      group.targets = Array.from(
        { length: PARTS },
        (_, part) => names[part % Math.max(1, names.length)],
      );
    }
    for (let part = 0; part < PARTS; part += 1) {
      const owner = group.owners[part];
      const target = group.targets[part];
      if (owner === target) continue;
      const member = group.members.get(owner);
      const isFree = member === undefined ||
        member.generation >= group.generation;
      if (isFree) group.owners[part] = target;
    }
  }

  function join(body, response) {
    const { group: name, member, topics: [topic], ttlMs, generation } = JSON
      .parse(body);
    const group = groups.get(name) ??
      { generation: 0, members: new Map(), owners: [], targets: [], names: "" };
    groups.set(name, group);
    group.members.set(member, { at: Date.now(), ttlMs, generation });
    settle(group);
    const parts = group.owners.flatMap((owner, part) =>
      owner === member && group.targets[part] === member
        ? [[topic, part, 0]]
        : []
    );
    sendJson(response, 200, { generation: group.generation, parts });
  }

  function leave(body, response) {
    const { group: name, member } = JSON.parse(body);
    const group = groups.get(name);
    group?.members.delete(member);
    if (group !== undefined) settle(group);
    sendJson(response, 200, {});
  }

  function* split(body) {
    for (let at = 0; at < body.length;) {
      const end = at + 4 + body.readUInt32BE(at);
      yield Buffer.from(body.subarray(at + 4, end));
      at = end;
    }
  }

  async function serve(request, response) {
    const { pathname, searchParams } = new URL(request.url, "http://store");
    const body = await readAll(request);
    const call = pathname.split("/").at(-1);
    if (call === "log-read") return await read(searchParams, response);
    if (call === "log-newest") return newest(searchParams, response);
    if (call === "log-join") return join(body, response);
    if (call === "log-leave") return leave(body, response);
    if (call === "log-append") {
      const topic = searchParams.get("topic");
      if (topic === "keyed.op" || topic === "keyed.servers") {
        return sendJson(response, 403, {});
      }
      return sendJson(
        response,
        200,
        append(topic, searchParams.get("part"), [...split(body)]),
      );
    }
    sendJson(response, 404, {});
  }

  const server = http.createServer((request, response) =>
    void serve(request, response).catch(() => response.destroy())
  );
  server.keepAliveTimeout = 60_000;
  return { address: await listen(server), put };
}

// --- the operator ----------------------------------------------------------------------------------------------------

/** Returns a configuration with a safe and an unsafe route of a plain service, and what else a script adds. */
export function createConfig(version, changes = {}) {
  const route = (name, kind, service, rest = {}) => ({
    name,
    host: "a.example",
    pathPrefix: `/${name}/`,
    kind,
    timeoutMs: 1_500,
    targetLatencyMs: 386,
    priority: 0,
    service,
    maxAttempts: 2,
    public: false,
    ...rest,
  });
  const { routes = [], services = [], tenants } = changes;
  return {
    version,
    routes: [
      route("look", "safe", "desk"),
      route("book", "unsafe", "desk", { maxAttempts: 1 }),
      ...routes.map(({ name, kind, service, ...rest }) =>
        route(name, kind, service, rest)
      ),
    ],
    services: [{ name: "desk" }, ...services],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 4_194_304,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
    tenants: tenants ?? [{ name: "team-a", apiKeys: ["key-a"] }],
  };
}

// --- runners ---------------------------------------------------------------------------------------------------------

/**
 * Starts a plain runner: registers, and writes its entry at each heartbeat.
 *
 * `answer` gets `{ request, response, id, body, runner, socket }`; without it the runner works for `workMs` and gives a
 * signed answer.
 */
export async function startRunner(store, {
  id,
  service = "desk",
  zone = "z1",
  workMs = 30,
  slots = 6,
  answer,
  entry: extra = {},
  intercept,
}) {
  const runs = [];
  let sequence = 0;
  const born = Date.now();
  const sockets = new Set();
  const runner = {
    id,
    runs,
    born,
    fields: { ...extra },
    isStoreCut: false,
    isRunning: true,
  };

  async function serve(request, response) {
    const body = await readAll(request);
    if (
      intercept !== undefined && intercept({ request, response, body, runner })
    ) return;
    const { headers } = request;
    const attempt = headers["primroseshed-attempt-id"];
    if (request.url === "/health") {
      response.setHeader("Primroseshed-Instance-Id", id);
      return void response.end();
    }
    if (headers["primroseshed-expect-instance"] !== id) {
      response.writeHead(421, { "Primroseshed-Instance-Id": id });
      return void response.end();
    }
    runs.push({
      attempt,
      at: Date.now(),
      method: request.method,
      url: request.url,
      tenant: headers["primroseshed-tenant"],
      resumeAfter: headers["last-event-id"],
      body: body.toString("latin1"),
    });
    const context = { request, response, attempt, body, runner };
    if (answer !== undefined && await answer(context) === true) return;
    await sleep(workMs);
    response.writeHead(200, {
      "Primroseshed-Attempt-Id": attempt,
      "Primroseshed-Response-Signature": `signed-${id}-${attempt}`,
      "Primroseshed-Server-Load": `1,0,${slots}`,
      "content-type": "text/plain",
    });
    response.end(bodyOf(id, attempt));
  }

  const server = http.createServer((request, response) =>
    void serve(request, response).catch(() => response.destroy())
  );
  server.keepAliveTimeout = 30_000;
  server.on("connection", (socket) => {
    sockets.add(socket);
    socket.on("error", () => undefined);
    socket.on("close", () => sockets.delete(socket));
  });
  runner.address = await listen(server);
  runner.write = () => {
    if (runner.isStoreCut || !runner.isRunning) return;
    sequence += 1;
    store.put("servers", id, {
      service,
      address: runner.address,
      zone,
      version: "v1",
      slots,
      state: "ready",
      coldRemainingMs: 0,
      sequence,
      born,
      ...runner.fields,
    });
  };
  runner.write();
  const timer = setInterval(runner.write, HEARTBEAT_MS);
  runner.stop = () => {
    runner.isRunning = false;
    clearInterval(timer);
    server.close();
    server.closeAllConnections();
  };
  return runner;
}

/** Engine of a service whose models need two runners each, as a configuration describes it. */
export const ENGINE = {
  slots: 12,
  kvCapacity: 1_312_941,
  stride: 5,
  models: [
    { name: "m1", size: 2, share: 1, pace: 1, loadS: 0.2, warmupS: 0.1 },
  ],
  step_ms: 7.8,
  per_seq_ms: 0.13,
  context_per_k: 0.01,
  read_per_s: 45_900,
  pairs_per_m: 0.433,
  chunk: 2_048,
  report_lag_ms: 200,
  loadsPerS: 5,
  loads_at_once: 7,
  usual: { prompt: 979, answer: 154 },
  keepLast: 1,
  far_x: 4,
  formMs: 100,
};

/**
 * Answers the orders and reports of a model runner; returns true where the request was one of these.
 *
 * Where `delayOf` returns a time for an order, that order gets no answer and is carried out so much later, ms.
 */
function createEngine({ delayOf = () => undefined, onReady } = {}) {
  let highestFence = 0;
  let sequence = 0;
  const answerJson = (response, status, body = {}) => {
    const text = JSON.stringify(body);
    response.writeHead(status, {
      "content-type": "application/json",
      "content-length": Buffer.byteLength(text),
    });
    response.end(text);
  };
  function handle({ request, response, body, runner }) {
    const { fields } = runner;
    const report = (changes) => {
      Object.assign(fields, changes);
      runner.write();
    };
    const later = (ms, group, changes) =>
      setTimeout(() => {
        const isSame = fields.group?.name === group.name &&
          fields.group.epoch === group.epoch;
        if (isSame) report(changes());
      }, ms);
    if (request.url === "/primroseshed/report") {
      answerJson(response, 200, {
        stage: "both",
        models: fields.models,
        busy: false,
        sequence,
        queued: 0,
        running: runner.running ?? 0,
        kvUsed: 0,
        kvTotal: ENGINE.kvCapacity,
        handles: 0,
        pace: 1,
        born: runner.born,
      });
      return true;
    }
    if (request.url !== "/primroseshed/order") return false;
    const order = JSON.parse(body);
    if (request.headers["primroseshed-expect-instance"] !== runner.id) {
      answerJson(response, 421);
      return true;
    }
    if (order.fencingToken < highestFence) {
      answerJson(response, 412);
      return true;
    }
    highestFence = order.fencingToken ?? highestFence;
    const { operation, group: name, epoch, model, members } = order;
    sequence += 1;
    if (operation === "stage") {
      setTimeout(() => report({ staged: [model] }), 200);
      answerJson(response, 202);
      return true;
    }
    if (operation === "join") {
      if (fields.group && epoch < fields.group.epoch) {
        answerJson(response, 412);
        return true;
      }
      const group = { name, epoch, rank: members.indexOf(runner.id) };
      report({ group: { ...group, state: "joining" } });
      later(100, group, () => {
        onReady?.({ runner: runner.id, name, epoch, members });
        return {
          models: [{ name: model, version: 1, adapters: [] }],
          group: { ...group, state: "ready" },
        };
      });
      runner.members = members;
      answerJson(response, 202);
      return true;
    }
    const isMember = fields.group?.name === name &&
      fields.group.epoch === epoch;
    if (!isMember) {
      answerJson(response, 409);
      return true;
    }
    if (operation === "leave") {
      fields.group = undefined;
      runner.write();
    }
    if (operation === "open") {
      const { group } = fields;
      later(100, group, () => ({ group: { ...group, state: "open" } }));
    }
    if (operation === "close") {
      report({ group: { ...fields.group, state: "ready" } });
    }
    answerJson(response, 202);
    return true;
  }

  const unanswered = { writeHead: () => undefined, end: () => undefined };
  return (context) => {
    const { request, body, runner } = context;
    if (request.url === "/primroseshed/order") {
      const order = JSON.parse(body);
      const delayMs = delayOf({ runner, order });
      if (delayMs !== undefined) {
        setTimeout(
          () => handle({ ...context, response: unanswered }),
          delayMs,
        );
        return true;
      }
    }
    return handle(context);
  };
}

/** Starts a model runner: a runner that also takes orders, and serves while it is the head of an open group. */
export function startModelRunner(
  store,
  { id, domain = "d1", answer, delayOf, onReady, ...rest },
) {
  return startRunner(store, {
    id,
    service: "talk",
    slots: ENGINE.slots,
    entry: { stage: "both", domain, staged: [], models: [] },
    intercept: createEngine({ delayOf, onReady }),
    answer: async (context) => {
      const { response, runner } = context;
      const { group } = runner.fields;
      if (group?.state !== "open" || group.rank !== 0) {
        response.writeHead(421, { "Primroseshed-Instance-Id": id });
        response.end();
        return true;
      }
      return await answer(context);
    },
    ...rest,
  });
}

/** Returns the body of a plain runner's answer. */
export function bodyOf(runner, attempt) {
  return `answer of ${runner} to ${attempt}\n`.padEnd(800, ".");
}

// --- daemons ---------------------------------------------------------------------------------------------------------

const folders = new Set();
const children = new Set();
const daemons = [];

/** Renders the template of the deploy file. */
function render(values) {
  const template = readFileSync(
    path.join(ROOT, "platform/settings.jsonc.template"),
    "utf8",
  );
  return template.replace(
    /\{\{([^}|]+)(\|json)?\}\}/g,
    (_all, name, isJson) => {
      const value = name.split(".").reduce((each, key) => each?.[key], values);
      if (value === undefined) throw new Error(`No value for ${name}`);
      return isJson ? JSON.stringify(value) : String(value);
    },
  );
}

/**
 * Starts a daemon as the deploy file does: `node --max-old-space-size=200 target/primrosed.cjs`, in the repository,
 * with `PRIMROSESHED_BOOT` naming its settings.
 */
export async function startDaemon(store, {
  name,
  zone = "z1",
  bootstrap = true,
  ports,
}) {
  const folder = mkdtempSync(path.join(tmpdir(), "review-"));
  folders.add(folder);
  const port = ports ?? {
    front: await freePort(),
    ready: await freePort(),
    operators: await freePort(),
    followers: await freePort(),
  };
  const file = path.join(folder, "settings.jsonc");
  writeFileSync(
    file,
    render({
      nodeName: name,
      zone,
      ip: HOST,
      limits: { cores: 1 },
      listen: {
        front: `${HOST}:${port.front}`,
        ready: `${HOST}:${port.ready}`,
      },
      internalPorts: [port.operators, port.followers],
      platform: { address: store.address },
      bounds: BOUNDS,
      bootstrap,
    }),
  );
  const child = spawn(process.execPath, [
    "--max-old-space-size=200",
    "target/primrosed.cjs",
  ], {
    cwd: ROOT,
    env: {
      PATH: process.env.PATH,
      HOME: process.env.HOME,
      PRIMROSESHED_BOOT: file,
    },
    stdio: ["ignore", "pipe", "pipe"],
  });
  children.add(child);
  const daemon = {
    name,
    port,
    child,
    front: { host: HOST, port: port.front },
    lines: [],
    exit: undefined,
  };
  daemons.push(daemon);
  daemon.exited = new Promise((resolve) =>
    child.once("exit", (code, signal) => {
      children.delete(child);
      daemon.exit = { code, signal, at: Date.now() };
      resolve(daemon.exit);
    })
  );
  let rest = "";
  child.stdout.on("data", (chunk) => {
    const parts = (rest + chunk).split("\n");
    rest = parts.pop();
    daemon.lines.push(...parts);
  });
  child.stderr.on(
    "data",
    (chunk) => daemon.lines.push(...String(chunk).split("\n")),
  );
  daemon.kill = (signal) => child.kill(signal);
  daemon.isReady = () => isReady(port.ready);
  return daemon;
}

/** Asks a daemon whether it is ready, as the platform's balancer does. */
export function isReady(port) {
  return new Promise((resolve) => {
    const request = http.get(
      { host: HOST, port, path: "/primroseshed/ready", agent: false },
      (response) => {
        response.resume();
        resolve(response.statusCode === 200);
      },
    );
    request.setTimeout(1_000, () => request.destroy());
    request.on("error", () => resolve(false));
  });
}

// --- callers ---------------------------------------------------------------------------------------------------------

/** Sends a request as a caller does; resolves to what came back, also where the connection broke off. */
export function call(daemon, {
  path: target,
  method = "POST",
  id,
  key = "key-a",
  deadlineMs = 1_500,
  headers = {},
  body = method === "GET" ? undefined : "{}",
  agent = false,
  onData,
}) {
  const sentAt = Date.now();
  return new Promise((resolve) => {
    const chunks = [];
    let head;
    const done = (end) =>
      resolve({
        id,
        end,
        status: head?.statusCode,
        headers: head?.headers ?? {},
        body: Buffer.concat(chunks).toString("latin1"),
        sentAt,
        tookMs: Date.now() - sentAt,
      });
    const request = http.request({
      ...daemon.front,
      path: target,
      method,
      agent,
      headers: {
        host: "a.example",
        "Primroseshed-Attempt-Id": id,
        "Primroseshed-Deadline-Ms": String(deadlineMs),
        "Primroseshed-Key": key,
        ...body === undefined
          ? {}
          : { "content-length": Buffer.byteLength(body) },
        ...headers,
      },
    }, (response) => {
      head = response;
      response.on("data", (chunk) => {
        chunks.push(chunk);
        onData?.(chunk);
      });
      response.on("end", () => done(response.complete ? "complete" : "cut"));
      response.on("error", () => done("cut"));
      response.on("close", () => done("cut"));
    });
    // A caller gives up somewhat after the time that it allows.
    const timer = setTimeout(() => {
      request.destroy();
      done("no answer");
    }, deadlineMs + 1_500);
    request.on(
      "error",
      (error) => done(head ? "cut" : `failed: ${error.code}`),
    );
    request.on("close", () => clearTimeout(timer));
    request.end(body);
  });
}

// --- the record of a script ------------------------------------------------------------------------------------------

/** Runs a script: `play` returns the list of broken promises; ends all processes and writes the record. */
export async function runScript(folder, play) {
  const lines = [];
  const startedAt = Date.now();
  const note = (text) => {
    const at = ((Date.now() - startedAt) / 1_000).toFixed(3).padStart(8);
    lines.push(`${at} ${text}`);
  };
  const isTroubled = process.env.TROUBLE !== "0";
  let code;
  const limit = setTimeout(() => {
    note("gave up after 110 s");
    finish(2);
  }, 110_000);
  function finish(status) {
    clearTimeout(limit);
    for (const child of children) child.kill("SIGKILL");
    for (const each of folders) rmSync(each, { recursive: true, force: true });
    note(`exit ${status}`);
    writeFileSync(path.join(folder, "record.txt"), `${lines.join("\n")}\n`);
    process.exit(status);
  }
  for (const signal of ["SIGINT", "SIGTERM"]) {
    process.once(signal, () => {
      note(`ended by ${signal}`);
      finish(2);
    });
  }
  note(`disruption: ${isTroubled ? "yes" : "no (TROUBLE=0)"}`);
  try {
    const broken = await play({ note, isTroubled });
    for (const each of broken) note(`BROKEN ${each}`);
    if (broken.length === 0) note("the rule held");
    console.log(
      broken.length === 0 ? "the rule held" : `broken ${broken.length} times`,
    );
    code = broken.length === 0 ? 0 : 1;
  } catch (error) {
    note(`could not run: ${error.stack}`);
    for (const { name, exit, lines: logs } of daemons) {
      note(`${name} ${JSON.stringify(exit)}: ${logs.slice(-5).join(" | ")}`);
    }
    console.log(`could not run: ${error.message}`);
    code = 2;
  }
  finish(code);
}
