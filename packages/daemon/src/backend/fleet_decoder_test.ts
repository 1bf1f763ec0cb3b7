import { expect } from "chai";
import fc from "fast-check";
import { decodeStatus, decodeVmList } from "./fleet_decoder.ts";

const LISTING = {
  vm: "vm-1",
  address: "http://10.0.0.1:80",
  zone: "suva-a",
  domain: "d1",
  incarnation: "vm-1-0",
  state: "live",
  role: "engine",
  accelerators: 8,
};
const LOAD = {
  running: 1,
  queued: 0,
  stepMs: 20,
  prefillPerMs: 20,
  kvUsedShare: 0.1,
  maxBatch: 64,
};
const STATUS = {
  vm: "vm-1",
  incarnation: "vm-1-0",
  state: "ready",
  load: LOAD,
};

function decodeList(value: unknown) {
  const problems: number[] = [];
  const vms = decodeVmList(value, {
    onProblem: (place) => problems.push(place),
  });
  return { vms, problems };
}

describe("what VMs and the platform say of VMs", () => {
  // Guards against odd entries as in the report of issue 38, on the product's own interface.
  it("is left out of a list where it cannot be read, and the rest is kept", () => {
    const odd = [
      null,
      7,
      { ...LISTING, address: "http://10.0.0.1:99991" },
      { ...LISTING, accelerators: 1e308 },
      { ...LISTING, state: "dancing" },
      { ...LISTING, vm: "x".repeat(1_000) },
    ];
    const { vms, problems } = decodeList({ vms: [LISTING, ...odd, LISTING] });
    expect(vms).to.deep.equal([LISTING, LISTING]);
    expect(problems).to.deep.equal([1, 2, 3, 4, 5, 6]);
  });

  it("is a status only where all its numbers are within their ranges", () => {
    expect(decodeStatus(STATUS)).to.deep.equal(STATUS);
    for (const field of Object.keys(LOAD)) {
      for (const number of [1e308, -1, "1"]) {
        const load = { ...LOAD, [field]: number };
        expect(() => decodeStatus({ ...STATUS, load })).to.throw(field);
      }
    }
  });

  it("never ends the decoder but with an error", () => {
    fc.assert(fc.property(fc.jsonValue(), (value) => {
      expect(() => decodeStatus(value)).to.throw(Error);
      const { vms } = decodeList({ vms: [value, LISTING] });
      expect(vms).to.deep.equal([LISTING]);
    }));
  });
});
