/**
 * Types of the check of a configuration: findings, and changes from the configuration in force.
 *
 * @module
 */

/**
 * Severity of a finding. In the fleet's configuration an error is what daemons refuse; in a routing configuration,
 * which daemons do not refuse for its content, an error is an entry that can never work.
 */
export type FindingSeverity = "error" | "warning";

/** One finding of a check. */
export interface Finding {
  severity: FindingSeverity;
  /** Name of the rule that found it. */
  rule: string;
  /** File, or the site whose configuration it is in; undefined where neither is known. */
  file: string | undefined;
  /** Line in the file, from 1; undefined where it is not known. */
  line: number | undefined;
  /** Path of the field, with dots. */
  path: string;
  /** What is wrong and what to change. */
  message: string;
}

/** A finding of one rule, before it is located in a file. */
export interface RuleFinding {
  severity: FindingSeverity;
  rule: string;
  path: readonly PropertyKey[];
  message: string;
}

/** How a part of the configuration differs from the one in force. */
export type ChangeKind = "added" | "removed" | "changed";

/** One field that differs; values of keys are hidden. */
export interface FieldChange {
  field: string;
  from: unknown;
  to: unknown;
}

/** A part of the configuration that differs from the one in force. */
export interface PartChange {
  kind: ChangeKind;
  /** Type and name of the part, such as `caller abay/desk/app`. */
  part: string;
  /** Site at which it differs; undefined where it differs in the base. */
  site: string | undefined;
  /** Fields that differ; empty where the part was added or removed. */
  fields: FieldChange[];
  /** What the change does to requests in flight. */
  inFlight: string;
}

/** Result of a check. */
export interface CheckReport {
  findings: Finding[];
  /** Changes from the configuration in force; empty where it is not known. */
  changes: PartChange[];
}
