// One of three runners spoils one in fifty of its answers: in their place it sends bytes that are no answer.
import { setTimeout as sleep } from "node:timers/promises";
import { BOUNDS } from "../stand_ins-2/daemon.mjs";
import { startFleet, ZONE_NAMES } from "../stand_ins-2/fleet.mjs";
import { createConfig, runCase } from "../stand_ins-2/lab.mjs";
import { startRunner } from "../stand_ins-2/runner.mjs";
import { startStore } from "../stand_ins-2/store.mjs";

const TIMEOUT_MS = 1_500;
/** Time after the time-out within which the rule wants an answer, ms. */
const SLACK_MS = 500;
const SPOILT_SHARE = 0.02;
const CALL_EVERY_MS = 40;
const PLAY_MS = 25_000;
/** Requests without an answer, and their share, from which on the rule is broken. */
const MOST_LATE = 8;
const MOST_LATE_SHARE = 0.25;

await runCase(import.meta.url, async (lab) => {
  const store = await startStore();
  lab.onEnd(() => store.stop());
  store.put(
    "op",
    "config",
    createConfig({
      version: 1,
      routes: [
        {
          pathPrefix: "/look/",
          service: "desk",
          timeoutMs: TIMEOUT_MS,
        },
        {
          pathPrefix: "/book/",
          service: "desk",
          kind: "unsafe",
          timeoutMs: TIMEOUT_MS,
        },
      ],
      services: ["desk"],
    }),
  );
  const runners = [];
  let answers = 0;
  let spoilt = 0;
  for (const [index, zone] of ZONE_NAMES.entries()) {
    const runner = await startRunner({
      id: `i-desk-${index}`,
      service: "desk",
      store,
      zone,
    });
    lab.onEnd(() => runner.stop());
    runners.push(runner);
    if (index > 0 || !lab.hasTrouble) continue;
    runner.answer = (arrival, request) => {
      answers += 1;
      if (answers % (1 / SPOILT_SHARE) !== 0) return false;
      spoilt += 1;
      arrival.hasRun = true;
      lab.note(`${runner.id} spoils its answer to ${arrival.id}`);
      request.socket.write("HTTP/1.1 101 Switching Protocols\r\n\r\n");
      return true;
    };
  }
  const daemons = await startFleet(lab, { store, net: 64, perZone: 1 });
  await sleep(BOUNDS.settleWindowMs + 2_000);
  for (const { callers } of daemons) {
    callers.every(CALL_EVERY_MS, "/look/1");
    callers.every(CALL_EVERY_MS, "/book/1", { method: "POST", body: "{}" });
  }
  await sleep(PLAY_MS);
  for (const { callers } of daemons) callers.stop();
  await sleep(3_000);

  lab.noteRequests(daemons, runners);
  const faults = [];
  lab.note(`${answers} answers of the faulty runner, ${spoilt} spoilt`);
  for (const { name, callers: { sent }, exit } of daemons) {
    const tookMs = ({ sentAt, endedAt, status }) =>
      status === undefined ? Infinity : endedAt - sentAt;
    const unanswered = sent.filter((each) => tookMs(each) > TIMEOUT_MS);
    const late = unanswered.filter((each) =>
      tookMs(each) > TIMEOUT_MS + SLACK_MS
    );
    lab.note(
      `${name}: ${sent.length} requests, ${unanswered.length} unanswered at ` +
        `timeoutMs, ${late.length} of them ${SLACK_MS} ms later` +
        (exit === undefined ? "" : `, ended ${JSON.stringify(exit)}`),
    );
    if (late.length < MOST_LATE) continue;
    if (late.length <= unanswered.length * MOST_LATE_SHARE) continue;
    if (late.length <= unanswered.length / 2) continue;
    const from = Math.min(...late.map(({ sentAt }) => sentAt));
    const to = Math.max(...late.map(({ sentAt }) => sentAt));
    faults.push(
      `CONFIG ${name}: ${late.length} of ${unanswered.length} requests that ` +
        `were unanswered at timeoutMs had no answer ${SLACK_MS} ms later; ` +
        `they were sent within ${((to - from) / 1_000).toFixed(1)} s`,
    );
  }
  return faults;
});
