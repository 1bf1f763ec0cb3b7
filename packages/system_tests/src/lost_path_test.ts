import {
  type BreakableConnect,
  createBreakableConnect,
  type System,
} from "@primroseshed/stand_ins";
import { expect } from "chai";
import { chat } from "./client.ts";
import { startTestSystem } from "./fixture.ts";

/** Longer than the time after which a planner presumes a silent member dead, ms. */
const WATCHED_MS = 7_000;

function addressesOf({ engines, lendingServers }: System): string[] {
  return [...engines, ...lendingServers].map(({ address }) =>
    address.replace("http://", "")
  );
}

describe("a daemon of the product's own interface whose path to the backend servers is cut", () => {
  let system: System;
  let networks: BreakableConnect[];

  beforeEach(async () => {
    networks = [createBreakableConnect(), createBreakableConnect()];
    system = await startTestSystem({
      connectOf: (daemon) => networks[daemon - 1]?.connect,
    });
  });
  afterEach(() => system.kill());

  function cut(daemon: number): void {
    networks[daemon]!.cut("silent", addressesOf(system));
  }

  // Guards against a planner that takes its own cut for the death of all engines and dissolves their groups.
  it("dissolves no groups", async () => {
    const [first] = system.daemons;
    const names = [...first!.state.fold.groups.keys()];
    expect(names).to.not.deep.equal([]);
    const planner = system.daemons.findIndex(({ state }) =>
      [...state.planners.values()].some(({ grant }) => grant !== undefined)
    );
    cut(planner);
    await new Promise((resolve) => setTimeout(resolve, WATCHED_MS));
    const sound = system.daemons[1 - planner]!;
    expect([...sound.state.fold.groups.keys()]).to.deep.equal(names);
    expect((await chat(sound, "after")).status).to.equal(200);
  });

  // Guards against incident inc1 of issue 31: callers of the cut-off daemon are refused while the other reaches all.
  it("serves its callers through the other daemon", async () => {
    cut(0);
    await new Promise((resolve) => setTimeout(resolve, 3_000));
    const statuses: number[] = [];
    for (let index = 0; index < 5; index += 1) {
      const response = await chat(system.daemons[0]!, `question ${index}`);
      statuses.push(response.status);
    }
    expect(statuses).to.deep.equal(statuses.map(() => 200));
  });
});
