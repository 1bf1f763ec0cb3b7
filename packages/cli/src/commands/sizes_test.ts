import { expect } from "chai";
import { type LogLine, parseLine } from "./explain.ts";
import { countBySize } from "./sizes.ts";

function createEnd(
  maxOutputTokens: number,
  fields: Record<string, unknown> = { verdict: "ran" },
): LogLine {
  const event = "request_ended";
  const text = JSON.stringify({
    event,
    route: "r1",
    model: "large",
    promptTokens: 100,
    maxOutputTokens,
    ...fields,
  });
  return parseLine(text, 0)!;
}

describe("sizes", () => {
  it("tells the largest requests of a route from the others, so that a route that serves only small ones shows", () => {
    const cut = {
      verdict: "may_have_run",
      code: "deadline_passed",
      stage: "answering",
    };
    const lines = Array.from(
      { length: 20 },
      (_, index) => createEnd(index, index >= 18 ? cut : undefined),
    );
    const counts = countBySize(lines);
    expect(counts.map(({ band, requests, servedShare }) => ({
      band,
      requests,
      servedShare,
    }))).to.deep.equal([
      { band: "largest_tenth", requests: 2, servedShare: 0 },
      { band: "next_fifth", requests: 4, servedShare: 1 },
      { band: "rest", requests: 14, servedShare: 1 },
    ]);
    expect(counts[0]!.unserved).to.deep.equal({
      "deadline_passed answering": 2,
    });
  });

  it("counts requests that were refused on arrival, and leaves out those to plain services", () => {
    const refused = {
      event: "request_refused",
      verdict: "not_run",
      code: "no_capacity",
    };
    const plain = { route: "r2", promptTokens: undefined, verdict: "ran" };
    const counts = countBySize([createEnd(1, refused), createEnd(1, plain)]);
    expect(counts).to.have.length(1);
    expect(counts[0]).to.include({ route: "r1", requests: 1, servedShare: 0 });
    expect(counts[0]!.unserved).to.deep.equal({ "no_capacity arrival": 1 });
  });

  // Guards against ends at the deadline that seem to be callers who lost interest (issue 66).
  it("tells callers that leave at their deadline from those that leave before", () => {
    const gone = { code: "caller_gone", stage: "answering" };
    const lines = [
      createEnd(1, { ...gone, remainingMs: 1 }),
      createEnd(1, { ...gone, remainingMs: 3_000 }),
    ];
    const unserved = countBySize(lines).map((count) => count.unserved);
    expect(Object.assign({}, ...unserved)).to.deep.equal({
      "deadline_passed answering": 1,
      "caller_gone answering": 1,
    });
  });
});
