import {
  responseLength,
  responseText,
  type StreamFault,
  type System,
  waitUntil,
} from "@primroseshed/stand_ins";
import { expect } from "chai";
import { startTestSystem } from "./fixture.ts";
import {
  chat,
  createHeaders,
  enginePrompt,
  type ErrorBody,
  parseStream,
} from "./client.ts";

const PROMPT = "How do I wrap a newborn?";
const EXPECTED_TEXT = responseText(enginePrompt(PROMPT), 4_096);

interface ChatResponse {
  choices: { message: { content: string } }[];
  usage: {
    prompt_tokens: number;
    completion_tokens: number;
    total_tokens: number;
  };
}

describe("chat completions", () => {
  let system: System;
  beforeEach(async () =>
    system = await startTestSystem({ policy: { stallMs: 300 } })
  );
  afterEach(() => system.kill());

  const servingEngines = () =>
    system.engines.filter(({ status }) => status.state === "ready");
  const receivingEngines = () =>
    system.engines.filter(({ received }) => received.length > 0);

  it("streams the whole response with its usage and the final [DONE] event", async () => {
    const response = await chat(system.daemons[0]!, PROMPT, { stream: true });
    const { text, done, usage } = parseStream(await response.text());
    expect(text).to.equal(EXPECTED_TEXT);
    expect(done).to.equal(true);
    expect(usage?.completion_tokens).to.equal(
      responseLength(enginePrompt(PROMPT), 4_096),
    );
  });

  it("sends usage in a separate chunk when the request asks for it", async () => {
    const response = await chat(system.daemons[0]!, PROMPT, {
      stream: true,
      stream_options: { include_usage: true },
    });
    const chunks = (await response.text()).split("\n").filter((line) =>
      line.startsWith("data: {")
    );
    const last = JSON.parse(chunks.at(-1)!.slice(6));
    expect(last.choices).to.deep.equal([]);
    expect(last.usage.completion_tokens).to.equal(
      responseLength(enginePrompt(PROMPT), 4_096),
    );
  });

  it("returns usage and a verdict with a response that is not streamed", async () => {
    const response = await chat(system.daemons[1]!, PROMPT);
    const body = await response.json() as ChatResponse;
    expect(response.headers.get("primrose-verdict")).to.equal("ran");
    expect(body.choices[0]!.message.content).to.equal(EXPECTED_TEXT);
    expect(body.usage.total_tokens).to.equal(
      body.usage.prompt_tokens + body.usage.completion_tokens,
    );
  });

  it("lists only the models that are declared for the caller", async () => {
    const response = await fetch(
      `${system.daemons[0]!.addresses.callers}/v1/models`,
      { headers: createHeaders() },
    );
    expect(
      (await response.json() as { data: { id: string }[] }).data.map(({ id }) =>
        id
      ),
    ).to
      .deep.equal(["assistant"]);
  });

  it("resumes an interrupted stream on another group without gaps or repeated text", async () => {
    for (const engine of servingEngines()) engine.faults.cutAfterTokens = 5;
    const response = await chat(system.daemons[0]!, PROMPT, { stream: true });
    const content = parseStream(await response.text());
    const resumed = system.engines.flatMap(({ received }) => received).filter((
      { resumeFrom },
    ) => resumeFrom > 0);
    expect(resumed.length).to.be.greaterThan(0);
    expect(EXPECTED_TEXT.startsWith(content.text)).to.equal(true);
    expect(content.done || content.error !== undefined).to.equal(true);
  });

  // Guards against pieces of two runs in one answer, where an engine does not go on at the token that it is told (ORDER).
  it("delivers nothing of a resumed run that begins at its first token", async () => {
    for (const engine of system.engines) {
      engine.faults.cutAfterTokens = 5;
      engine.faults.ignoresResume = true;
    }
    const response = await chat(system.daemons[0]!, PROMPT, { stream: true });
    const { text, done, error } = parseStream(await response.text());
    const resumed = system.engines.flatMap(({ received }) => received).filter((
      { resumeFrom },
    ) => resumeFrom > 0);
    expect(resumed.length).to.be.greaterThan(0);
    expect(text).to.equal(responseText(enginePrompt(PROMPT), 5));
    expect(done).to.equal(false);
    expect(error).to.include({ code: "stream_lost" });
  });

  it("moves a stream to another group as soon as a member of its group is gone", async () => {
    for (const engine of system.engines) engine.faults.slowMs = 0;
    const pending = chat(system.daemons[0]!, PROMPT, { stream: true }).then((
      response,
    ) => response.text());
    await waitUntil(() => receivingEngines().length === 1);
    const head = receivingEngines()[0]!;
    head.faults.paused = true;
    const content = parseStream(await pending);
    expect(content.text).to.equal(EXPECTED_TEXT);
    expect(content.done).to.equal(true);
    expect(receivingEngines().length).to.equal(2);
    head.faults.paused = false;
  });

  it("sends no requests to a group while one of its members is missing", async () => {
    const group = [...system.daemons[0]!.state.targets.values()].find((
      { epoch },
    ) => epoch !== undefined)!;
    const secondMember = system.engines.find(({ vm }) =>
      vm === group.members[1]!.member.vm
    )!;
    const head = system.engines.find(({ vm }) =>
      vm === group.members[0]!.member.vm
    )!;
    await secondMember.close();
    await waitUntil(() => group.phase !== "serving");
    const receivedBefore = head.received.length;
    for (let count = 0; count < 10; count++) {
      await chat(system.daemons[0]!, `${PROMPT} ${count}`);
    }
    expect(head.received.length).to.equal(receivedBefore);
  });

  it("cancels the request at the engine when the caller disconnects", async () => {
    const abort = new AbortController();
    const request = fetch(
      `${system.daemons[0]!.addresses.callers}/v1/chat/completions`,
      {
        method: "POST",
        headers: createHeaders(),
        body: JSON.stringify({
          model: "assistant",
          stream: true,
          messages: [{ role: "user", content: PROMPT }],
        }),
        signal: abort.signal,
      },
    );
    await waitUntil(() => receivingEngines().length === 1);
    abort.abort();
    await request.then((response) => response.text()).catch(() => undefined);
    await waitUntil(() => receivingEngines()[0]!.cancelled.length === 1);
    await waitUntil(() => system.daemons[0]!.state.requests.size === 0);
  });

  const STREAM_FAULTS: { kind: StreamFault["kind"]; resumes: boolean }[] = [
    { kind: "broken_json", resumes: true },
    { kind: "foreign_id", resumes: true },
    { kind: "gap", resumes: true },
    { kind: "duplicate", resumes: false },
  ];
  for (const { kind, resumes } of STREAM_FAULTS) {
    it(`streams the correct response when an engine has the fault ${kind}`, async () => {
      const [target] = [...system.daemons[0]!.state.targets.values()].filter((
        { epoch },
      ) => epoch !== undefined);
      const head = system.engines.find(({ vm }) =>
        vm === target!.members[0]!.member.vm
      )!;
      head.faults.streamFault = { kind, atToken: 3 };
      for (let count = 0; count < 8; count++) {
        const prompt = `${PROMPT} ${count}`;
        const content = parseStream(
          await (await chat(system.daemons[0]!, prompt, { stream: true }))
            .text(),
        );
        expect(content.text).to.equal(
          responseText(enginePrompt(prompt), 4_096),
        );
        expect(content.done).to.equal(true);
      }
      expect(head.received.length).to.be.greaterThan(0);
      const otherRequests = system.engines.filter((engine) => engine !== head)
        .flatMap(({ received }) => received);
      expect(otherRequests.some(({ resumeFrom }) => resumeFrom > 0)).to.equal(
        resumes,
      );
    });
  }

  it("ends a stream that no group can finish with an error and its verdict", async () => {
    for (const engine of system.engines) engine.faults.cutAfterTokens = 1;
    const content = parseStream(
      await (await chat(system.daemons[0]!, PROMPT, { stream: true })).text(),
    );
    expect(content.done).to.equal(false);
    expect(content.error).to.include({
      code: "stream_lost",
      verdict: "may_have_run",
    });
    expect(EXPECTED_TEXT.startsWith(content.text)).to.equal(true);
  });

  it("returns the verdict not_run when every engine refuses the request", async () => {
    for (const engine of system.engines) engine.faults.refusesRequests = true;
    const response = await chat(system.daemons[0]!, PROMPT);
    const { error } = await response.json() as ErrorBody;
    expect(error.verdict).to.equal("not_run");
    expect(response.headers.get("primrose-verdict")).to.equal("not_run");
    expect(system.engines.flatMap(({ received }) => received)).to.deep.equal(
      [],
    );
  });

  it("refuses requests at once with a Retry-After header while no group is serving", async () => {
    const { state } = system.daemons[0]!;
    await Promise.all(system.engines.map((engine) => engine.close()));
    const pool = state.pools.get("assistant")!;
    await waitUntil(() =>
      pool.servingTargets.names.length === 0 &&
      state.now - pool.lastServingAt > 1_000
    );
    const response = await chat(system.daemons[0]!, PROMPT);
    const { error } = await response.json() as ErrorBody;
    expect(response.status).to.equal(503);
    expect(error).to.include({ code: "no_capacity", verdict: "not_run" });
    expect(Number(response.headers.get("retry-after"))).to.be.at.least(1);
  });
});
