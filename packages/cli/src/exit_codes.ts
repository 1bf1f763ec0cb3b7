/**
 * Exit codes of `primrosectl`, as documented in docs/api.md.
 *
 * @module
 */

import VError from "verror";

/** Exit codes by reason. */
export const EXIT_CODES = {
  ok: 0,
  failed: 1,
  usage: 2,
  invalid: 3,
  unreachable: 4,
  conflict: 5,
  incomplete: 6,
  warnings: 7,
} as const;

/** Reason for which a command ends. */
export type ExitReason = keyof typeof EXIT_CODES;

/** Ends a command with a message and an exit code. */
export class CommandError extends VError {
  /** Determines the exit code. */
  readonly reason: ExitReason;

  /** Creates an error that ends the command. */
  constructor(reason: ExitReason, message: string) {
    super({ name: "CommandError" }, "%s", message);
    this.reason = reason;
  }
}
