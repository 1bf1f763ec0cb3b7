/**
 * Checks a routing configuration of the gateway. Findings are reported; the configuration is never refused for them.
 *
 * @module
 */
import type { RoutingDocument } from "../gateway/fleet_types.ts";
import { findUselessColdLimits } from "./cold_start_rules.ts";
import {
  findBrokenBackends,
  findContradictingRoutes,
  findShadowedRoutes,
  findUnknownRegions,
  findUselessHedging,
  type RegionContext,
} from "./route_rules.ts";
import { compareRouting } from "./routing_changes.ts";
import { findBrokenTeams } from "./team_rules.ts";
import type { CheckReport, Finding, RuleFinding } from "./types.ts";

/** What is known beside the routing configuration. */
export interface RoutingContext extends RegionContext {
  /** Whether the settings allow hedged requests. */
  isHedging: boolean;
  /** The configuration in force; undefined where there is none. */
  inForce: RoutingDocument | undefined;
}

function* findAll(
  document: RoutingDocument,
  context: RoutingContext,
): Iterable<RuleFinding> {
  yield* findOldVersion(document, context);
  yield* findShadowedRoutes(document);
  yield* findBrokenBackends(document);
  yield* findContradictingRoutes(document);
  yield* findUnknownRegions(document, context);
  yield* findBrokenTeams(document);
  yield* findUselessColdLimits(document);
  yield* findUselessHedging(document, context);
}

function* findOldVersion(
  { version }: RoutingDocument,
  { inForce }: RoutingContext,
): Iterable<RuleFinding> {
  if (inForce === undefined || version > inForce.version) return;
  yield {
    severity: "error",
    rule: "old_version",
    path: ["version"],
    message:
      `${version} is not above ${inForce.version}, which is in force, so it is ignored; raise it`,
  };
}

/**
 * Checks a routing configuration, and compares it with the one in force.
 *
 * @example
 * ```ts
 * checkRouting(document, { inForce: undefined, regions: {}, isHedging: false }).findings;
 * ```
 */
export function checkRouting(
  document: RoutingDocument,
  context: RoutingContext,
): CheckReport {
  const findings = [...findAll(document, context)].map((
    { severity, rule, path, message },
  ): Finding => ({
    severity,
    rule,
    file: undefined,
    line: undefined,
    path: path.map(String).join("."),
    message,
  }));
  return {
    findings: findings.toSorted((left, right) =>
      Number(right.severity === "error") - Number(left.severity === "error")
    ),
    changes: context.inForce === undefined
      ? []
      : compareRouting(context.inForce, document),
  };
}
