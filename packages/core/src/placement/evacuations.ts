/**
 * Keeps the evacuated availability zones.
 *
 * @module
 */
import type { Gateway } from "../gateway/types.ts";
import type { Evacuations, Placement } from "./types.ts";

/** Creates the state before the first read: no zone is evacuated. */
export function createPlacement(): Placement {
  return { listed: new Set(), retained: new Set(), position: undefined };
}

/** Returns whether a zone is evacuated. */
export function isEvacuated({ placement }: Gateway, zone: string): boolean {
  return placement.listed.has(zone) || placement.retained.has(zone);
}

/** Lists the evacuated zones in alphabetical order. */
export function listEvacuatedZones(
  { placement: { listed, retained } }: Gateway,
): string[] {
  return [...new Set([...listed, ...retained])].sort();
}

/** Returns what followers are told of evacuations; undefined before the first read. */
export function shareEvacuations(gateway: Gateway): Evacuations | undefined {
  const { position } = gateway.placement;
  return position && { zones: listEvacuatedZones(gateway), position };
}
