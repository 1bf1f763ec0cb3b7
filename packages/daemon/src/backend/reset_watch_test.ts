import { connect, createServer, type Server, type Socket } from "node:net";
import { expect } from "chai";
import { RESET_CODE, watchReset } from "./reset_watch.ts";

const ROUNDS = 50;
/** Time for which the event loop is busy while bytes and the end of the connection arrive, ms. */
const BUSY_MS = 5;

const UPLOAD_BYTES = 1_000_000;

function keepBusy(): void {
  const end = performance.now() + BUSY_MS;
  while (performance.now() < end);
}

describe("watched sockets", () => {
  let server: Server;
  let finish: (socket: Socket) => void;

  beforeEach(async () => {
    server = createServer((socket) => {
      socket.on("error", () => undefined);
      socket.once("data", () => {
        socket.write("bytes");
        finish(socket);
        keepBusy();
      });
    });
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", resolve)
    );
  });
  afterEach(() => server.close());

  /** Returns what a socket reports once it has read all bytes: "end", or the code of its error. */
  function readEnd({ isUploading }: { isUploading: boolean }): Promise<string> {
    const { port } = server.address() as { port: number };
    return new Promise((resolve) => {
      const socket = connect({ port, host: "127.0.0.1" }, () => {
        watchReset(socket);
        socket.write(Buffer.alloc(isUploading ? UPLOAD_BYTES : 1));
      });
      socket.on("data", () => undefined);
      socket.on("end", () => resolve("end"));
      socket.on("error", ({ code }: NodeJS.ErrnoException) => resolve(code!));
    });
  }

  for (const isUploading of [false, true]) {
    const when = isUploading ? "while they write" : "while they only read";
    // Guards against issue 60: the runtime reports an end where bytes and a reset are read in one turn.
    it(`report a reset that arrives with bytes ${when}`, async () => {
      finish = (socket) => socket.resetAndDestroy();
      for (let round = 0; round < ROUNDS; round += 1) {
        expect(await readEnd({ isUploading })).to.equal(RESET_CODE);
      }
    });

    it(`report an orderly end as an end ${when}`, async () => {
      finish = (socket) => socket.end();
      for (let round = 0; round < ROUNDS; round += 1) {
        expect(await readEnd({ isUploading })).to.equal("end");
      }
    });
  }
});
