import { expect } from "chai";
import { URGENT_QUEUE_REQUESTS } from "../gateway/constants.ts";
import { SETTINGS } from "../gateway/test_fixture.ts";
import { coldRateOf } from "../pacing/shares.ts";
import { busiestSecond, COLD_START } from "../pacing/test_cold_fleet.ts";
import {
  BACK_AT,
  GONE_AT,
  type HeadArrival,
  runZoneReturn,
  SLOTS,
  WARM_AT,
  type ZoneReturn,
} from "./test_zone_return.ts";

const RATE = coldRateOf(COLD_START, SETTINGS);
/** About 0.9 of what the heads of the other zones take. */
const BUSY_PER_SECOND = 260;
/** Time at which the heads have their usual share again, ms. */
const GROWN_AT = WARM_AT + COLD_START.durationMs;
const SEEDS = [1, 2, 3];
/** Requests that a head may have, with those that the most urgent priority may queue there. */
const PLACES = SLOTS + URGENT_QUEUE_REQUESTS;

const isReturned = ({ head }: HeadArrival) => head.startsWith("suva-a");

/** Returns the most requests that one head of the zone got in any second of a span. */
function busiestHead(
  { arrivals }: ZoneReturn,
  { from, to }: { from: number; to: number },
): number {
  const times = new Map<string, number[]>();
  for (const arrival of arrivals.filter(isReturned)) {
    const { head, at } = arrival;
    if (at < from || at >= to) continue;
    times.set(head, [...times.get(head) ?? [], at]);
  }
  return Math.max(...[...times.values()].map(busiestSecond));
}

/** Returns the most requests at one head of the other zones in a span. */
function fullestNeighbor(
  { arrivals }: ZoneReturn,
  { from, to }: { from: number; to: number },
): number {
  const loads = arrivals
    .filter((each) => !isReturned(each) && each.at >= from && each.at < to)
    .map(({ load }) => load);
  return Math.max(...loads);
}

describe("an availability zone returns cold", () => {
  const whileGone = { from: GONE_AT, to: BACK_AT };
  const whileCold = { from: BACK_AT, to: WARM_AT };

  for (const seed of SEEDS) {
    // Guards against all daemons sending to the heads that are back as soon as they hear of them.
    it(`its heads get their part while they are cold, the other zones serve the rest (seed ${seed})`, () => {
      const result = runZoneReturn({ perSecond: BUSY_PER_SECOND, seed });
      expect(busiestHead(result, whileCold)).to.be.within(RATE / 2, RATE);
      expect(fullestNeighbor(result, whileCold)).to.be.at.most(
        fullestNeighbor(result, whileGone),
      );
      expect(result.refused / result.sent).to.be.below(0.01);
    });

    // Guards against a rush to the heads at the moment at which they turn warm.
    it(`its heads get no rush once they are warm (seed ${seed})`, () => {
      const result = runZoneReturn({ perSecond: BUSY_PER_SECOND, seed });
      const loads = result.arrivals
        .filter((each) =>
          isReturned(each) && each.at >= WARM_AT && each.at < GROWN_AT
        )
        .map(({ load }) => load);
      expect(Math.max(...loads)).to.be.at.most(PLACES);
      const first = { from: WARM_AT, to: WARM_AT + 1_500 };
      expect(busiestHead(result, first)).to.be.at.most(RATE * 1.25);
    });

    it(`a service without a cold start uses them at once (seed ${seed})`, () => {
      const result = runZoneReturn({
        perSecond: BUSY_PER_SECOND,
        seed,
        isLimited: false,
      });
      expect(busiestHead(result, whileCold)).to.be.above(RATE);
    });
  }
});
