import { expect } from "chai";
import { once } from "node:events";
import { connect, createServer, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { patientSignal, startPatientTimer } from "./patient_timer.ts";

/** Keeps the thread busy. */
function occupy(ms: number): void {
  const end = performance.now() + ms;
  while (performance.now() < end);
}

describe("patient timers", () => {
  let received: Socket;
  let sent: Socket;
  beforeEach(async () => {
    const server = createServer().listen(0, "127.0.0.1");
    await once(server, "listening");
    const { port } = server.address() as { port: number };
    sent = connect(port, "127.0.0.1");
    [received] = await once(server, "connection") as [Socket];
    server.close();
  });
  afterEach(() => {
    sent.destroy();
    received.destroy();
  });

  it("let an answer be read that arrived in time, where the event loop was late", async () => {
    const log: string[] = [];
    const timer = startPatientTimer(50, () => log.push("timeout"));
    const signal = patientSignal(50);
    signal.addEventListener("abort", () => log.push("abort"));
    received.once("data", () => {
      timer.clear();
      log.push("answer");
    });
    sent.write("answer");
    occupy(200);
    await sleep(20);
    expect(log).to.deep.equal(["answer", "abort"]);
  });

  it("fire where nothing arrives", async () => {
    const log: string[] = [];
    startPatientTimer(10, () => log.push("timeout"));
    await sleep(50);
    expect(log).to.deep.equal(["timeout"]);
    expect(patientSignal(0).aborted).to.equal(false);
  });
});
