/**
 * Creates runners in three availability zones, and evacuates zones, for tests.
 *
 * @module
 */
import type { Effect } from "../effect/types.ts";
import {
  createHead,
  createRunner,
  effectsOf,
  type GatewayHarness,
} from "../gateway/test_fixture.ts";
import type { Runner } from "../gateway/types.ts";
import type { LogPosition } from "../store_timeline/position.ts";

/** Availability zones of the tests; the harness is a daemon of the first one. */
export const ZONES = ["suva-a", "nausori-b", "labasa-c"] as const;
/** Regions of these zones; the third zone has none. */
export const REGIONS = { "suva-a": "fiji-east", "nausori-b": "fiji-west" };

/** Creates runners of the service `desk` in each zone. */
export function createDesks(perZone = 1): Runner[] {
  return createInZones(
    perZone,
    (id, zone) => createRunner(`desk-${id}`, { zone }),
  );
}

/** Creates heads of open groups in each zone. */
export function createHeads(perZone = 1): Runner[] {
  return createInZones(
    perZone,
    (id, zone) => createHead(`head-${id}`, { zone }),
  );
}

function createInZones(
  perZone: number,
  create: (id: string, zone: string) => Runner,
): Runner[] {
  return ZONES.flatMap((zone) =>
    Array.from(
      { length: perZone },
      (_, index) => create(`${zone}-${index}`, zone),
    )
  ).map((runner) => ({ ...runner, address: `${runner.id}:80` }));
}

/** Feeds the whole set of evacuated zones at a position, and returns the effects. */
export function evacuate(
  harness: GatewayHarness,
  zones: readonly string[],
  position: LogPosition = { timeline: 1, offset: 1 },
): Effect[] {
  return harness.feed({
    kind: "evacuations_read",
    zones: [...zones],
    position,
  });
}

/** Returns the zones of the runners that requests were sent to. */
export function zonesSentTo(
  { state }: GatewayHarness,
  effects: readonly Effect[],
): (string | undefined)[] {
  return effectsOf(effects, "send_to_runner").map(({ runner }) =>
    state.gateway!.runners.get(runner)?.zone
  );
}
