import {
  type AddressInfo,
  createServer,
  type Server,
  type Socket,
} from "node:net";
import { type Outcome, verdictOf } from "@primroseshed/core";
import { createAgents, startAttempt } from "@primroseshed/daemon";
import { expect } from "chai";

const PARTIAL_RESPONSE = "HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nhalf";

interface Row {
  name: string;
  outcome: Outcome | "ended";
  verdict: string;
  scheme?: "http" | "https";
  /** Handles a connection as the backend server; absent for a closed port. */
  serve?: (socket: Socket) => void;
  headersTimeout?: number;
}

const ROWS: Row[] = [
  { name: "refused connect", outcome: "connect_refused", verdict: "not_run" },
  {
    name: "silent TLS peer",
    outcome: "connect_timeout",
    verdict: "not_run",
    scheme: "https",
    serve: () => undefined,
  },
  {
    name: "peer that does not speak TLS",
    outcome: "tls_failed",
    verdict: "not_run",
    scheme: "https",
    serve: (socket) =>
      socket.once(
        "data",
        () => socket.write("HTTP/1.1 400 Bad Request\r\n\r\n"),
      ),
  },
  {
    name: "reset during the TLS handshake",
    outcome: "reset_before_send",
    verdict: "not_run",
    scheme: "https",
    serve: (socket) => socket.resetAndDestroy(),
  },
  {
    name: "reset after the request was sent",
    outcome: "reset_after_send",
    verdict: "may_have_run",
    serve: (socket) => socket.once("data", () => socket.resetAndDestroy()),
  },
  {
    name: "no response in time",
    outcome: "response_timeout",
    verdict: "may_have_run",
    serve: (socket) => socket.resume(),
    headersTimeout: 100,
  },
  {
    name: "body cut short",
    outcome: "body_cut_off",
    verdict: "may_have_run",
    serve: (socket) => socket.once("data", () => socket.end(PARTIAL_RESPONSE)),
  },
  {
    name: "response without a length that is reset",
    outcome: "body_cut_off",
    verdict: "may_have_run",
    serve: (socket) =>
      socket.once("data", () => {
        socket.write("HTTP/1.1 200 OK\r\nconnection: close\r\n\r\npart");
        setTimeout(() => socket.resetAndDestroy(), 50);
      }),
  },
  {
    name: "chunked response with connection: close that ends within a chunk",
    outcome: "body_cut_off",
    verdict: "may_have_run",
    serve: (socket) =>
      socket.once("data", () =>
        socket.end(
          "HTTP/1.1 200 OK\r\nconnection: close\r\n" +
            "transfer-encoding: chunked\r\n\r\n4\r\npart\r\n9\r\nhalf",
        )),
  },
  {
    name: "response without a length that ends with its connection",
    outcome: "ended",
    verdict: "ran",
    serve: (socket) =>
      socket.once(
        "data",
        () => socket.end("HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nall"),
      ),
  },
  {
    name: "complete response",
    outcome: "ended",
    verdict: "ran",
    serve: (socket) =>
      socket.once(
        "data",
        () => socket.write("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"),
      ),
  },
];

function listen(
  serve: Row["serve"],
): Promise<{ port: number; server: Server }> {
  const server = createServer((socket) => {
    socket.on("error", () => undefined);
    serve?.(socket);
  });
  return new Promise((resolve) => {
    server.listen(
      0,
      "127.0.0.1",
      () =>
        resolve({ port: (server.address() as { port: number }).port, server }),
    );
  });
}

function runAttempt(
  { scheme = "http", headersTimeout = 5_000 }: Row,
  port: number,
): Promise<Outcome | "ended"> {
  const agents = createAgents({ connectTimeoutMs: 300 });
  return new Promise((resolve) => {
    startAttempt(agents.fresh, {
      origin: `${scheme}://127.0.0.1:${port}`,
      path: "/bookings",
      method: "POST",
      body: "{}",
      headersTimeout,
    }, {
      events: {
        onHeaders: () => undefined,
        onData: () => undefined,
        onEnd: () => resolve("ended"),
        onFailure: resolve,
      },
    });
  });
}

describe("attempt outcomes on real sockets", () => {
  for (const row of ROWS) {
    it(`maps ${row.name} to ${row.outcome} with verdict ${row.verdict}`, async () => {
      const { port, server } = await listen(row.serve);
      if (row.serve === undefined) {
        await new Promise((resolve) => server.close(resolve));
      }
      const outcome = await runAttempt(row, port);
      server.close();
      expect(outcome).to.equal(row.outcome);
      expect(outcome === "ended" ? "ran" : verdictOf(outcome)).to.equal(
        row.verdict,
      );
    });
  }

  it("gives up a connection attempt when its time is over, not up to a second later", async () => {
    const { port, server } = await listen(() => undefined);
    const row = ROWS.find(({ name }) => name === "silent TLS peer")!;
    for (let attempt = 0; attempt < 4; attempt += 1) {
      const startedAt = Date.now();
      expect(await runAttempt(row, port)).to.equal("connect_timeout");
      expect(Date.now() - startedAt).to.be.within(290, 450);
    }
    server.close();
  });

  it("sends nothing where it is cancelled before its connection is made", async () => {
    let received = 0;
    const server = createServer((socket) => {
      socket.on("data", (bytes) => received += bytes.length);
      socket.on("error", () => undefined);
    });
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", resolve)
    );
    const { port } = server.address() as AddressInfo;
    const agents = createAgents({ connectTimeoutMs: 300 });
    let sends = 0;
    const attempt = startAttempt(agents.fresh, {
      origin: `http://127.0.0.1:${port}`,
      path: "/book/1",
      method: "POST",
      body: Buffer.from("x"),
    }, {
      events: {
        onSend: () => sends += 1,
        onHeaders: () => undefined,
        onData: () => undefined,
        onEnd: () => undefined,
        onFailure: () => undefined,
      },
    });
    attempt.cancel();
    await new Promise((resolve) => setTimeout(resolve, 200));
    expect({ sends, received }).to.deep.equal({ sends: 0, received: 0 });
    server.close();
  });
});
