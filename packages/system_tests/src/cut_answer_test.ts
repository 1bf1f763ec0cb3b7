import { connect, type Socket } from "node:net";
import {
  type BreakableConnect,
  CALLER_KEYS,
  createBreakableConnect,
  resetAtOnce,
  type System,
  waitUntil,
} from "@primroseshed/stand_ins";
import { type Daemon, watchReset } from "@primroseshed/daemon";
import { expect } from "chai";
import { chat } from "./client.ts";
import { startTestSystem } from "./fixture.ts";

/** Time after which a daemon knows that it is cut off, ms. */
const CUT_KNOWN_MS = 3_000;
const CALLS = 10;
const PART = "part of an answer";
const SMALL_UPLOAD = "{}";
/** Longer than the part of a body that is kept for a retry. */
const LONG_UPLOAD = "x".repeat(400_000);

const FRAMINGS = {
  "no length": "connection: close",
  "a length beyond the part": "content-length: 1000",
};
const WAYS = ["direct", "relayed"] as const;

interface Call {
  method: "GET" | "POST";
  httpVersion: "1.0" | "1.1";
  path: string;
  upload: string;
}

interface Answer {
  status: number;
  /** True where the caller takes the answer for complete. */
  isWhole: boolean;
}

function parseAnswer(text: string, { wasReset }: { wasReset: boolean }) {
  const [head = "", ...rest] = text.split("\r\n\r\n");
  const body = rest.join("\r\n\r\n");
  const length = /content-length: (\d+)/i.exec(head)?.[1];
  const isWhole = /transfer-encoding: chunked/i.test(head)
    ? body.endsWith("0\r\n\r\n")
    : length === undefined
    ? head !== "" && !wasReset
    : body.length >= Number(length);
  return { status: Number(head.split(" ")[1]), isWhole };
}

/** Sends a request on a connection of its own, and reads until that ends. */
function callRaw(
  { addresses }: Daemon,
  { method, httpVersion, path, upload }: Call,
): Promise<Answer> {
  const { hostname, port } = new URL(addresses.callers);
  const socket: Socket = connect({ host: hostname, port: Number(port) });
  let text = "";
  let wasReset = false;
  socket.on("data", (bytes) => text += bytes.toString("latin1"));
  socket.on("error", () => wasReset = true);
  socket.once("connect", () => watchReset(socket));
  socket.write(
    `${method} ${path} HTTP/${httpVersion}\r\nhost: a.example\r\n` +
      `connection: close\r\nauthorization: Bearer ${CALLER_KEYS.tavua}\r\n` +
      `content-length: ${upload.length}\r\n\r\n${upload}`,
  );
  return new Promise((resolve) =>
    socket.once("close", () => resolve(parseAnswer(text, { wasReset })))
  );
}

/** Calls that a caller makes, by what its answer is framed with. */
const CALLS_BY_NAME: Record<string, Omit<Call, "path">> = {
  "a call of HTTP/1.1": {
    method: "GET",
    httpVersion: "1.1",
    upload: "",
  },
  "a call of HTTP/1.0": {
    method: "GET",
    httpVersion: "1.0",
    upload: "",
  },
  "a small upload": {
    method: "POST",
    httpVersion: "1.1",
    upload: SMALL_UPLOAD,
  },
  "a long upload": {
    method: "POST",
    httpVersion: "1.1",
    upload: LONG_UPLOAD,
  },
  "a long upload of HTTP/1.0": {
    method: "POST",
    httpVersion: "1.0",
    upload: LONG_UPLOAD,
  },
};

// Guards against issue 60 (MIXED): a part of an answer was taken for whole where the reset was read together with it.
describe("answers of services that are reset as their bytes arrive", () => {
  for (const way of WAYS) {
    describe(way, () => {
      let system: System;
      let network: BreakableConnect;

      before(async () => {
        network = createBreakableConnect();
        system = await startTestSystem({
          lendingServers: 1,
          connectOf: (daemon) => daemon === 1 ? network.connect : undefined,
        });
        if (way === "direct") return;
        const servers = [...system.engines, ...system.lendingServers];
        network.cut(
          "silent",
          servers.map(({ address }) => address.replace("http://", "")),
        );
        await new Promise((resolve) => setTimeout(resolve, CUT_KNOWN_MS));
      });
      after(() => system.kill());

      for (const [framing, header] of Object.entries(FRAMINGS)) {
        for (const [name, call] of Object.entries(CALLS_BY_NAME)) {
          it(`reach the caller as broken off (${framing}, ${name})`, async () => {
            let answered = 0;
            const [lending] = system.lendingServers;
            lending!.faults.raw = {
              path: "/part",
              answer(socket) {
                answered += 1;
                socket.write(`HTTP/1.1 200 OK\r\n${header}\r\n\r\n${PART}`);
                resetAtOnce(socket);
              },
            };
            const path = "/services/lending/part";
            const answers = await Promise.all(
              Array.from(
                { length: CALLS },
                () => callRaw(system.daemons[0]!, { ...call, path }),
              ),
            );
            const taken = answers.filter(({ status, isWhole }) =>
              status === 200 && isWhole
            );
            expect(taken).to.deep.equal([]);
            expect(answered).to.be.above(0);
          });
        }
      }
    });
  }
});

/** Uploads that their caller does not complete, though what has arrived of them reads as a whole booking. */
const CUT_UPLOADS = {
  "with a length": `content-length: 500000\r\n\r\n{"item":"sling"}`,
  "with chunks": `transfer-encoding: chunked\r\n\r\n10\r\n{"item":"sling"}\r\n`,
  "with the last chunk begun":
    `transfer-encoding: chunked\r\n\r\n10\r\n{"item":"sling"}\r\n0\r\n`,
  "long, with a length": `content-length: 500000\r\n\r\n{"item":"sling"}` +
    " ".repeat(300_000),
  "long, with chunks": `transfer-encoding: chunked\r\n\r\n10\r\n` +
    `{"item":"sling"}\r\n40000\r\n${" ".repeat(0x40000)}\r\n`,
  "with an encoding that only the connection's end ends":
    `transfer-encoding: gzip\r\n\r\n{"item":"sling"}`,
};

describe("uploads that their caller breaks off", () => {
  let system: System;
  before(async () => {
    system = await startTestSystem({ daemons: 1, lendingServers: 1 });
  });
  after(() => system.kill());

  for (const [name, upload] of Object.entries(CUT_UPLOADS)) {
    for (const how of ["end", "reset"] as const) {
      for (const version of ["1.0", "1.1"]) {
        it(`are not run as whole ones (${name}, ${how}, HTTP/${version})`, async () => {
          const [daemon] = system.daemons;
          const { hostname, port } = new URL(daemon!.addresses.callers);
          for (let count = 0; count < CALLS; count += 1) {
            const socket = connect({ host: hostname, port: Number(port) });
            socket.on("error", () => undefined);
            await new Promise((resolve) => socket.once("connect", resolve));
            const isClosed = new Promise((resolve) =>
              socket.once("close", resolve)
            );
            socket.write(
              `POST /services/lending/bookings HTTP/${version}\r\n` +
                `host: a.example\r\ncontent-type: application/json\r\n` +
                `authorization: Bearer ${CALLER_KEYS.tavua}\r\n${upload}`,
            );
            if (how === "reset") resetAtOnce(socket);
            else {
              socket.resume();
              socket.end();
              await isClosed;
            }
          }
          expect((await chat(daemon!, "after")).status).to.equal(200);
          await waitUntil(() => daemon!.state.requests.size === 0);
          expect(system.bookings).to.deep.equal([]);
        });
      }
    }
  }
});
