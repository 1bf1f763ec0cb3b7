import { expect } from "chai";
import { headCost, intakeLimitsOf } from "./mod.ts";

const MIB = 1024 * 1024;
const MAX_BODY_BYTES = 4 * MIB;
/** Entry VMs of the fleet, from the smallest to the largest. */
const VMS = [
  { memoryMb: 202, maxDescriptors: 2_069 },
  { memoryMb: 256, maxDescriptors: 4_096 },
  { memoryMb: 602, maxDescriptors: 8_192 },
];

describe("limits of the intake", () => {
  for (const vm of VMS) {
    const limits = intakeLimitsOf({ ...vm, maxBodyBytes: MAX_BODY_BYTES });

    it(`have room for the largest legal request on a VM of ${vm.memoryMb} MB`, () => {
      const head = headCost({ textBytes: 16 * 1024, lines: 4_096 });
      expect(limits.maxBytes).to.be.at.least(MAX_BODY_BYTES + head);
    });

    // Three requests a second of 64 KiB that each take 8 s, and callers that keep idle connections for 16 s.
    it(`are not met by usual callers on a VM of ${vm.memoryMb} MB`, () => {
      const usual = 3 * 8 *
        (64 * 1024 + headCost({ textBytes: 2_000, lines: 20 }));
      expect(limits.maxBytes).to.be.above(3 * usual);
      expect(limits.maxCallers).to.be.above(10 * 3 * 16);
    });

    it(`leave a quarter of the descriptors of a VM of ${vm.memoryMb} MB`, () => {
      const { maxCallers, maxDaemons, maxOperators } = limits;
      expect(maxCallers + maxDaemons + 2 * maxOperators).to.be.below(
        0.75 * vm.maxDescriptors,
      );
      expect(maxDaemons).to.be.above(119);
    });
  }
});
