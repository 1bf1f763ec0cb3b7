/**
 * Two models, of which one's name begins with the other's and a colon; some orders are carried out late. Does a
 * group serve before all of its members have joined?
 */
import {
  call,
  createConfig,
  ENGINE,
  runScript,
  sleep,
  startDaemon,
  startModelRunner,
  startStore,
  waitFor,
} from "../stand_ins/platform.mjs";

const SMALL = "qwen";
const LARGE = "qwen:72b";
const SIZES = { [SMALL]: 2, [LARGE]: 4 };
const PLAY_MS = 40_000;
const PIECES = 5;
const RUNNERS = 120;
const DOMAIN_SIZE = 10;
/** Share of the orders that get no answer and are carried out late. */
const LATE_SHARE = 0.35;

await runScript(import.meta.dirname, async ({ note, isTroubled }) => {
  const store = await startStore();
  const model = (name) => ({
    name,
    size: SIZES[name],
    share: 0.5,
    pace: 1,
    loadS: 0.2,
    warmupS: 0.1,
  });
  store.put(
    "op",
    "config",
    createConfig(1, {
      routes: [{
        name: "chat",
        kind: "streaming",
        service: "talk",
        timeoutMs: 8_000,
        targetLatencyMs: 400,
        targetGapMs: 300,
        resumable: true,
        sticky: true,
      }],
      services: [{
        name: "talk",
        engine: { ...ENGINE, models: [model(SMALL), model(LARGE)] },
      }],
    }),
  );

  /** Members that have been ready, by group, epoch and list. */
  const ready = new Map();
  const keyOf = ({ name, epoch, members }) => `${name} ${epoch} ${members}`;
  const broken = [];

  function delayOf({ runner, order }) {
    const { operation, group, epoch } = order;
    const isLate = isTroubled && Math.random() < LATE_SHARE;
    const delayMs = isLate
      ? Math.round(2_000 + Math.random() * 10_000)
      : undefined;
    note(
      `order ${operation} ${group ?? order.model} ${epoch ?? ""} at ` +
        `${runner.id}${isLate ? `: unanswered, done ${delayMs} ms later` : ""}`,
    );
    return delayMs;
  }

  function onReady({ runner, ...group }) {
    const key = keyOf(group);
    ready.set(key, (ready.get(key) ?? new Set()).add(runner));
    note(`${runner} is ready in ${group.name} ${group.epoch}`);
  }

  async function answer({ request, response, attempt, runner }) {
    const { group, models: [{ name }] } = runner.fields;
    const { members } = runner;
    const joined = ready.get(keyOf({ ...group, members })) ?? new Set();
    const missing = members.filter((member) => !joined.has(member));
    note(`run ${attempt} at ${runner.id}, the head of ${group.name} (${name})`);
    if (members.length < SIZES[name] || missing.length > 0) {
      broken.push(
        `${attempt} begins to run in ${group.name} ${group.epoch} of ` +
          `${members}; never ready there: ${missing}`,
      );
    }
    response.writeHead(200, {
      "Primroseshed-Attempt-Id": attempt,
      "Primroseshed-Response-Signature": `signed-${runner.id}-${attempt}`,
      "Content-Type": "text/event-stream",
    });
    const from = Number(request.headers["last-event-id"] ?? 0);
    for (let piece = from + 1; piece <= PIECES; piece += 1) {
      await sleep(20);
      response.write(`id: ${piece}\ndata: ${attempt}\n\n`);
    }
    response.end();
    return true;
  }

  const daemons = [];
  for (const zone of ["z1", "z2", "z3"]) {
    daemons.push(await startDaemon(store, { name: `front-${zone}`, zone }));
  }
  for (let index = 0; index < RUNNERS; index += 1) {
    await startModelRunner(store, {
      id: `m${index}`,
      domain: `d${Math.floor(index / DOMAIN_SIZE)}`,
      answer,
      delayOf,
      onReady,
    });
  }
  for (const daemon of daemons) await waitFor("ready", daemon.isReady);

  const endsAt = Date.now() + PLAY_MS;
  let count = 0;
  const seen = {};
  while (Date.now() < endsAt) {
    count += 1;
    const name = count % 2 === 0 ? SMALL : LARGE;
    const { status, end } = await call(daemons[count % daemons.length], {
      id: `s${count}`,
      path: "/chat/1",
      deadlineMs: 8_000,
      headers: {
        "Primroseshed-Model": name,
        "Primroseshed-Token-Usage": "1460,25",
        "Primroseshed-Prompt-Prefix": "5c1e07a2:40,91bd3f06:1420",
      },
    });
    note(`sent s${count} for ${name}, answered ${status} ${end}`);
    const key = `${name} ${status} ${end}`;
    seen[key] = (seen[key] ?? 0) + 1;
    await sleep(60);
  }
  note(JSON.stringify(seen));
  return broken;
});
