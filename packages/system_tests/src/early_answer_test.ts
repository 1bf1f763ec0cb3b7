import { Readable } from "node:stream";
import type { Outcome } from "@primroseshed/core";
import { createAgents, startAttempt } from "@primroseshed/daemon";
import { expect } from "chai";
import {
  type AnswerEnd,
  type ResettingServer,
  type ScriptedAnswer,
  startResettingServer,
} from "@primroseshed/stand_ins";

/** Heads of answers, each with a part of a body after it. */
const CUT_ANSWERS = {
  "no length, connection: close":
    "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\npart",
  "no length": "HTTP/1.1 200 OK\r\n\r\npart",
  "HTTP/1.0": "HTTP/1.0 200 OK\r\n\r\npart",
  "chunks without the last one":
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\npart\r\n",
  "chunks, connection: close": "HTTP/1.1 200 OK\r\nconnection: close\r\n" +
    "transfer-encoding: chunked\r\n\r\n4\r\npart\r\n",
  "a length beyond the part":
    "HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\npart",
  "a length beyond the part, connection: close":
    "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 100\r\n\r\npart",
};

/** Answers that are complete before the end of their connections. */
const WHOLE_ANSWERS = {
  "a length": "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nfull",
  "a length, connection: close":
    "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 4\r\n\r\nfull",
  "chunks": "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n" +
    "4\r\nfull\r\n0\r\n\r\n",
};

const KIB = 1024;
const SMALL_BODY = Buffer.from("{}");
const LONG_BODY = Buffer.alloc(400 * KIB, "x");
const LONGER_BODY = Buffer.alloc(4 * KIB * KIB, "x");
const LONG_ANSWER = Buffer.alloc(60 * KIB, "x");
const PIECE = Buffer.alloc(16 * KIB, "x");

/** A request's body, and what is written of it as the server resets the connection. */
interface Upload {
  body: Buffer | Readable | null;
  writeMore?(): void;
}

/** Creates a body of which only the first piece is there. */
function unfinishedUpload(): Upload & { body: Readable } {
  const body = new Readable({ read: () => undefined });
  body.on("error", () => undefined);
  body.push(PIECE);
  return { body };
}

const UPLOADS = {
  "no body": () => ({ body: null }),
  "a small body": () => ({ body: SMALL_BODY }),
  "400 KiB": () => ({ body: LONG_BODY }),
  "4 MiB": () => ({ body: LONGER_BODY }),
  "a body that is still to come": unfinishedUpload,
  // Its next piece meets the reset before the answer is read.
  "a body whose next piece meets the reset": () => {
    const { body } = unfinishedUpload();
    return { body, writeMore: () => void body.push(PIECE) };
  },
} satisfies Record<string, () => Upload>;

type Agents = ReturnType<typeof createAgents>;
type Attempt = ReturnType<typeof startAttempt>;

/** Where the rest of an answer is read. */
type Reading = "at once" | "after a pause at the head" | "after a pause";

interface Play {
  answer: string | Buffer | readonly (string | Buffer)[];
  end: AnswerEnd;
  upload(): Upload;
  readsUpload?: boolean;
  reading?: Reading;
  /** Time for which the event loop stands still as the connection is reset, ms. */
  busyMs?: number;
  /** True where the answer comes on a connection that has carried another request. */
  isKept?: boolean;
}

type Result = Outcome | "ended" | "no end";

/** Requests of each combination. */
const REPETITIONS = 20;
const PAUSE_MS = 20;
const BUSY_MS = 3;
const MAX_WAIT_MS = 4_000;
const RESET_TIMES_MS = [undefined, 0, 5, 20, 100];
const KEPT_ANSWER = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
const RESET_AT_ONCE: AnswerEnd = { kind: "reset", afterMs: undefined };
const CUT_RESULTS: readonly Result[] = ["body_cut_off", "reset_after_send"];

function keepBusy(ms: number): void {
  const end = performance.now() + ms;
  while (performance.now() < end);
}

