/**
 * Starts simulated fleets under load for tests.
 *
 * @module
 */
import type { LogEventName } from "../effect/types.ts";
import {
  createDocument,
  createHead,
  createRoute,
  effectsOf,
  ENGINE,
} from "../gateway/test_fixture.ts";
import type { CapacityPolicy, RoutingDocument } from "../gateway/types.ts";
import {
  createFleet,
  type SimulatedFleet,
} from "../read_sharing/test_fleet.ts";
import { createLoad, type SimulatedLoad } from "./test_load.ts";

const STEP_MS = 10;
const SLOTS = 21;
const HOLD_MS = 1_500;

/** Creates a configuration with two streaming routes, of equal priority where load reports are to be shared. */
function createPolicy(policy: CapacityPolicy): RoutingDocument {
  const routes = ["chat", "talk"].map((name, index) =>
    createRoute({
      name,
      prefix: `/${name}/`,
      kind: "stream",
      timeoutMs: 8_000,
      targetLatencyMs: 400,
      priority: policy === "shared" ? 0 : index,
      backends: [{ service: "llm", weight: 1 }],
    })
  );
  return createDocument({
    version: 2,
    routes,
    services: [{ name: "llm", engine: { ...ENGINE, slots: SLOTS } }],
  });
}

/** A fleet and the load on it. */
export interface Scenario {
  fleet: SimulatedFleet;
  load: SimulatedLoad;
}

/** Starts daemons and groups in each availability zone. */
export function startScenario(
  daemons: Readonly<Record<string, number>>,
  { groups, policy = "shared", holdMs = HOLD_MS }: {
    groups: number;
    policy?: CapacityPolicy;
    holdMs?: number;
  },
): Scenario {
  const fleet = createFleet(daemons, { stepMs: STEP_MS });
  for (const { harness, entry } of fleet.daemons) {
    harness.state.gateway!.zone = entry.zone;
  }
  fleet.store.document = createPolicy(policy);
  fleet.store.runners = Object.keys(daemons).flatMap((zone) =>
    Array.from(
      { length: groups },
      (_, index) => createHead(`${zone}-head-${index}`, { zone }),
    )
  );
  fleet.store.position.offset = 2;
  fleet.advance(3_000);
  const load = createLoad(fleet, { slots: SLOTS, holdMs, stepMs: STEP_MS });
  return { fleet, load };
}

/** Returns the runners of which any daemon has logged an event, each once. */
export function loggedRunners({ daemons }: SimulatedFleet, name: LogEventName) {
  const runners = daemons.flatMap(({ harness: { effects } }) =>
    effectsOf(effects, "log").filter(({ event }) => event === name)
      .map(({ fields }) => fields["runner"])
  );
  return [...new Set(runners)];
}
