import { expect } from "chai";
import type { KeyedRead, KeyedTopic } from "./adapters.ts";
import {
  confirmedAtOf,
  subscribeToTopic,
  type TopicUpdate,
} from "./topic_subscription.ts";

const at = (offset: number, timeline = 1) => ({ timeline, offset });

/** Creates a topic whose reads return the given results in order, then no records. */
function createTopic(reads: KeyedRead<string>[]) {
  const calls: string[] = [];
  const waits: number[] = [];
  const topic: KeyedTopic<string> = {
    readAll() {
      calls.push("all");
      return Promise.resolve({
        records: [{ key: "a", value: "1" }],
        next: at(3),
      });
    },
    readFrom(position, { waitMs }) {
      calls.push(`from ${position.offset}`);
      waits.push(waitMs);
      const read = reads.shift();
      return Promise.resolve(
        read ?? { kind: "records", records: [], next: position },
      );
    },
  };
  return { topic, calls, waits };
}

async function collectUpdates(
  topic: KeyedTopic<string>,
  ms: number,
  { isConfirmed = () => true, lateMs = () => 0, batchDelayMs = () => 0 }: {
    isConfirmed?: () => boolean;
    lateMs?: () => number;
    batchDelayMs?: () => number;
  } = {},
) {
  const updates: TopicUpdate<string>[] = [];
  const subscription = subscribeToTopic({
    name: "t",
    topic,
    waitMs: 1_000,
    isConfirmed,
    lateMs,
    batchDelayMs,
    onUpdate: (update) => updates.push(update),
    log: () => undefined,
  });
  await new Promise((resolve) => setTimeout(resolve, ms));
  subscription.stop();
  return updates;
}

describe("subscription to a topic", () => {
  it("reads the whole topic once, then only changes", async () => {
    const records = [{ key: "b", value: "2" }];
    const { topic, calls } = createTopic([{
      kind: "records",
      records,
      next: at(4),
    }]);
    const updates = await collectUpdates(topic, 50);
    expect(calls.slice(0, 3)).to.deep.equal(["all", "from 3", "from 4"]);
    expect(updates.slice(0, 2).map(({ isWhole }) => isWhole)).to.deep.equal([
      true,
      false,
    ]);
  });

  // Guards against a late daemon that takes its own delay for a wait of the store, and its data for fresher than it is.
  it("confirms no more than the store has waited where the event loop was late", async () => {
    const { topic } = createTopic([]);
    const readFrom = topic.readFrom.bind(topic);
    let count = 0;
    topic.readFrom = async (...read) => {
      count += 1;
      if (count > 1) return await new Promise(() => undefined);
      const answer = await readFrom(...read);
      const end = performance.now() + 1_100;
      while (performance.now() < end);
      return answer;
    };
    const startedAt = performance.now();
    const [, update] = await collectUpdates(topic, 1_500, {
      lateMs: () => 1_100,
    });
    expect(update!.confirmedAt - startedAt).to.be.below(100);
  });

  it("reads the whole topic again when records are gone", async () => {
    const { topic, calls } = createTopic([{ kind: "trimmed" }]);
    await collectUpdates(topic, 50);
    expect(calls.slice(0, 3)).to.deep.equal(["all", "from 3", "all"]);
  });

  it("reads the whole topic again when the store was restored from a copy", async () => {
    const { topic, calls } = createTopic([{ kind: "restored", timeline: 2 }]);
    await collectUpdates(topic, 50);
    expect(calls.slice(0, 3)).to.deep.equal(["all", "from 3", "all"]);
  });

  it("waits for changes only while its records are confirmed", async () => {
    let isConfirmed = false;
    const { topic, waits } = createTopic([]);
    await collectUpdates(topic, 150, {
      isConfirmed: () => {
        isConfirmed = !isConfirmed;
        return !isConfirmed;
      },
    });
    expect(waits.slice(0, 2)).to.deep.equal([0, 1_000]);
  });

  it("reads without waiting after a failure", async () => {
    const { topic, waits } = createTopic([]);
    const { readFrom } = topic;
    let isDown = true;
    topic.readFrom = (offset, options) => {
      const read = readFrom(offset, options);
      if (!isDown) return read;
      isDown = false;
      return Promise.reject(new Error("no response"));
    };
    await collectUpdates(topic, 250);
    expect(waits.slice(0, 2)).to.deep.equal([1_000, 0]);
  });

  // Guards against review case 8: a read on a connection that had fallen silent was given up only after 3.3 s.
  it("gives up an answer that is late, and allows more time after each failure", async () => {
    const limits: number[] = [];
    const { topic } = createTopic([]);
    topic.readFrom = (_position, { answerMs }) => {
      limits.push(answerMs);
      return Promise.reject(new Error("no response"));
    };
    await collectUpdates(topic, 500);
    expect(limits.slice(0, 3)).to.deep.equal([300, 600, 1_200]);
  });

  // Guards against data that grows old by a whole wait and a whole batching pause, so that followers leave.
  it("batches changes for no longer than is left of the wait", async () => {
    const { topic } = createTopic([]);
    const startedAt = performance.now();
    const sentAt: number[] = [];
    topic.readFrom = async (position) => {
      sentAt.push(performance.now() - startedAt);
      await new Promise((resolve) => setTimeout(resolve, 900));
      const records = [{ key: "b", value: "2" }];
      return { kind: "records", records, next: position };
    };
    await collectUpdates(topic, 1_500, { batchDelayMs: () => 800 });
    expect(sentAt[1]! - sentAt[0]!).to.be.within(890, 1_200);
  });

  it("does not read in a tight loop if the store does not wait", async () => {
    const { topic, calls } = createTopic([]);
    await collectUpdates(topic, 350);
    expect(calls.length).to.be.at.most(6);
  });
});

describe("confirmation by a read that found nothing", () => {
  it("extends to the end of the wait, less a margin for clocks", () => {
    const confirmedAt = confirmedAtOf({
      sentAt: 100,
      waitedMs: 1_500,
      allowedMs: 1_500,
    });
    expect(confirmedAt).to.be.within(100 + 1_400, 100 + 1_499);
  });

  it("extends only to when the read was sent if the store responded sooner", () => {
    const read = { sentAt: 100, waitedMs: 1_499, allowedMs: 1_500 };
    expect(confirmedAtOf(read)).to.equal(100);
  });
});
