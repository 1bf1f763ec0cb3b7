import { Writable } from "node:stream";
import { expect } from "chai";
import winston from "winston";
import { createLogger } from "./logger.ts";

const LIMITS = { linesPerSecond: 0.001, burst: 3, maxUnreadBytes: 100 };

function createSink() {
  const lines: Record<string, unknown>[] = [];
  const stream = new Writable({
    write(chunk, _encoding, done) {
      lines.push(JSON.parse(String(chunk)));
      done();
    },
  });
  return { lines, transport: new winston.transports.Stream({ stream }) };
}

describe("logger", () => {
  it("writes numbered events with the daemon's name", () => {
    const { lines, transport } = createSink();
    const logger = createLogger({
      level: "info",
      node: "a",
      transports: [transport],
      unreadBytes: () => 0,
    });
    logger.write("started", { zone: "z1" });
    expect(lines[0]).to.include({ event: "started", node: "a", zone: "z1" });
    expect(lines[0]).to.have.property("number");
  });

  it("reports the number of dropped lines after the next line that it writes", () => {
    const { lines, transport } = createSink();
    const logger = createLogger({
      level: "info",
      node: "a",
      limits: LIMITS,
      transports: [transport],
      unreadBytes: () => 0,
    });
    for (let line = 0; line < 10; line += 1) logger.write("request_sent");
    logger.write("runner_gone");
    expect(lines.map(({ event }) => event)).to.deep.equal([
      "request_sent",
      "request_sent",
      "request_sent",
      "runner_gone",
      "lines_left_out",
    ]);
    expect(lines.at(-1)).to.include({ count: 7, total: 7 });
    expect(logger.droppedLines()).to.equal(7);
  });

  it("writes nothing while the reader does not keep up, and resumes once it does", () => {
    const { lines, transport } = createSink();
    let unread = 101;
    const logger = createLogger({
      level: "info",
      node: "a",
      limits: LIMITS,
      transports: [transport],
      unreadBytes: () => unread,
    });
    logger.write("internal_error");
    expect(lines).to.have.length(0);
    unread = 0;
    logger.write("runner_gone");
    expect(lines.map(({ event }) => event)).to.deep.equal([
      "runner_gone",
      "lines_left_out",
    ]);
  });
});
