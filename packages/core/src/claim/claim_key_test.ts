import { expect } from "chai";
import fc from "fast-check";
import { configSchema } from "../config/schema.ts";
import type { Request } from "../request/types.ts";
import { scopedKey } from "./claim.ts";

const name = fc.stringMatching(/^[a-z0-9][a-z0-9-]{0,3}$/);
/** Callers choose the key: any printable characters without spaces. */
const key = fc.string({ unit: fc.constantFrom(..."a/#:-"), minLength: 1 });
const claim = fc.record({
  owner: name,
  team: name,
  caller: name,
  deployment: name,
  key,
});

function keyOf(
  { deployment, key, ...principal }: Record<string, string>,
): string {
  return scopedKey({ principal, deployment, key } as unknown as Request);
}

/** Returns whether a configuration may have these names. */
function isAllowed(
  { owner, team, caller }: { owner: string; team: string; caller: string },
): boolean {
  const { success, error } = configSchema.safeParse({
    version: 1,
    owners: {
      [owner]: {
        share: 1,
        limit: {},
        teams: { [team]: { weight: 1, limit: {}, callers: { [caller]: {} } } },
      },
    },
    deployments: {},
  });
  return success ||
    !error.issues.some(({ code }) => code === "invalid_key");
}

describe("the key of a claim", () => {
  // Guards against the class of case 5 of the review (PARTIAL) on the product's own interface.
  it("differs for different callers, deployments and idempotency keys", () => {
    fc.assert(
      fc.property(claim, claim, (left, right) => {
        const isSame = JSON.stringify(left) === JSON.stringify(right);
        expect(keyOf(left) === keyOf(right)).to.equal(isSame);
      }),
      { numRuns: 2_000 },
    );
  });

  it("is made of names that cannot hold the marks between them", () => {
    const names = { owner: "o", team: "t", caller: "c" };
    expect(isAllowed(names)).to.equal(true);
    for (const part of ["owner", "team", "caller"]) {
      for (const mark of ["/", ":", "#", " ", "\n"]) {
        const changed = { ...names, [part]: `a${mark}b` };
        expect(isAllowed(changed)).to.equal(false);
      }
    }
  });
});
