/**
 * Exports the command line as a library, for tests.
 *
 * @module
 */
export { run, type Surroundings } from "./run.ts";
export {
  computeUsage,
  type OwnerUse,
  type UsageFinding,
  type UsageReport,
} from "./commands/usage.ts";
export { EXIT_CODES } from "./exit_codes.ts";
