/**
 * Exports the command line as a library, for tests.
 *
 * @module
 */
export { run, type RunContext } from "./run.ts";
export {
  computeUsage,
  type OwnerUsage,
  type UsageFinding,
  type UsageReport,
} from "./commands/usage.ts";
export { EXIT_CODES } from "./exit_codes.ts";
