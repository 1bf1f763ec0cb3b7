/**
 * One runner of three is released in a new version, whose answers come in chunks and announce a trailer field. Are its
 * requests answered?
 */
import {
  bodyOf,
  call,
  createConfig,
  runScript,
  sleep,
  startDaemon,
  startRunner,
  startStore,
  waitFor,
} from "../stand_ins/platform.mjs";

const REQUESTS = 200;
const CALLERS = 6;
const TIMEOUT_MS = 800;
const DEADLINE_MS = 1_500;
/** The rule asks whether a request has an answer this long after its route's timeout. */
const GRACE_MS = 500;
const DRAIN_MS = 2_000;

await runScript(import.meta.dirname, async ({ note, isTroubled }) => {
  const store = await startStore();
  const config = createConfig(1);
  for (const route of config.routes) {
    route.timeoutMs = TIMEOUT_MS;
    route.targetLatencyMs = 150;
  }
  store.put("op", "config", config);

  /** An answer of the new version: chunks, then a trailer field, as HTTP/1.1 has it. */
  async function answerInChunks({ response, attempt, runner }) {
    await sleep(30);
    response.writeHead(200, {
      "Primroseshed-Attempt-Id": attempt,
      "Primroseshed-Response-Signature": `signed-${runner.id}-${attempt}`,
      "Content-Type": "text/plain",
      Trailer: "X-Rows",
    });
    response.write(bodyOf(runner.id, attempt));
    response.addTrailers({ "X-Rows": "12" });
    response.end();
    return true;
  }

  const runners = [];
  for (const id of ["r1", "r2", "r3"]) {
    runners.push(await startRunner(store, { id, zone: id.replace("r", "z") }));
  }
  const daemons = [];
  for (const zone of ["z1", "z2", "z3"]) {
    daemons.push(await startDaemon(store, { name: `front-${zone}`, zone }));
  }
  for (const daemon of daemons) await waitFor("ready", daemon.isReady);
  await sleep(1_000);
  if (isTroubled) {
    const [old] = runners;
    note("release: r4 (v2) starts, r1 (v1) drains");
    runners.push(
      await startRunner(store, {
        id: "r4",
        zone: "z1",
        answer: answerInChunks,
        entry: { version: "v2" },
      }),
    );
    await sleep(1_000);
    old.fields.state = "draining";
    old.write();
    await sleep(DRAIN_MS + 2_000);
    store.put("servers", old.id, undefined);
    old.stop();
  }

  const overdue = [];
  let unanswered = 0;
  let count = 0;
  async function caller() {
    while (count < REQUESTS) {
      count += 1;
      const id = `a${count}`;
      const isBooking = count % 3 !== 0;
      const { status, end, body, tookMs } = await call(
        daemons[count % daemons.length],
        {
          id,
          path: isBooking ? "/book/1" : "/look/1",
          method: isBooking ? "POST" : "GET",
          deadlineMs: DEADLINE_MS,
        },
      );
      const ran = runners.filter(({ runs }) =>
        runs.some(({ attempt }) => attempt === id)
      ).map((runner) => runner.id);
      note(
        `sent ${id} ${
          isBooking ? "book" : "look"
        }, answered ${status} ${end} ` +
          `with ${body.length} bytes after ${tookMs} ms, run at ${
            ran.join(" ") || "none"
          }`,
      );
      if (end === "no answer") unanswered += 1;
      if (tookMs > TIMEOUT_MS) overdue.push({ id, tookMs });
    }
  }
  await Promise.all(Array.from({ length: CALLERS }, caller));
  const late = overdue.filter(({ tookMs }) => tookMs > TIMEOUT_MS + GRACE_MS);
  note(
    `${overdue.length} requests were unanswered at ${TIMEOUT_MS} ms, ` +
      `${late.length} of them still at ${TIMEOUT_MS + GRACE_MS} ms; ` +
      `${unanswered} never had an answer`,
  );
  return late.length > overdue.length / 2
    ? [
      `${late.length} of ${overdue.length} requests that were unanswered at ` +
      `their route's timeout had no answer half a second later`,
    ]
    : [];
});
