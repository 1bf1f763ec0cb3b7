/**
 * Runners answer streams that end with their connection; one daemon of three is killed. How do its streams end?
 */
import net from "node:net";
import {
  createConfig,
  ENGINE,
  HOST,
  runScript,
  sleep,
  startDaemon,
  startModelRunner,
  startStore,
  waitFor,
} from "../stand_ins/platform.mjs";

const PIECES = 30;
const PIECE_MS = 100;
const STREAMS_EACH = 6;

await runScript(import.meta.dirname, async ({ note, isTroubled }) => {
  const store = await startStore();
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
      services: [{ name: "talk", engine: ENGINE }],
    }),
  );

  async function answer({ request, attempt, runner }) {
    const { socket } = request;
    const from = Number(request.headers["last-event-id"] ?? 0);
    note(`run ${attempt} at ${runner.id} from piece ${from + 1}`);
    runner.running = (runner.running ?? 0) + 1;
    // No length and no chunks: the stream ends with its connection.
    socket.write(
      "HTTP/1.1 200 OK\r\nConnection: close\r\n" +
        `Primroseshed-Attempt-Id: ${attempt}\r\n` +
        `Primroseshed-Response-Signature: signed-${runner.id}-${attempt}\r\n` +
        "Content-Type: text/event-stream\r\n\r\n",
    );
    for (let piece = from + 1; piece <= PIECES; piece += 1) {
      await sleep(PIECE_MS);
      if (socket.destroyed) break;
      socket.write(`id: ${piece}\ndata: ${attempt} ${piece}/${PIECES}\n\n`);
    }
    runner.running -= 1;
    socket.end();
    return true;
  }

  const runners = [];
  for (const id of ["m1", "m2", "m3", "m4", "m5", "m6"]) {
    runners.push(await startModelRunner(store, { id, answer }));
  }
  const daemons = [];
  for (const zone of ["z1", "z2", "z3"]) {
    daemons.push(await startDaemon(store, { name: `front-${zone}`, zone }));
  }
  for (const daemon of daemons) await waitFor("ready", daemon.isReady);
  const isOpen = ({ fields }) => fields.group?.state === "open";
  await waitFor("open groups", () => runners.filter(isOpen).length === 3);
  await sleep(1_500);

  /** Sends a request on a connection of its own, and reads until that ends. */
  function stream(daemon, id) {
    return new Promise((resolve) => {
      const socket = net.connect({ host: HOST, port: daemon.port.front });
      let text = "";
      let error;
      socket.setEncoding("latin1");
      socket.on("data", (chunk) => text += chunk);
      socket.on("error", ({ code }) => error = code);
      socket.on("close", () => resolve({ id, text, error, daemon }));
      socket.write(
        "POST /chat/1 HTTP/1.1\r\nHost: a.example\r\n" +
          `Primroseshed-Attempt-Id: ${id}\r\nPrimroseshed-Model: m1\r\n` +
          "Primroseshed-Token-Usage: 1460,150\r\n" +
          "Primroseshed-Prompt-Prefix: 5c1e07a2:40,91bd3f06:1420\r\n" +
          "Primroseshed-Deadline-Ms: 8000\r\nPrimroseshed-Key: key-a\r\n" +
          "Content-Length: 2\r\n\r\n{}",
      );
    });
  }

  const pending = [];
  for (let index = 0; index < STREAMS_EACH * daemons.length; index += 1) {
    pending.push(stream(daemons[index % daemons.length], `s${index}`));
  }
  await sleep(1_250);
  const [killed] = daemons;
  if (isTroubled) {
    note(`SIGKILL to ${killed.name}`);
    killed.kill("SIGKILL");
  }

  const broken = [];
  for (const { id, text, error, daemon } of await Promise.all(pending)) {
    const headEnd = text.indexOf("\r\n\r\n");
    const head = text.slice(0, headEnd).toLowerCase();
    const body = text.slice(headEnd + 4);
    const isSuccess = head.startsWith("http/1.1 200");
    const isChunked = head.includes("transfer-encoding: chunked");
    const isSized = /content-length: \d+/.test(head);
    const pieces = [...body.matchAll(/^id: (\d+)$/gm)].map((match) =>
      Number(match[1])
    );
    const endsWhole = isChunked
      ? body.endsWith("0\r\n\r\n")
      : !isSized && error === undefined && body.endsWith("\n\n");
    note(
      `sent ${id} to ${daemon.name}, answered ` +
        `${head.split("\r\n")[0]}, ${
          isChunked ? "chunked" : isSized ? "with a length" : "no length"
        }, last piece ${pieces.at(-1) ?? "none"} of ${PIECES}, connection ${
          error ?? "closed in order"
        }, looks ${endsWhole ? "complete" : "broken off"}`,
    );
    if (isSuccess && endsWhole && pieces.at(-1) !== PIECES) {
      broken.push(
        `${id}: the stream ends as complete after piece ${pieces.at(-1)} of ` +
          `${PIECES}`,
      );
    }
  }
  return broken;
});
