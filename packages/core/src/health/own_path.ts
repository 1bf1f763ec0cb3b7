/**
 * Tells a daemon that is cut off from the VMs from VMs that have failed.
 *
 * @module
 */
import type { State } from "../state/types.ts";

/** Fewer missing engines say nothing of the daemon that misses them. */
const MIN_MISSING_ENGINES = 2;
/** Above this share of listed engines that do not respond, the daemon's own network is the likelier cause. */
const MAX_MISSING_SHARE = 0.5;

/**
 * Returns whether most engines that the platform lists as live do not respond to this daemon.
 *
 * Those that have failed leave the platform's list after a while, so that it does not count them for long.
 */
export function isCutOff({ vms, vmHealth }: State): boolean {
  let known = 0;
  let missing = 0;
  for (const { vm, role, state } of vms.values()) {
    const health = vmHealth.get(vm);
    if (role !== "engine" || state !== "live" || health === undefined) continue;
    known += 1;
    if (health.missingSince !== undefined) missing += 1;
  }
  return missing >= MIN_MISSING_ENGINES && missing > known * MAX_MISSING_SHARE;
}
