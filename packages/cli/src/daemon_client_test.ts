import { type AddressInfo, createServer, type Server } from "node:net";
import { expect } from "chai";
import { callAll, type CallResult } from "./daemon_client.ts";

const HEAD = "HTTP/1.1 200 OK\r\n";
const WHOLE = `${HEAD}content-length: 14\r\n\r\n{"ready":true}`;
const CUT_ANSWERS = [
  `${HEAD}connection: close\r\n\r\n{"ready":true}`,
  `${HEAD}content-length: 100\r\n\r\n{"ready"`,
  `${HEAD}transfer-encoding: chunked\r\n\r\n8\r\n{"ready"\r\n`,
];

function describeResult(result: CallResult<unknown>): unknown {
  return result.ok ? result.value : result.error.reason;
}

describe("calls to several daemons", () => {
  const servers: Server[] = [];
  afterEach(() => {
    for (const server of servers.splice(0)) server.close();
  });

  async function startDaemon(
    answer: string,
    { isReset }: { isReset: boolean },
  ): Promise<string> {
    const server = createServer((socket) => {
      socket.on("error", () => undefined);
      socket.once("data", () => {
        socket.write(answer);
        if (isReset) socket.resetAndDestroy();
      });
    });
    servers.push(server);
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", resolve)
    );
    const { port } = server.address() as AddressInfo;
    return `http://127.0.0.1:${port}`;
  }

  async function callBoth(answer: string): Promise<unknown[]> {
    const daemons = [
      await startDaemon(answer, { isReset: true }),
      await startDaemon(WHOLE, { isReset: false }),
    ];
    const results = await callAll({ daemons, key: "k" }, "/status");
    return results.map(describeResult);
  }

  // Guards against an answer that is cut inside its body: it failed the whole command in place of one daemon's call.
  it("return the other answers where a daemon's is cut", async () => {
    for (const answer of CUT_ANSWERS) {
      expect(await callBoth(answer)).to.deep
        .equal(["unreachable", { ready: true }]);
    }
  });

  it("return the other answers where a daemon's is no JSON", async () => {
    const answer = `${HEAD}content-length: 2\r\n\r\nno`;
    expect(await callBoth(answer)).to.deep.equal(["failed", { ready: true }]);
  });
});
