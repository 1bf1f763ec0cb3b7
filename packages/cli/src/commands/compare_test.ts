import { expect } from "chai";
import { findDifferences } from "./compare.ts";

describe("config compare", () => {
  it("finds no difference between daemons with the same configuration", () => {
    const document = { routes: [{ name: "a" }] };
    const differences = findDifferences([
      { daemon: "a", offset: 3, document },
      { daemon: "b", offset: 3, document },
    ]);
    expect(differences).to.deep.equal([]);
  });

  it("reports the daemon and the field that differ from the newest configuration", () => {
    const differences = findDifferences([
      { daemon: "a", offset: 3, document: { limits: { bytes: 1 } } },
      { daemon: "b", offset: 4, document: { limits: { bytes: 2 } } },
    ]);
    expect(differences).to.deep.equal([{
      daemon: "a",
      offset: 3,
      changes: [{ path: "limits.bytes", from: 1, to: 2 }],
    }]);
  });

  it("reports a daemon without a configuration as different", () => {
    const differences = findDifferences([
      { daemon: "a" },
      { daemon: "b", offset: 4, document: { limits: {} } },
    ]);
    expect(differences.map(({ daemon }) => daemon)).to.deep.equal(["a"]);
  });
});
