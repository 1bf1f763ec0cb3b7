import { createServer, type Server, type Socket } from "node:net";
import { createAnswerAgent } from "@primroseshed/daemon";
import { expect } from "chai";
import fc from "fast-check";
import { request } from "undici";

/** Pieces of answers, in an order that HTTP mostly does not allow. */
const PIECES = [
  "HTTP/1.1 200 OK\r\n",
  "HTTP/1.1 000 None\r\n",
  "HTTP/1.1 099 None\r\n",
  "HTTP/1.1 100 Continue\r\n\r\n",
  "HTTP/1.1 101 Switching Protocols\r\n",
  "HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n",
  "HTTP/1.1 199 Odd\r\n",
  "HTTP/1.1 204 No Content\r\n",
  "HTTP/1.1 304 Not Modified\r\n",
  "HTTP/1.1 503 Busy\r\n",
  "HTTP/1.1 700 Odd\r\n",
  "HTTP/1.0 200 OK\r\n",
  "HTTP/1.1 2000 Odd\r\n",
  "connection: close\r\n",
  "connection: upgrade\r\nupgrade: x\r\n",
  "connection: keep-alive\r\nkeep-alive: timeout=0\r\n",
  "keep-alive: timeout=99999999999999999999\r\n",
  "content-length: 2\r\n",
  "content-length: 0\r\n",
  "content-length: -1\r\n",
  "transfer-encoding: chunked\r\n",
  "transfer-encoding: gzip\r\n",
  "x-empty:\r\n",
  "x-folded: a\r\n b\r\n",
  "x-half",
  "trailer: x-t\r\n",
  "\r\n",
  "\r\n\r\n",
  "2\r\n{}\r\n",
  "0\r\n",
  "0\r\n\r\n",
  "0\r\nx-t",
  "0\r\nx-t: v\r\n",
  "fffffffffffffffff\r\n",
  "{}",
  "\0\u00ff",
];
const GOOD = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}";
const HEADS = [
  "HTTP/1.1 200 OK\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n",
  "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
  "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n",
  "",
];

/** Bytes of a server, in the segments in which they arrive, and how its connection ends. */
const answers = fc.record({
  head: fc.constantFrom(...HEADS),
  pieces: fc.array(fc.constantFrom(...PIECES), { maxLength: 7 }),
  segments: fc.integer({ min: 1, max: 3 }),
  end: fc.constantFrom("end", "reset"),
});

type Answer = typeof answers extends fc.Arbitrary<infer T> ? T : never;

/** Time between two segments, ms. */
const SEGMENT_MS = 3;
const MAX_ATTEMPTS = 4;

async function send(socket: Socket, answer: Answer): Promise<void> {
  const { head, pieces, segments, end } = answer;
  const text = head + pieces.join("");
  const size = Math.ceil(text.length / segments);
  for (let start = 0; start < text.length; start += size) {
    socket.write(text.slice(start, start + size), "latin1");
    await new Promise((resolve) => setTimeout(resolve, SEGMENT_MS));
  }
  if (end === "end") socket.end();
  else socket.resetAndDestroy();
}

describe("requests to a server that sends any bytes", () => {
  let server: Server;
  let answer: Answer | undefined;
  const uncaught: unknown[] = [];
  const record = (error: unknown) => uncaught.push(error);
  /** Handlers of the test runner, which would end the run. */
  let handlers: NodeJS.UncaughtExceptionListener[];

  beforeEach(async () => {
    handlers = process.listeners("uncaughtException");
    process.removeAllListeners("uncaughtException");
    process.on("uncaughtException", record);
    uncaught.length = 0;
    server = createServer((socket) => {
      socket.on("error", () => undefined);
      socket.on("data", () => {
        if (answer === undefined) socket.write(GOOD);
        else void send(socket, answer);
      });
    });
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", resolve)
    );
  });

  afterEach(() => {
    process.removeAllListeners("uncaughtException");
    for (const each of handlers) process.on("uncaughtException", each);
    server.close();
  });

  // Guards against the class of review case 7: each assertion of the HTTP client that bytes of a server can break costs
  // the event loop the parsing of a source file, leaves a request without an end, or ends the process.
  it("all end, without a failed assertion, and the next one is served", async () => {
    const { port } = server.address() as { port: number };
    const agent = createAnswerAgent({ pipelining: 1, bodyTimeout: 0 });
    const get = async () => {
      const response = await request(`http://127.0.0.1:${port}/`, {
        dispatcher: agent,
        method: "POST",
        body: "{}",
      });
      return await response.body.text();
    };
    /** Sends a request again while a connection that the last answer has spoiled is still in use. */
    const getAgain = async (): Promise<string> => {
      for (let attempt = 1; attempt < MAX_ATTEMPTS; attempt += 1) {
        const text = await get().catch(() => undefined);
        if (text === "{}") return text;
      }
      return await get();
    };
    await fc.assert(
      fc.asyncProperty(answers, async (each) => {
        answer = each;
        const failure = await get().then(
          () => undefined,
          (error: Error & { code?: string }) => error,
        );
        expect(failure?.code).to.not.equal("ERR_ASSERTION");
        answer = undefined;
        expect(await getAgain()).to.equal("{}");
        expect(uncaught.map(String)).to.deep.equal([]);
      }),
      { numRuns: 1_500, seed: 7 },
    );
    await agent.destroy();
  });
});
