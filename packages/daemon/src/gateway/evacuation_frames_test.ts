import type { UpstreamMessage } from "@primroseshed/core";
import { expect } from "chai";
import { Packr } from "msgpackr";
import { decodeUpstreamFrame, encodeFrame } from "./sharing_frames.ts";

const packr = new Packr({ useRecords: false, encodeUndefinedAsNil: true });
const EVACUATIONS = { zones: ["suva-a"], position: { timeline: 2, offset: 7 } };
const POSITION = { timeline: 2, offset: 9 };

type Answer = Extract<UpstreamMessage, { kind: "poll_answer" }>;
type Snapshot = Extract<UpstreamMessage, { kind: "snapshot" }>;

const ANSWER: Answer = {
  kind: "poll_answer",
  poll: 3,
  isReader: true,
  timeline: 2,
  routingAgeMs: 10,
  runnersAgeMs: 20,
};
const SNAPSHOT: Snapshot = {
  kind: "snapshot",
  routing: undefined,
  runners: [],
  runnersPosition: POSITION,
  daemons: [],
  parts: [],
};

describe("frames between daemons of different versions", () => {
  for (const message of [ANSWER, SNAPSHOT]) {
    it(`carry evacuations in a ${message.kind}`, () => {
      const sent = { ...message, evacuations: EVACUATIONS };
      const received = decodeUpstreamFrame(encodeFrame(sent));
      expect(received).to.have.property("evacuations").that.deep.equals(
        EVACUATIONS,
      );
    });

    // Guards against a follower that drops its connection to a daemon of the earlier version.
    it(`are accepted without evacuations in a ${message.kind}`, () => {
      const received = decodeUpstreamFrame(encodeFrame(message));
      expect(received).to.not.have.property("evacuations");
    });

    // Guards against schemas that refuse fields of a later version, as evacuations are to daemons of the earlier one.
    it(`are accepted with fields that are not known in a ${message.kind}`, () => {
      const frame = packr.pack({ ...message, later: { zones: ["suva-a"] } });
      const received = decodeUpstreamFrame(frame);
      expect(received.kind).to.equal(message.kind);
      expect(received).to.not.have.property("later");
    });
  }
});