function attemptOnce(
  agents: Agents,
  server: ResettingServer,
  { body, reading = "at once", isKept = false }:
    & Pick<Upload, "body">
    & Pick<Play, "reading" | "isKept">,
): Promise<Result> {
  return new Promise((resolve) => {
    const timer = setTimeout(() => resolve("no end"), MAX_WAIT_MS);
    const finish = (result: Result) => {
      clearTimeout(timer);
      resolve(result);
    };
    const pauseAt = (place: Reading) => {
      if (reading !== place) return;
      attempt.pause();
      setTimeout(() => attempt.resume(), PAUSE_MS);
    };
    const attempt: Attempt = startAttempt(
      isKept ? agents.reusing : agents.fresh,
      {
        origin: `http://127.0.0.1:${server.port}`,
        path: "/",
        method: "POST",
        body,
      },
      {
        events: {
          onHeaders: () => pauseAt("after a pause at the head"),
          onData: () => pauseAt("after a pause"),
          onEnd: () => finish("ended"),
          onFailure: finish,
        },
      },
    );
  });
}

async function playOnce(play: Play): Promise<Result> {
  const { upload, busyMs = 0, isKept = false, readsUpload = false } = play;
  const { body, writeMore }: Upload = upload();
  const segments = typeof play.answer === "string" ||
      Buffer.isBuffer(play.answer)
    ? [play.answer]
    : play.answer;
  const answer: ScriptedAnswer = {
    segments,
    end: play.end,
    readsUpload,
    ...isKept && { first: KEPT_ANSWER },
    onReset() {
      writeMore?.();
      keepBusy(busyMs);
    },
  };
  const server = await startResettingServer(() => answer);
  const agents = createAgents({ connectTimeoutMs: 1_000 });
  if (isKept) {
    const options = { body: null, isKept };
    expect(await attemptOnce(agents, server, options)).to.equal("ended");
    // The connection goes back to its pool in a later turn.
    await new Promise((resolve) => setImmediate(resolve));
  }
  const result = await attemptOnce(agents, server, { ...play, body, isKept });
  expect(server.connectionCount()).to.equal(1);
  server.close();
  await Promise.all([agents.reusing.destroy(), agents.fresh.destroy()]);
  return result;
}

/** Plays something many times at once, and counts the results. */
async function countResults(play: Play): Promise<Record<string, number>> {
  const counts: Record<string, number> = {};
  const results = await Promise.all(
    Array.from({ length: REPETITIONS }, () => playOnce(play)),
  );
  for (const result of results) counts[result] = (counts[result] ?? 0) + 1;
  return counts;
}

/** Returns the combinations in which some answers had another result than these. */
async function listUnexpected(
  plays: Record<string, Play>,
  expected: readonly Result[],
): Promise<Record<string, Record<string, number>>> {
  const unexpected: Record<string, Record<string, number>> = {};
  for (const [name, play] of Object.entries(plays)) {
    const counts = await countResults(play);
    const isExpected = Object.keys(counts).every((result) =>
      expected.includes(result as Result)
    );
    if (!isExpected) unexpected[name] = counts;
  }
  return unexpected;
}

/** Returns the same play with each upload, read by the server and not. */
function withUploads(
  play: Omit<Play, "upload">,
): Record<string, Play> {
  return Object.fromEntries(
    Object.entries(UPLOADS).flatMap(([name, upload]) =>
      [false, true].map((
        readsUpload,
      ): [string, Play] => [
        `${name}, ${readsUpload ? "read" : "unread"}`,
        { ...play, upload, readsUpload },
      ])
    ),
  );
}

const nameOf = (afterMs: number | undefined) =>
  afterMs === undefined ? "in the same turn" : `${afterMs} ms later`;

