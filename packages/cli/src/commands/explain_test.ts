import { expect } from "chai";
import { CommandError } from "../exit_codes.ts";
import { explain, explainRequest, type LogLine, parseLine } from "./explain.ts";

const START = Date.parse("2026-04-07T01:21:10.000Z");

function createLine(
  seconds: number,
  event: string,
  fields: Record<string, unknown> = {},
): string {
  const timestamp = new Date(START + seconds * 1_000).toISOString();
  return `${seconds} vm-1 ${
    JSON.stringify({ event, node: "vm-1", timestamp, ...fields })
  }`;
}

const LOG_LINES = [
  createLine(9, "runner_silent", { runner: "i-1", misses: 2 }),
  createLine(10, "request_sent", { request: "abc#7", runner: "i-1", try: 1 }),
  createLine(10.1, "request_sent", {
    request: "other#8",
    runner: "i-1",
    try: 1,
  }),
  createLine(11, "attempt_failed", {
    request: "abc#7",
    runner: "i-1",
    outcome: "body_cut_off",
  }),
  createLine(11.2, "group_planned", { group: "g1", members: "i-3 i-1" }),
  createLine(11.5, "request_ended", {
    request: "abc#7",
    verdict: "may_have_run",
    code: "backend_failed",
    tries: 1,
    tookMs: 1500,
  }),
  createLine(30, "runner_gone", { runner: "i-1" }),
];

function parseAll(texts: readonly string[]): LogLine[] {
  return texts.flatMap((text, index) => parseLine(text, index) ?? []);
}

async function* stream(texts: readonly string[]) {
  yield* texts;
}

describe("explain", () => {
  it("parses lines after any prefix and ignores text that is not a log line", () => {
    const lines = parseAll(["", "plain text", "{broken", LOG_LINES[0]!]);
    expect(lines.map(({ event }) => event)).to.deep.equal(["runner_silent"]);
  });

  it("orders a request's lines by time, regardless of the order of the input", () => {
    const { own } = explainRequest(parseAll(LOG_LINES.toReversed()), "abc");
    expect(own.map(({ event }) => event)).to.deep.equal([
      "request_sent",
      "attempt_failed",
      "request_ended",
    ]);
  });

  it("adds lines from the same time about its runners, and none of other requests", () => {
    const { around } = explainRequest(parseAll(LOG_LINES), "abc");
    expect(around.map(({ event }) => event)).to.deep.equal([
      "runner_silent",
      "group_planned",
    ]);
  });

  it("concludes with the outcome and the failed attempts", () => {
    const { conclusions } = explainRequest(parseAll(LOG_LINES), "abc#7");
    expect(conclusions).to.deep.equal([
      "abc#7 at vm-1 ended with backend_failed (may_have_run) after 1 attempts and 1500 ms; failed at i-1: body_cut_off",
    ]);
  });

  it("includes the age of the configuration if a request was refused on arrival", () => {
    const refused = createLine(1, "request_refused", {
      request: "abc#1",
      code: "not_ready",
      configAge: 4_300,
    });
    const { conclusions } = explainRequest(parseAll([refused]), "abc");
    expect(conclusions[0]).to.contain("refused on arrival: not_ready")
      .and.contain("4300 ms before");
  });

  it("does not match a longer id that begins with the given one", () => {
    const { own } = explainRequest(parseAll(LOG_LINES), "ab");
    expect(own).to.deep.equal([]);
  });

  it("fails if no line belongs to the request", async () => {
    const output = { json: false, write: () => undefined };
    const error = await explain(stream(LOG_LINES), output, { id: "missing" })
      .then(
        () => undefined,
        (thrown: unknown) => thrown,
      );
    expect(error).to.be.instanceOf(CommandError);
    expect((error as CommandError).message).to.contain("7 log lines");
  });
});
