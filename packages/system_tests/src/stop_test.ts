import { responseText, type System, waitUntil } from "@primroseshed/stand_ins";
import { expect } from "chai";
import { chat, enginePrompt, parseStream } from "./client.ts";
import { createMemoryLogger, startTestSystem } from "./fixture.ts";

const PROMPT = "How deep is the first flood?";

describe("graceful stop", () => {
  let system: System;
  const logger = createMemoryLogger();
  beforeEach(async () => {
    logger.events.length = 0;
    system = await startTestSystem({ stepMs: 10, logger });
  });
  afterEach(() => system.kill());

  const hasEngineRequest = () =>
    system.engines.some(({ received }) => received.length > 0);

  it("stops being ready, completes the requests in flight and exits without cutting any off", async () => {
    const daemon = system.daemons[0]!;
    const pending = chat(daemon, PROMPT, { stream: true }).then((response) =>
      response.text()
    );
    await waitUntil(hasEngineRequest);
    daemon.stop();
    const readiness = await fetch(`${daemon.addresses.operators}/readyz`);
    expect(readiness.status).to.equal(503);
    const content = parseStream(await pending);
    expect(content.text).to.equal(responseText(enginePrompt(PROMPT), 4_096));
    expect(content.done).to.equal(true);
    expect(await daemon.stopped).to.equal(0);
  });

  it("stops sooner on the second signal and logs how many requests it cut off", async () => {
    const daemon = system.daemons[0]!;
    const pending = chat(daemon, PROMPT, { stream: true }).then((response) =>
      response.text()
    ).catch(() => "cut");
    await waitUntil(hasEngineRequest);
    daemon.stop();
    daemon.stop();
    expect(await daemon.stopped).to.equal(1);
    await pending;
    const hurriedEvent = logger.events.find(({ event }) =>
      event === "stop_hurried"
    );
    expect(hurriedEvent?.fields.cut).to.equal(1);
  });

  it("drains a model group when the platform lists one of its VMs as leaving, and keeps serving", async () => {
    const { state } = system.daemons[0]!;
    const target = [...state.targets.values()].find(({ epoch }) =>
      epoch !== undefined
    )!;
    const vm = target.members[1]!.member.vm;
    system.vms.vms.get(vm)!.state = "leaving";
    await waitUntil(() =>
      target.phase === "draining" || target.phase === "gone"
    );
    const head = system.engines.find((engine) =>
      engine.vm === target.members[0]!.member.vm
    )!;
    const receivedBefore = head.received.length;
    for (let count = 0; count < 5; count++) {
      expect((await chat(system.daemons[0]!, `${count}`)).status).to.equal(200);
    }
    expect(head.received.length).to.equal(receivedBefore);
  });
});
