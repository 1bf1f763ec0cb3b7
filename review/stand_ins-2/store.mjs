// Stand-in for the platform's store: a log with partitions, keyed topics and consumer groups over HTTP/1.1.
import { createServer } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { Buffer } from "node:buffer";

const PARTITIONS = 12;
const ANSWER_MS = 4;
const PAGE = 500;

function splitRecords(body) {
  const records = [];
  for (let at = 0; at < body.length;) {
    const end = at + 4 + body.readUInt32BE(at);
    records.push(body.subarray(at + 4, end));
    at = end;
  }
  return records;
}

function withLength(record) {
  const length = Buffer.alloc(4);
  length.writeUInt32BE(record.length);
  return Buffer.concat([length, record]);
}

async function readBody(request) {
  const chunks = [];
  for await (const chunk of request) chunks.push(chunk);
  return Buffer.concat(chunks);
}

/** Starts a store on loopback. */
export async function startStore(host = "127.0.0.1") {
  let topics = new Map();
  const groups = new Map();
  const waiters = new Set();

  function topicOf(name, part = "0") {
    const id = `${name}/${part}`;
    let topic = topics.get(id);
    if (topic === undefined) {
      topic = { first: 0, records: [], newest: new Map() };
      topics.set(id, topic);
    }
    return topic;
  }
  const endOf = (topic) => topic.first + topic.records.length;

  function add(name, part, records) {
    const topic = topicOf(name, part);
    const offset = endOf(topic);
    for (const record of records) {
      topic.records.push(record);
      if (!name.startsWith("keyed.")) continue;
      const keyEnd = 1 + record[0];
      const key = record.toString("utf8", 1, keyEnd);
      const at = endOf(topic) - 1;
      if (keyEnd === record.length) topic.newest.delete(key);
      else topic.newest.set(key, { value: record.subarray(keyEnd), at });
    }
    for (const wake of waiters) wake();
    return { offset, end: endOf(topic) };
  }

  /** Returns the entry of a runner as this caller is to see it. */
  function viewOf(query, caller, value) {
    if (store.mapAddress === undefined) return value;
    if (query.get("topic") !== "keyed.servers" || value.length === 0) {
      return value;
    }
    const entry = JSON.parse(value.toString());
    entry.address = store.mapAddress(caller, entry.address);
    return Buffer.from(JSON.stringify(entry));
  }

  function viewOfRecord(query, caller, record) {
    if (query.get("topic") !== "keyed.servers") return record;
    const keyEnd = 1 + record[0];
    if (keyEnd === record.length) return record;
    const value = viewOf(query, caller, record.subarray(keyEnd));
    return Buffer.concat([record.subarray(0, keyEnd), value]);
  }

  async function read(query, caller) {
    let topic = topicOf(query.get("topic"), query.get("part"));
    const from = Number(query.get("from"));
    const until = performance.now() + Number(query.get("waitMs") ?? 0);
    while (endOf(topic) === from && performance.now() < until) {
      await new Promise((resolve) => {
        const timer = setTimeout(done, until - performance.now());
        function done() {
          clearTimeout(timer);
          waiters.delete(done);
          resolve();
        }
        waiters.add(done);
      });
      topic = topicOf(query.get("topic"), query.get("part"));
    }
    if (from < topic.first || from > endOf(topic)) {
      return { status: 410, json: { first: topic.first } };
    }
    const head = Buffer.alloc(16);
    head.writeBigUInt64BE(BigInt(endOf(topic)), 0);
    head.writeBigUInt64BE(BigInt(topic.first), 8);
    const most = Number(query.get("sizeLimit") ?? 1024) * 1024;
    const parts = [head];
    let size = 0;
    for (const record of topic.records.slice(from - topic.first)) {
      size += record.length + 4;
      if (size > most) break;
      parts.push(withLength(viewOfRecord(query, caller, record)));
    }
    return { status: 200, bytes: Buffer.concat(parts) };
  }

  function newest(query, caller) {
    const topic = topicOf(query.get("topic"), query.get("part"));
    const after = query.get("after");
    const keys = [...topic.newest.keys()].sort()
      .filter((key) => after === null || key > after);
    const items = keys.slice(0, PAGE).map((key) => ({
      key,
      value: viewOf(query, caller, topic.newest.get(key).value)
        .toString("base64"),
      offset: topic.newest.get(key).at,
    }));
    const hasMore = keys.length > PAGE;
    return { status: 200, json: { items, hasMore, end: endOf(topic) } };
  }

  function groupOf(name) {
    let group = groups.get(name);
    if (group === undefined) {
      group = {
        generation: 0,
        members: new Map(),
        owner: new Map(),
        target: new Map(),
      };
      groups.set(name, group);
    }
    return group;
  }
  /** Deals the partitions evenly; members keep what they have as far as that allows. */
  function dealAnew(group) {
    const names = [...group.members.keys()];
    const most = Math.ceil(PARTITIONS / names.length);
    const counts = new Map(names.map((name) => [name, 0]));
    const target = new Map();
    const give = (part, name) => {
      target.set(part, name);
      counts.set(name, counts.get(name) + 1);
    };
    for (const [part, owner] of group.owner) {
      if (target.has(part) || !(counts.get(owner) < most)) continue;
      give(part, owner);
    }
    for (let part = 0; part < PARTITIONS; part += 1) {
      if (target.has(part) || names.length === 0) continue;
      const [least] = names.sort((a, b) => counts.get(a) - counts.get(b));
      give(part, least);
    }
    group.target = target;
  }
  function expire(group) {
    for (const [name, member] of group.members) {
      if (performance.now() - member.at < member.ttlMs) continue;
      removeMember(group, name);
    }
  }
  function removeMember(group, name) {
    if (!group.members.delete(name)) return;
    group.generation += 1;
    for (const [part, owner] of group.owner) {
      if (owner === name) group.owner.delete(part);
    }
    dealAnew(group);
  }
  function join({ group: name, member, topics: [topic], ttlMs, generation }) {
    const group = groupOf(name);
    if (group.members.has(member)) {
      group.members.get(member).at = performance.now();
    }
    expire(group);
    const isNew = !group.members.has(member);
    group.members.set(member, { at: performance.now(), ttlMs });
    if (isNew) {
      group.generation += 1;
      dealAnew(group);
    }
    const parts = [];
    for (let part = 0; part < PARTITIONS; part += 1) {
      const target = group.target.get(part);
      const isReleased = group.owner.get(part) === member &&
        target !== member && generation >= group.generation;
      if (isReleased) group.owner.delete(part);
      if (target !== member) continue;
      if (!group.owner.has(part)) group.owner.set(part, member);
      if (group.owner.get(part) === member) parts.push([topic, part, 0]);
    }
    return {
      status: 200,
      json: { generation: group.generation, ttlMs, parts },
    };
  }

  const store = {
    address: "",
    era: 0,
    /** Handles a call in place of the store; returns true where it did. */
    intercept: undefined,
    /** Called with the address of a caller and the topic whose read has ended without records. */
    onIdleRead: undefined,
    /** Returns the address of a runner as this caller reaches it. */
    mapAddress: undefined,
    /** Called with each call, its body and the address of its caller before it is handled. */
    onCall: undefined,
    /** True while the store is away: calls get 503, and nothing is done. */
    isAway: false,
    /** Takes a copy of all topics. */
    backUp() {
      return new Map(
        [...topics].map(([id, { first, records, newest }]) => [id, {
          first,
          records: [...records],
          newest: new Map(newest),
        }]),
      );
    },
    /** Comes back from a copy; the members of groups have been silent for longer than they may. */
    restore(copy) {
      topics = new Map(copy);
      groups.clear();
      store.era += 1;
      store.isAway = false;
      for (const wake of waiters) wake();
    },
    /** Appends the record of a key as the operator or a runner does; returns the time of the acknowledgement. */
    put(topic, key, value) {
      const bytes = value === undefined
        ? Buffer.alloc(0)
        : Buffer.from(JSON.stringify(value));
      const name = Buffer.from(key);
      add(`keyed.${topic}`, "0", [
        Buffer.concat([Buffer.from([name.length]), name, bytes]),
      ]);
      return performance.now();
    },
    stop() {
      server.close();
      server.closeAllConnections();
    },
  };

  function sendAway(response) {
    response.statusCode = 503;
    response.end();
  }

  async function handle(request, response) {
    const { pathname, searchParams: query } = new URL(
      request.url,
      "http://store",
    );
    const body = await readBody(request);
    const call = pathname.split("/").at(-1);
    const { remoteAddress: caller } = request.socket;
    store.onCall?.(call, body, caller);
    if (store.intercept?.(call, query, request, response)) return;
    await sleep(ANSWER_MS);
    if (store.isAway) return sendAway(response);
    let answer = { status: 404, json: {} };
    if (call === "log-read") {
      answer = await read(query, caller);
      if (answer.bytes?.length === 16) {
        store.onIdleRead?.(caller, query.get("topic"));
      }
    }
    if (call === "log-newest") answer = newest(query, caller);
    if (call === "log-append") {
      const topic = query.get("topic");
      answer = topic === "keyed.op" || topic === "keyed.servers"
        ? { status: 403, json: {} }
        : {
          status: 200,
          json: add(topic, query.get("part"), splitRecords(body)),
        };
    }
    if (call === "log-join") answer = join(JSON.parse(body.toString()));
    if (call === "log-leave") {
      const { group, member } = JSON.parse(body.toString());
      removeMember(groupOf(group), member);
      answer = { status: 200, json: {} };
    }
    if (store.isAway) return sendAway(response);
    response.statusCode = answer.status;
    if (store.era > 0) response.setHeader("store-era", store.era);
    if (answer.bytes !== undefined) return response.end(answer.bytes);
    response.setHeader("content-type", "application/json");
    response.end(JSON.stringify(answer.json));
  }

  const server = createServer((request, response) => {
    handle(request, response).catch(() => response.destroy());
  });
  server.keepAliveTimeout = 60_000;
  await new Promise((resolve) => server.listen(0, host, resolve));
  store.address = `${host}:${server.address().port}`;
  return store;
}
