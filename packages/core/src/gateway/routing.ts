/**
 * Handles reads of the routing configuration, and what confirms that the known data is current.
 *
 * @module
 */
import { logFindings } from "../config_check/mod.ts";
import type { EventOf } from "../event/types.ts";
import { publishRouting } from "../read_sharing/publish.ts";
import { type Effects, noEffects } from "../reduce_types.ts";
import type { State } from "../state/types.ts";
import { mayBegin, recordFloor } from "../store_timeline/floor.ts";
import { isBehind } from "../store_timeline/timeline.ts";
import { confirm, invalidate } from "./freshness.ts";
import { createRoutingTable } from "./routes.ts";
import type { RoutingDocument } from "./types.ts";

/** Handles a read of the configuration; a version older than the one in force is ignored. */
export function* applyRouting(
  state: State,
  { document, confirmedAt }: Pick<
    EventOf<"routing_read">,
    "document" | "confirmedAt"
  >,
): Effects {
  const gateway = state.gateway!;
  const before = gateway.routing?.document;
  const inForce = before?.version;
  if (confirmedAt !== undefined) {
    if (isHeldBack(state, { document, confirmedAt })) return;
    noteStoreVersion(state, document.version);
    confirmByStore(state, confirmedAt);
  }
  if (inForce !== undefined && document.version <= inForce) return;
  gateway.storeTimeline.held = undefined;
  gateway.routing = createRoutingTable(document);
  yield {
    kind: "log",
    event: "routing_in_force",
    fields: {
      version: document.version,
      before: inForce,
      routes: document.routes.length,
      ageMs: confirmedAt && Math.round(state.now - confirmedAt),
    },
  };
  yield* logFindings(document, {
    inForce: before,
    regions: gateway.settings.regions,
    isHedging: gateway.settings.hedging !== undefined,
  });
  yield { kind: "limits_in_force", limits: document.limits };
  yield* recordFloor(state);
  if (confirmedAt !== undefined) yield* publishRouting(state, document);
}

/** Holds a configuration back that may be older than the one in force elsewhere; returns whether it does. */
function isHeldBack(
  { gateway, now }: State,
  { document, confirmedAt }: { document: RoutingDocument; confirmedAt: number },
): boolean {
  const { storeTimeline, routing } = gateway!;
  if (routing !== undefined) return false;
  const since = storeTimeline.held?.since ?? now;
  const held = { document, confirmedAt, since };
  storeTimeline.held = held;
  return !mayBegin(gateway!, held, now);
}

/** Records whether the store holds an older configuration than the one in force. */
function noteStoreVersion({ gateway, now }: State, version: number): void {
  const { storeTimeline, routing } = gateway!;
  const isOlder = routing !== undefined && version < routing.document.version;
  storeTimeline.behindSince = isOlder
    ? storeTimeline.behindSince ?? now
    : undefined;
}

/** Records that a read of the store confirmed the configuration, unless the store has forgotten it for the moment. */
function confirmByStore({ gateway, now }: State, confirmedAt: number): void {
  const { routingFreshness, readSharing, storeTimeline } = gateway!;
  if (isBehind(storeTimeline, now)) return;
  confirm(routingFreshness, confirmedAt);
  if (confirmedAt < routingFreshness.invalidBefore) return;
  readSharing.storeConfirmedAt = Math.max(
    readSharing.storeConfirmedAt,
    confirmedAt,
  );
}

/** Handles a read that returned no change. */
export function confirmFreshness(
  state: State,
  { topic, confirmedAt }: EventOf<"freshness_confirmed">,
): Effects {
  const gateway = state.gateway!;
  const isHeld = gateway.routing === undefined &&
    gateway.storeTimeline.held !== undefined;
  if (topic === "routing") {
    if (!isHeld) confirmByStore(state, confirmedAt);
  } else confirm(gateway.runnersFreshness, confirmedAt);
  return noEffects();
}

/** Handles a jump between the clocks: this process may have been suspended, so the age of its data is unknown. */
export function* invalidateAll(
  state: State,
  { driftMs }: EventOf<"clock_jumped">,
): Effects {
  const { gateway } = state;
  if (gateway === undefined) return;
  invalidate(gateway.routingFreshness, state.now);
  invalidate(gateway.runnersFreshness, state.now);
  gateway.groupPlanner.leadership.renewedAt = -Infinity;
  gateway.readSharing.storeConfirmedAt = -Infinity;
  yield {
    kind: "log",
    event: "clock_jumped",
    fields: { driftMs: Math.round(driftMs) },
  };
}
