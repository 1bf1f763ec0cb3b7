import { expect } from "chai";
import fc from "fast-check";
import { createEventSplitter, type EventSplitter } from "./event_splitter.ts";

/** Events that the splitter has passed on. */
interface Received {
  text: string;
  /** Ids of events, without comments and empty lines. */
  ids: (string | undefined)[];
}

function receive(splitter: EventSplitter, pieces: Buffer[]): Received {
  const received: Received = { text: "", ids: [] };
  for (const piece of pieces) {
    const complete = splitter.push(piece);
    if (complete === undefined) continue;
    received.text += complete.bytes.toString("latin1");
    for (const { id, hasData } of complete.events) {
      if (id !== undefined || hasData) received.ids.push(id);
    }
    expect(complete.events.at(-1)!.end).to.equal(complete.bytes.length);
  }
  return received;
}

function split(text: string, positions: number[]): Buffer[] {
  const bytes = Buffer.from(text, "latin1");
  const bounds = positions.map((at) => at % (bytes.length + 1))
    .sort((left, right) => left - right);
  return [0, ...bounds].map((start, index) =>
    bytes.subarray(start, bounds[index] ?? bytes.length)
  );
}

const lineEnds = fc.constantFrom("\n", "\r\n");
/** Lines before an event's id, after it, and the id itself. */
const event = fc.record({
  id: fc.option(fc.nat({ max: 1_000 }), { nil: undefined }),
  version: fc.boolean(),
  lines: fc.array(
    fc.constantFrom("data: a", "data: id: 9", "data:", ": id: 8", "data: \xff"),
    { minLength: 1, maxLength: 3 },
  ),
});

/** A stream with the ends of its events and what each of them is. */
interface Stream {
  text: string;
  ends: number[];
  ids: (string | undefined)[];
}

const streams = fc.record({
  events: fc.array(event, { minLength: 1, maxLength: 5 }),
  lineEnd: lineEnds,
}).map(({ events, lineEnd }): Stream => {
  const stream: Stream = { text: "", ends: [], ids: [] };
  for (const { id, version, lines } of events) {
    const all = [
      ...version ? ["weights: 3"] : [],
      ...id === undefined ? [] : [`id: ${id}`],
      ...lines,
    ];
    stream.text += all.map((line) => line + lineEnd).join("") + lineEnd;
    stream.ends.push(stream.text.length);
    const isComment = id === undefined &&
      lines.every((line) => line[0] === ":");
    if (!isComment) stream.ids.push(id?.toString());
  }
  return stream;
});
const positions = fc.array(fc.nat(), { maxLength: 8 });

describe("event splitter", () => {
  it("returns the same events however they are split", () => {
    fc.assert(
      fc.property(streams, positions, ({ text, ids }, at) => {
        const splitter = createEventSplitter();
        expect(receive(splitter, split(text, at)))
          .to.deep.equal({ text, ids });
        expect(splitter.partialBytes()).to.equal(0);
      }),
      { seed: 7, numRuns: 2_000 },
    );
  });

  it("returns whole events only where a stream is cut at any byte", () => {
    fc.assert(
      fc.property(streams, positions, ({ text, ends }, at) => {
        for (let end = 0; end <= text.length; end += 1) {
          const splitter = createEventSplitter();
          const received = receive(splitter, split(text.slice(0, end), at));
          const whole = ends.findLast((each) => each <= end) ?? 0;
          expect(received.text).to.equal(text.slice(0, whole));
          expect(splitter.partialBytes()).to.equal(end - whole);
        }
      }),
      { seed: 7, numRuns: 200 },
    );
  });

  it("holds an event whose last line feed is missing", () => {
    const splitter = createEventSplitter();
    const text = "id: 1\r\ndata: a\r\n\r";
    expect(receive(splitter, [Buffer.from(text)]).ids).to.deep.equal([]);
    expect(splitter.partialBytes()).to.equal(text.length);
  });

  // Guards against a whole stream that counts as cut where an additional empty line arrives by itself.
  it("takes additional empty lines for whole wherever they are split", () => {
    for (const pieces of [["data: a\n\n\n"], ["data: a\n\n", "\n"]]) {
      const splitter = createEventSplitter();
      const buffers = pieces.map((piece) => Buffer.from(piece));
      expect(receive(splitter, buffers).text).to.equal("data: a\n\n\n");
      expect(splitter.partialBytes()).to.equal(0);
    }
  });

  it("takes a carriage return for the end of a line, as callers do", () => {
    const splitter = createEventSplitter();
    const text = "id: 1\ndata: a\rid: 2\n\n";
    expect(receive(splitter, [Buffer.from(text)]).ids).to.deep.equal(["2"]);
  });

  it("takes an event's last id, and none from an empty one", () => {
    const splitter = createEventSplitter();
    const text = "id: 1\nid: 2\ndata: id: 3\n\nid:\ndata: b\n\n";
    expect(receive(splitter, [Buffer.from(text)]).ids)
      .to.deep.equal(["2", undefined]);
  });
});
