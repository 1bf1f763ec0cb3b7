/**
 * Public interface of the daemon, for the platform's adapters, tests, benchmarks and the demo.
 *
 * @module
 */
export { createDaemon, type Daemon, type DaemonOptions } from "./wire.ts";
export {
  type Program,
  type RunningDaemon,
  runProgram,
} from "./command_line.ts";
export {
  loadDocument,
  type LoadedSettings,
  loadSettings,
  SettingsError,
} from "./settings/load.ts";
export { type Settings, settingsSchema } from "./settings/schema.ts";
export {
  CONTROL_STREAM,
  createLogClient,
  type LogClient,
  type LogPage,
  SNAPSHOT_STREAM,
} from "./log_service/log_client.ts";
export * from "./gateway/adapters.ts";
export { encodeHeaderText } from "./http/header_bytes.ts";
export { parseBackoff, parseLeaving } from "./backend/server_report.ts";
export {
  type GatewaySettingsFile,
  gatewaySettingsSchema,
  loadGatewaySettings,
} from "./gateway/settings.ts";
export { createGatewayDaemon, type GatewayDaemon } from "./gateway/wire.ts";
export { createLogger, type Logger } from "./observe/logger.ts";
export {
  type Connect,
  createAnswerAgent,
  createConnect,
  STATUS_UNDEFINED,
} from "./backend/answer_agent.ts";
export { watchReset } from "./backend/reset_watch.ts";
export { createAgents, startAttempt } from "./backend/transport.ts";
export {
  type ConnectionEvents,
  type ConnectionOptions,
  createConnection as connectPeer,
  type DropCause,
} from "./peers/connection.ts";
export { BODY_TOO_LONG, readLimited } from "./backend/limited_body.ts";
export { patientSignal } from "./driver/patient_timer.ts";
export {
  createHello,
  createProof,
  type Hello,
  type Proof,
} from "./peers/handshake.ts";
