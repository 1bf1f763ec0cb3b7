import { expect } from "chai";
import {
  createDocument,
  createHarness,
  effectsOf,
  failAttempt,
  type GatewayHarness,
  publish,
  refusalOf,
  sendRequest,
} from "../gateway/test_fixture.ts";
import {
  createDesks,
  createHeads,
  evacuate,
  zonesSentTo,
} from "./test_zones.ts";

const CHAT = { path: "/chat/1", model: "small", deadlineMs: 8_000 };

function startDaemon(runners = [...createDesks(3), ...createHeads()]) {
  const harness = createHarness();
  publish(harness, { runners });
  return harness;
}

/** Starts a stream and lets its first event arrive. */
function startStream(harness: GatewayHarness, request: string): void {
  sendRequest(harness, request, CHAT);
  const at = { request, attempt: 1 };
  harness.feed({
    kind: "response_started",
    ...at,
    status: 200,
    verdict: "ran",
    load: undefined,
  });
  harness.feed({ kind: "response_progressed", ...at, lastEvent: "1" });
}

describe("an evacuated zone", () => {
  // Guards against callers that are still sent to their own zone, which is otherwise preferred.
  it("gets no new request", () => {
    const harness = startDaemon();
    evacuate(harness, ["suva-a"]);
    for (let index = 0; index < 60; index += 1) {
      const effects = sendRequest(harness, `r${index}`);
      expect(zonesSentTo(harness, effects)).to.have.length(1);
      expect(zonesSentTo(harness, effects)).not.to.include("suva-a");
    }
  });

  // Guards against retries that go by another choice than first attempts.
  it("gets no retry", () => {
    const harness = startDaemon();
    for (let index = 0; index < 5; index += 1) {
      sendRequest(harness, `r${index}`);
    }
    evacuate(harness, ["suva-a"]);
    for (let index = 0; index < 5; index += 1) {
      const effects = failAttempt(harness, `r${index}`, {
        outcome: "connect_refused",
      });
      expect(zonesSentTo(harness, effects)).to.have.length(1);
      expect(zonesSentTo(harness, effects)).not.to.include("suva-a");
    }
  });

  // Guards against streams that are cut off by an evacuation, or resumed in the zone that they left.
  it("keeps its streams, and gets none back that breaks off", () => {
    const harness = startDaemon(createHeads(2));
    startStream(harness, "s1");
    expect(effectsOf(evacuate(harness, ["suva-a"]), "cancel")).to.deep.equal(
      [],
    );
    expect(harness.state.gateway!.requests.has("s1")).to.equal(true);
    const effects = failAttempt(harness, "s1", { outcome: "body_cut_off" });
    expect(effectsOf(effects, "send_to_runner")[0]).to.include({
      resumeAfter: "1",
    });
    expect(zonesSentTo(harness, effects)).not.to.include("suva-a");
  });

  // Guards against waiting requests that are sent where they were queued for.
  it("gets no request that waited for a slot there", () => {
    const [local] = createHeads();
    const harness = startDaemon([local!]);
    for (let index = 0; index < 30; index += 1) {
      sendRequest(harness, `r${index}`, CHAT);
    }
    const waiting = [...harness.state.gateway!.requests.values()].filter((
      { isWaiting },
    ) => isWaiting);
    expect(waiting.length).to.be.above(0);
    evacuate(harness, ["suva-a"]);
    const effects = harness.advance(50);
    expect(effectsOf(effects, "send_to_runner")).to.deep.equal([]);
    const messages = effectsOf(effects, "refuse").map(({ message }) => message);
    expect(messages).to.have.length(waiting.length);
    for (const message of messages) {
      expect(message).to.include("evacuated availability zones");
    }
  });

  // Guards against requests that wait for runners that they may not use.
  it("is named in the refusal where no other zone serves a request", () => {
    const harness = startDaemon(createDesks().slice(0, 1));
    evacuate(harness, ["suva-a"]);
    const refusal = refusalOf(sendRequest(harness, "r1"));
    expect(refusal).to.include({ code: "no_capacity", verdict: "not_run" });
    expect(refusal!.message).to.include("evacuated availability zones");
  });

  // Guards against requests that wait for a pause that only runners outside of the zone could end.
  it("does not hide that all other runners have asked for a pause", () => {
    const harness = startDaemon(createDesks().slice(0, 2));
    evacuate(harness, ["suva-a"]);
    sendRequest(harness, "r1");
    harness.feed({
      kind: "response_started",
      request: "r1",
      attempt: 1,
      status: 503,
      verdict: "not_run",
      load: undefined,
      backoffMs: 3_000,
    });
    expect(refusalOf(sendRequest(harness, "r2"))!.message).to.include(
      "asked for a pause",
    );
  });

  it("gets requests again once the evacuation is lifted", () => {
    const harness = startDaemon();
    evacuate(harness, ["suva-a"]);
    harness.feed({
      kind: "evacuations_changed",
      evacuated: [],
      lifted: ["suva-a"],
      position: { timeline: 1, offset: 2 },
    });
    const zones = Array.from(
      { length: 20 },
      (_, index) => zonesSentTo(harness, sendRequest(harness, `r${index}`)),
    ).flat();
    expect(zones).to.include("suva-a");
  });
});

describe("forwarded requests", () => {
  function forward(harness: GatewayHarness, runner: string) {
    const effects = harness.feed({
      kind: "forward_arrived",
      request: `f-${runner}`,
      runner,
      host: "a.example",
      path: "/loans/1",
      key: "key-a",
      team: "team-a",
      promptParts: [],
      fingerprint: "f",
      isTrial: false,
    });
    return effectsOf(effects, "refuse_forward")[0]?.cause ?? "sent";
  }

  // Guards against a daemon that has not heard of the evacuation and sends through one that has.
  it("are refused for a runner of an evacuated zone only", () => {
    const harness = startDaemon(createDesks());
    evacuate(harness, ["suva-a"]);
    expect(forward(harness, "desk-suva-a-0")).to.equal("runner_gone");
    expect(forward(harness, "desk-nausori-b-0")).to.equal("sent");
  });

  // Guards against a daemon that forwards outside of the regions that its configuration allows.
  it("are refused outside of the allowed regions, by runner and by forwarder", () => {
    const route = createDocument().routes[0]!;
    const start = (allowedRegions: string[]) => {
      const harness = createHarness({
        regions: { "suva-a": "fiji", "nausori-b": "tonga" },
      });
      publish(harness, {
        runners: createDesks(),
        document: createDocument({ routes: [{ ...route, allowedRegions }] }),
      });
      return harness;
    };
    expect(forward(start(["fiji"]), "desk-suva-a-0")).to.equal("sent");
    expect(forward(start(["fiji"]), "desk-nausori-b-0")).to.equal(
      "not_allowed",
    );
    expect(forward(start(["tonga"]), "desk-nausori-b-0")).to.equal(
      "not_allowed",
    );
  });
});
