/**
 * Decision logic of primroseshed: a deterministic reducer without I/O, and the types that it uses.
 *
 * @module
 */
export { hasDueEvent, isCatchingUp } from "./catch_up/mod.ts";
export * from "./catch_up/event_types.ts";
export { isCold } from "./cold_start/mod.ts";
export * from "./config/types.ts";
export * from "./config/problem.ts";
export * from "./config/resolve.ts";
export * from "./config/audience.ts";
export {
  checkConfig,
  type CheckContext,
  type CheckReport,
  checkRouting,
  type DocumentSources,
  type Finding,
  type FindingSeverity,
  type PartChange,
  type RoutingContext,
} from "./config_check/mod.ts";
export { backendSchema, configSchema } from "./config/schema.ts";
export * from "./effect/types.ts";
export * from "./effect/log_events.ts";
export * from "./event/types.ts";
export * from "./formation/types.ts";
export * from "./forwarding/effect_types.ts";
export * from "./forwarding/event_types.ts";
export type * from "./forwarding/types.ts";
export * from "./gateway/effect_types.ts";
export * from "./gateway/event_types.ts";
export { ageOf } from "./gateway/freshness.ts";
export * from "./gateway/gateway.ts";
export { ownHoldings, setZoneHoldings } from "./admission/shares.ts";
export type { ZoneHolding, ZoneHoldings } from "./admission/types.ts";
export { batchDelayOf } from "./gateway/batch_delay.ts";
export { READ_SHARING_VERSION } from "./read_sharing/constants.ts";
export * from "./read_sharing/effect_types.ts";
export * from "./read_sharing/event_types.ts";
export * from "./read_sharing/read_times.ts";
export { isLeaderCandidate, isStoreReader } from "./read_sharing/reader.ts";
export type * from "./read_sharing/types.ts";
export { isLeader } from "./formation/leadership.ts";
export type {
  CallerLimits,
  CapacityPolicy,
  ColdStart,
  EngineProfile,
  EngineSpeed,
  Gateway,
  GatewaySettings,
  Model,
  Route,
  RouteKind,
  RoutingDocument,
  Runner,
  Service,
  Team,
} from "./gateway/types.ts";
export * from "./fold/types.ts";
export * from "./fold/constants.ts";
export * from "./fold/fold_record.ts";
export * from "./fold/fold_state.ts";
export {
  balance,
  beginRequest,
  closeConnection,
  closeHolding,
  createConnectionTable,
  createIntake,
  endRequest,
  giveUpSmallChunks,
  headCost,
  intakeLimitsOf,
  openConnection,
  openHolding,
  receiveChunk,
  setBodyBytes,
  setStage,
  sweepIntake,
} from "./intake/mod.ts";
export type * from "./intake/mod.ts";
export * from "./peer/types.ts";
export * from "./placement/event_types.ts";
export { isEvacuated, listEvacuatedZones } from "./placement/evacuations.ts";
export type * from "./placement/types.ts";
export * from "./quarantine/effect_types.ts";
export * from "./quarantine/event_types.ts";
export type * from "./quarantine/types.ts";
export { isHeld } from "./quarantine/suspects.ts";
export { isCutOff } from "./health/own_path.ts";
export { isAddress } from "./util/address.ts";
export { isLeaving } from "./gateway/leaving.ts";
export type { FirstEventTimes } from "./load/types.ts";
export { reportAgeMs, slowRunnerCount } from "./load/figures.ts";
export { isBackingOff } from "./gateway/runner_backoff.ts";
export { isPathLost } from "./service_path/mod.ts";
export * from "./vm/types.ts";
export * from "./reduce.ts";
export { costOfOutput } from "./request/arrive.ts";
export * from "./request/types.ts";
export * from "./state/types.ts";
export * from "./state/create_state.ts";
export * from "./state/dump.ts";
export * from "./state/readiness.ts";
export * from "./store_timeline/effect_types.ts";
export * from "./store_timeline/event_types.ts";
export * from "./store_timeline/position.ts";
export type * from "./store_timeline/types.ts";
export * from "./stream/cursor.ts";
export * from "./stream/event_order.ts";
export * from "./usage/payload.ts";
export * from "./util/hash.ts";
export * from "./util/random.ts";
export * from "./verdict/types.ts";
export * from "./verdict/verdict_table.ts";
