import { expect } from "chai";
import { createLeadershipRenewal } from "./leadership_renewal.ts";

const sleep = (ms: number) => new Promise((resolve) => setTimeout(resolve, ms));

describe("renewal of the leadership", () => {
  it("leaves once this daemon is no candidate any more, and makes no calls until it is one again", async () => {
    const calls: string[] = [];
    let isCandidate = true;
    const renewal = createLeadershipRenewal({
      leaderElection: {
        renew(member) {
          calls.push(`renew ${member}`);
          return Promise.resolve(true);
        },
        beginTerm: () => Promise.resolve(1),
        resign(member) {
          calls.push(`resign ${member}`);
          return Promise.resolve();
        },
      },
      member: "m",
      intervalMs: 5,
      isCandidate: () => isCandidate,
      dispatch: () => undefined,
      log: () => undefined,
    });
    await sleep(30);
    isCandidate = false;
    await sleep(50);
    const count = calls.length;
    expect(calls.filter((call) => call === "resign m")).to.have.length(1);
    expect(calls.at(-1)).to.equal("resign m");
    await sleep(30);
    expect(calls).to.have.length(count);
    isCandidate = true;
    await sleep(30);
    expect(calls.at(-1)).to.equal("renew m");
    renewal.stop();
    expect(calls.at(-1)).to.equal("resign m");
  });
});
