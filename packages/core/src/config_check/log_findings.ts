/**
 * Logs the findings of a routing configuration that comes into force.
 *
 * @module
 */
import type { RoutingDocument } from "../gateway/fleet_types.ts";
import type { Effects } from "../reduce_types.ts";
import { compareRouting } from "./routing_changes.ts";
import { checkRouting, type RoutingContext } from "./routing_check.ts";
import type { Finding } from "./types.ts";

/** Findings that the log line names; it counts the others. */
const LOGGED_FINDINGS = 3;
/** Longest text of a finding in the log line, characters. */
const MAX_FINDING_CHARS = 240;

function describe({ severity, path, message }: Finding): string {
  return `${severity}: ${path}: ${message}`.slice(0, MAX_FINDING_CHARS);
}

/** Checks a routing configuration and logs one line if there are findings. */
export function* logFindings(
  document: RoutingDocument,
  context: RoutingContext,
): Effects {
  const { inForce } = context;
  // The comparison is left out where nothing is logged, since it visits every part of both versions.
  const { findings } = checkRouting(document, {
    ...context,
    inForce: undefined,
  });
  if (findings.length === 0) return;
  const errors = findings.filter(({ severity }) => severity === "error").length;
  yield {
    kind: "log",
    event: "config_findings",
    fields: {
      version: document.version,
      errors,
      warnings: findings.length - errors,
      changes: inForce && compareRouting(inForce, document).length,
      first: findings.slice(0, LOGGED_FINDINGS).map(describe).join(" | "),
    },
  };
}
