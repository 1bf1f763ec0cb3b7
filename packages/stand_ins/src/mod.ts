/**
 * Exports stand-ins for everything outside the system, for tests, benches and the demo.
 *
 * @module
 */
export * from "./callers/callers.ts";
export * from "./callers/crowd.ts";
export * from "./http/listener.ts";
export * from "./log/log_service.ts";
export * from "./vms/vm_service.ts";
export * from "./network/breakable_connect.ts";
export * from "./network/endless.ts";
export * from "./network/reset.ts";
export * from "./network/resetting_server.ts";
export * from "./engine/engine.ts";
export * from "./engine/text.ts";
export * from "./process/daemon_process.ts";
export * from "./service/lending.ts";
export * from "./demo/settings.ts";
export * from "./demo/system.ts";
