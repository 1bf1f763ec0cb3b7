/**
 * Tells which availability zones the fleet's configuration evacuates, on the product's own path.
 *
 * @module
 */
import type { FoldedGroup } from "../fold/types.ts";
import type { State, Target } from "../state/types.ts";

type Configured = Pick<State, "config">;

/** Returns whether the configuration in force evacuates a zone. */
export function isZoneEvacuated({ config }: Configured, zone: string): boolean {
  return config?.config.policy.evacuatedZones.includes(zone) ?? false;
}

/** Returns whether any member of a group is in an evacuated zone. */
export function isGroupEvacuated(
  state: Configured,
  { members }: FoldedGroup,
): boolean {
  return members.some(({ zone }) => isZoneEvacuated(state, zone));
}

/** Returns whether any member of a target is in an evacuated zone. */
export function isTargetEvacuated(
  state: Configured,
  { members }: Target,
): boolean {
  return members.some(({ member }) => isZoneEvacuated(state, member.zone));
}
