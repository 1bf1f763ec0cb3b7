/**
 * One runner of three spoils a byte in a header of one answer in fifty. What do callers get?
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

const REQUESTS = 600;
const CALLERS = 6;

await runScript(import.meta.dirname, async ({ note, isTroubled }) => {
  const store = await startStore();
  store.put("op", "config", createConfig(1));
  /** What each runner gave, by the id of the request. */
  const given = new Map();

  async function answer({ request, attempt, runner }) {
    runner.count = (runner.count ?? 0) + 1;
    await sleep(20);
    // A runner's own failure, as sound runners have them now and then.
    const isFailure = runner.count % 25 === 0;
    const isSpoiled = isTroubled && runner.id === "r1" &&
      [30, 75].includes(runner.count % 100);
    const status = isFailure ? 500 : 200;
    const body = isFailure ? "failed\n" : bodyOf(runner.id, attempt);
    const signature = `signed-${runner.id}-${attempt}`;
    const type = Buffer.from("text/plain");
    if (isSpoiled) type[5] |= 0x80;
    given.set(attempt, [
      ...given.get(attempt) ?? [],
      { status, body, signature, isSpoiled },
    ]);
    note(
      `run ${attempt} at ${runner.id}: ${status}, ${body.length} bytes` +
        (isSpoiled ? ", one byte of its content-type spoiled" : ""),
    );
    request.socket.write(Buffer.concat([
      Buffer.from(
        `HTTP/1.1 ${status} ${isFailure ? "Failed" : "OK"}\r\n` +
          `Primroseshed-Attempt-Id: ${attempt}\r\n` +
          `Primroseshed-Response-Signature: ${signature}\r\n` +
          "Content-Type: ",
      ),
      type,
      Buffer.from(`\r\nContent-Length: ${body.length}\r\n\r\n${body}`),
    ]));
    return true;
  }

  for (const id of ["r1", "r2", "r3"]) {
    await startRunner(store, { id, zone: id.replace("r", "z"), answer });
  }
  const daemons = [];
  for (const zone of ["z1", "z2", "z3"]) {
    daemons.push(await startDaemon(store, { name: `front-${zone}`, zone }));
  }
  for (const daemon of daemons) await waitFor("ready", daemon.isReady);
  await sleep(1_000);

  const broken = [];
  function check({ id, status, end, headers, body }) {
    const signature = headers["primroseshed-response-signature"];
    const runs = given.get(id) ?? [];
    const source = runs.find((each) => each.signature === signature);
    if (end !== "complete") return;
    if (status >= 300) {
      if (source !== undefined && source.status !== status) {
        broken.push(
          `${id}: status ${status}, the runner gave ${source.status}`,
        );
      }
      return;
    }
    if (source === undefined) {
      broken.push(`${id}: ${status} without the runner's signature`);
    } else if (source.status >= 300) {
      broken.push(`${id}: ${status}, the runner had failed (${source.status})`);
    } else if (source.body !== body) {
      broken.push(
        `${id}: ${status} with ${body.length} bytes, the runner's body has ` +
          `${source.body.length}`,
      );
    }
  }

  let count = 0;
  async function caller() {
    while (count < REQUESTS) {
      count += 1;
      const id = `a${count}`;
      const isBooking = count % 3 !== 0;
      const answered = await call(daemons[count % daemons.length], {
        id,
        path: isBooking ? "/book/1" : "/look/1",
        method: isBooking ? "POST" : "GET",
      });
      const { status, end, body, tookMs } = answered;
      note(
        `sent ${id} ${
          isBooking ? "book" : "look"
        }, answered ${status} ${end} ` +
          `with ${body.length} bytes after ${tookMs} ms`,
      );
      check(answered);
    }
  }
  await Promise.all(Array.from({ length: CALLERS }, caller));
  return broken;
});
