import { expect } from "chai";
import { CommandError } from "../exit_codes.ts";
import { withZone } from "./drain_zone.ts";

const BASE = { version: 1, owners: {}, deployments: {} };

describe("the change of a configuration that evacuates a zone", () => {
  it("adds the zone once, keeps the others, and is undone", () => {
    const base = {
      ...BASE,
      policy: { evacuatedZones: ["b"], retryShare: 0.2 },
    };
    const document = { base, overlays: {} };
    const drained = withZone(document, { zone: "a", isUndo: false });
    expect(drained.base).to.have.property("policy").that.deep.equals({
      evacuatedZones: ["a", "b"],
      retryShare: 0.2,
    });
    expect(withZone(drained, { zone: "a", isUndo: false })).to.deep.equal(
      drained,
    );
    expect(withZone(drained, { zone: "a", isUndo: true })).to.deep.equal(
      document,
    );
  });

  // Guards against a site whose overlay has a list of its own, which replaces that of the base.
  it("holds at sites with a list of their own", () => {
    const overlays = { s1: { policy: { evacuatedZones: ["c"] } }, s2: {} };
    const drained = withZone({ base: BASE, overlays }, {
      zone: "a",
      isUndo: false,
    });
    expect(drained.overlays).to.deep.equal({
      s1: { policy: { evacuatedZones: ["a", "c"] } },
      s2: {},
    });
  });

  // Guards against a change that is accepted and has no effect at a site.
  it("is refused where an overlay removes the field", () => {
    const document = { base: BASE, overlays: { s1: { policy: null } } };
    expect(() => withZone(document, { zone: "a", isUndo: false })).to.throw(
      CommandError,
      "at site s1",
    );
  });

  it("is refused for a name that no zone can have", () => {
    const document = { base: BASE, overlays: {} };
    expect(() => withZone(document, { zone: "A B", isUndo: false })).to.throw(
      CommandError,
      "lower-case",
    );
  });
});