// Guards against issue 60 (MIXED): an answer that is reset as its bytes arrive was taken for whole.
describe("answers that a server resets before they are complete", () => {
  for (const [framing, answer] of Object.entries(CUT_ANSWERS)) {
    for (const afterMs of RESET_TIMES_MS) {
      it(`fail: ${framing}, reset ${nameOf(afterMs)}`, async () => {
        const end: AnswerEnd = { kind: "reset", afterMs };
        const plays = withUploads({ answer, end });
        expect(await listUnexpected(plays, CUT_RESULTS)).to.deep.equal({});
      });
    }

    it(`fail: ${framing}, read by a busy event loop`, async () => {
      const plays = withUploads({
        answer,
        end: RESET_AT_ONCE,
        busyMs: BUSY_MS,
      });
      expect(await listUnexpected(plays, CUT_RESULTS)).to.deep.equal({});
    });

    for (
      const reading of ["after a pause at the head", "after a pause"] as const
    ) {
      it(`fail: ${framing}, read ${reading}`, async () => {
        const plays = withUploads({ answer, end: RESET_AT_ONCE, reading });
        expect(await listUnexpected(plays, CUT_RESULTS)).to.deep.equal({});
      });

      it(`fail: ${framing}, longer than a buffer, read ${reading}`, async () => {
        // A length beyond the part stays beyond it, and the part of a chunk is no whole one.
        const long = Buffer.concat([
          Buffer.from(
            answer.replace("content-length: 100", "content-length: 999999"),
          ),
          Buffer.from(answer.includes("chunked") ? "ffffff\r\n" : ""),
          Buffer.alloc(200 * KIB, "x"),
        ]);
        const end: AnswerEnd = { kind: "reset", afterMs: 5 };
        const plays = withUploads({ answer: long, end, reading });
        expect(await listUnexpected(plays, CUT_RESULTS)).to.deep.equal({});
      });
    }

    it(`fail: ${framing}, on a connection that was used before`, async () => {
      const plays = withUploads({ answer, end: RESET_AT_ONCE, isKept: true });
      expect(await listUnexpected(plays, CUT_RESULTS)).to.deep.equal({});
    });

    it(`fail: ${framing}, with a head in two segments`, async () => {
      const middle = answer.indexOf(" OK");
      const segments = [answer.slice(0, middle), answer.slice(middle)];
      const plays = withUploads({ answer: segments, end: RESET_AT_ONCE });
      expect(await listUnexpected(plays, CUT_RESULTS)).to.deep.equal({});
    });

    it(`fail: ${framing}, with the body after the head`, async () => {
      const middle = answer.indexOf("\r\n\r\n") + 4;
      const segments = [answer.slice(0, middle), answer.slice(middle)];
      const plays = withUploads({ answer: segments, end: RESET_AT_ONCE });
      expect(await listUnexpected(plays, CUT_RESULTS)).to.deep.equal({});
    });
  }
});

describe("answers that are complete before their connection ends", () => {
  const { "a body whose next piece meets the reset": _, ...uploads } = UPLOADS;
  const ordered: AnswerEnd = { kind: "ordered" };

  for (const [upload, create] of Object.entries(uploads)) {
    for (
      const framing of ["no length, connection: close", "HTTP/1.0"] as const
    ) {
      it(`are whole where an end in order ends them: ${framing}, ${upload}`, async () => {
        const answer = CUT_ANSWERS[framing];
        const plays = Object.fromEntries(
          ["at once", "after a pause at the head", "after a pause"].map((
            reading,
          ): [string, Play] => [reading, {
            answer,
            end: ordered,
            upload: create,
            reading: reading as Reading,
          }]),
        );
        expect(await listUnexpected(plays, ["ended"])).to.deep.equal({});
      });
    }
  }

  // Guards against a whole answer that counts as cut since its reader was paused at its last bytes as its connection ended.
  for (const framing of ["a length", "a length, connection: close"] as const) {
    it(`are whole where their reader pauses at each piece: ${framing}`, async () => {
      const head = WHOLE_ANSWERS[framing]
        .replace("content-length: 4", `content-length: ${LONG_ANSWER.length}`)
        .replace("full", "");
      const plays = Object.fromEntries(
        (["after a pause at the head", "after a pause"] as const).map((
          reading,
        ): [string, Play] => [reading, {
          answer: Buffer.concat([Buffer.from(head), LONG_ANSWER]),
          end: ordered,
          upload: UPLOADS["a small body"],
          reading,
        }]),
      );
      expect(await listUnexpected(plays, ["ended"])).to.deep.equal({});
    });
  }

  for (const [framing, answer] of Object.entries(WHOLE_ANSWERS)) {
    for (const body of ["no body", "a small body"] as const) {
      it(`are whole where a reset follows: ${framing}, ${body}`, async () => {
        const plays = Object.fromEntries(
          RESET_TIMES_MS.map((afterMs): [string, Play] => [nameOf(afterMs), {
            answer,
            end: { kind: "reset", afterMs },
            upload: UPLOADS[body],
          }]),
        );
        expect(await listUnexpected(plays, ["ended"])).to.deep.equal({});
      });
    }
  }
});
