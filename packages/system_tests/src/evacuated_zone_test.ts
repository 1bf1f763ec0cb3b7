import { EXIT_CODES, run } from "@primroseshed/cli";
import type { Daemon } from "@primroseshed/daemon";
import { type System, waitUntil } from "@primroseshed/stand_ins";
import { expect } from "chai";
import { chat } from "./client.ts";
import { startTestSystem } from "./fixture.ts";

const ZONE = "suva-a";
const CHATS = 12;

/** Returns the groups in the evacuated zone, and those elsewhere, that a daemon sends to. */
function groupsOf({ state }: Daemon): { inZone: number; elsewhere: number } {
  const groups = [...state.targets.values()].filter(({ epoch, phase }) =>
    epoch !== undefined && phase === "serving"
  );
  const inZone =
    groups.filter(({ members }) =>
      members.some(({ member }) => member.zone === ZONE)
    ).length;
  return { inZone, elsewhere: groups.length - inZone };
}

describe("a zone that the configuration evacuates", () => {
  let system: System;
  before(async () => {
    system = await startTestSystem({ enginesPerZone: 6, replicas: 3 });
  });
  after(() => system.kill());

  async function runCtl(...args: string[]) {
    const out: string[] = [];
    const errors: string[] = [];
    const daemons = system.daemons.flatMap((
      { addresses },
    ) => ["--daemon", addresses.operators]);
    const code = await run(
      [...args, ...daemons, "--key", "demo-operator-key"],
      {
        env: {},
        stdin: (async function* () {})(),
        stdout: (text) => out.push(text),
        stderr: (text) => errors.push(text),
      },
    );
    return { code, out: out.join("\n"), errors: errors.join("\n") };
  }

  const requestsInZone = () =>
    system.daemons.flatMap(({ state }) => [...state.targets.values()])
      .filter(({ epoch, members }) =>
        epoch !== undefined &&
        members.some(({ member }) => member.zone === ZONE)
      ).reduce((sum, { attempts }) => sum + attempts.size, 0);

  it("is only printed without --apply", async () => {
    const { code, out } = await runCtl("drain", "zone", ZONE);
    expect(code).to.equal(EXIT_CODES.ok);
    expect(out).to.include(
      `base.policy.evacuatedZones: undefined -> ["${ZONE}"]`,
    );
    expect(system.daemons[0]!.state.config!.config.policy.evacuatedZones).to
      .deep.equal([]);
  });

  // Guards against requests that go on to the zone, and against a planner that does not replace its groups elsewhere.
  it("gets no requests, and its groups are replaced in other zones", async () => {
    await waitUntil(() => groupsOf(system.daemons[0]!).inZone > 0);
    const { code, errors } = await runCtl("drain", "zone", ZONE, "--apply");
    expect(errors).to.equal("");
    expect(code).to.equal(EXIT_CODES.ok);
    await waitUntil(() =>
      system.daemons.every((each) => groupsOf(each).elsewhere === 3)
    );
    expect(groupsOf(system.daemons[0]!).inZone).to.equal(1);
    for (let index = 0; index < CHATS; index += 1) {
      const daemon = system.daemons[index % system.daemons.length]!;
      const response = await chat(daemon, `prompt ${index}`, { stream: true });
      expect(response.status).to.equal(200);
      expect(requestsInZone()).to.equal(0);
      await response.text();
    }
    const { out } = await runCtl("status");
    expect(out).to.include(`Evacuated zones:\n  ${ZONE}, at entry-1, entry-2`);
  });

  it("is used again once the evacuation is undone", async () => {
    const { code } = await runCtl("drain", "zone", ZONE, "--undo", "--apply");
    expect(code).to.equal(EXIT_CODES.ok);
    await waitUntil(() =>
      system.daemons.every((each) => {
        const { inZone, elsewhere } = groupsOf(each);
        return inZone + elsewhere === 3;
      })
    );
    expect((await runCtl("status")).out).to.not.include("Evacuated zones");
  });

  it("is refused for anything but a zone", async () => {
    const { code } = await runCtl("drain", "vm", "engine-0", "--undo");
    expect(code).to.equal(EXIT_CODES.usage);
  });
});
