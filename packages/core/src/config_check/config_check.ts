/**
 * Checks the fleet's configuration before it is sent: what daemons refuse, entries that never match, limits that
 * contradict each other, and what differs from the configuration in force.
 *
 * @module
 */
import {
  locateField,
  type Problem,
  type SourceText,
} from "../config/problem.ts";
import { resolveConfig } from "../config/resolve.ts";
import type { Config, ConfigDocument } from "../config/types.ts";
import { compareConfig } from "./config_changes.ts";
import {
  findContradictingLimits,
  type FleetContext,
} from "./contradicting_limits.ts";
import type { CheckReport, Finding, PartChange, RuleFinding } from "./types.ts";
import { findUnmatchedEntries } from "./unmatched_entries.ts";

/** Texts that a document was read from. */
export interface DocumentSources {
  base: SourceText;
  /** Overlays by site. */
  overlays: Readonly<Record<string, SourceText>>;
}

/** What is known beside the document. */
export interface CheckContext extends Partial<FleetContext> {
  /** Locates findings in files; without it they name the site. */
  sources?: DocumentSources | undefined;
  /** The document in force; undefined where it is not known. */
  inForce?: ConfigDocument | undefined;
}

/** Rule of the findings that repeat what daemons refuse. */
const REFUSED_RULE = "refused";
/** Site of the base, as for {@link resolveConfig}. */
const BASE = "";

/**
 * Checks a document for its base and each of its sites.
 *
 * Errors are exactly the problems for which daemons refuse the document, in the same words.
 *
 * @example
 * ```ts
 * checkConfig({ base, overlays: {} }).findings; // [{ severity: "warning", rule: "team_without_keys", ... }]
 * ```
 */
export function checkConfig(
  document: ConfigDocument,
  context: CheckContext = {},
): CheckReport {
  const sites = Object.keys(document.overlays);
  const findings = [BASE, ...sites].flatMap((site) =>
    checkSite(document, site, { sites, context })
  );
  return {
    findings: removeRepeated(findings),
    changes: context.inForce === undefined
      ? []
      : compareDocuments(context.inForce, document),
  };
}

function checkSite(
  document: ConfigDocument,
  site: string,
  { sites, context }: { sites: readonly string[]; context: CheckContext },
): Finding[] {
  const name = site || "base";
  const sources = sourcesOf(site, context);
  const resolution = resolveConfig(document, site, {
    sources: sources.length > 0 ? sources : [{ file: name, text: "" }],
  });
  if (!resolution.ok) {
    return resolution.problems.map((problem) => fromProblem(problem, sources));
  }
  const { domainSizes } = context;
  return [
    ...findUnmatchedEntries(resolution.value, { sites }),
    ...findContradictingLimits(resolution.value, { domainSizes }),
  ].map((finding) => locate(finding, { name, sources }));
}

function sourcesOf(site: string, { sources }: CheckContext): SourceText[] {
  if (sources === undefined) return [];
  const overlay = sources.overlays[site];
  return overlay === undefined ? [sources.base] : [sources.base, overlay];
}

/** Keeps the words of a problem and adds its line where the problem has none. */
function fromProblem(
  { file, line, field, message }: Problem,
  sources: readonly SourceText[],
): Finding {
  const location = line === undefined
    ? locateField(sources, field.split("."))
    : undefined;
  return {
    severity: "error",
    rule: REFUSED_RULE,
    file: location?.file ?? file,
    line: line ?? location?.line,
    path: field,
    message,
  };
}

function locate(
  { severity, rule, path, message }: RuleFinding,
  { name, sources }: { name: string; sources: readonly SourceText[] },
): Finding {
  const location = locateField(sources, path);
  return {
    severity,
    rule,
    file: location?.file ?? sources.at(-1)?.file ?? name,
    line: location?.line,
    path: path.map(String).join("."),
    message,
  };
}

/** Keeps the first of the findings that say the same of the same field; most hold for the base and for each site. */
function removeRepeated(findings: readonly Finding[]): Finding[] {
  const first = new Map<string, Finding>();
  for (const finding of findings) {
    const { path, message } = finding;
    const key = JSON.stringify([path, message]);
    if (!first.has(key)) first.set(key, finding);
  }
  return [...first.values()];
}

function compareDocuments(
  inForce: ConfigDocument,
  document: ConfigDocument,
): PartChange[] {
  const sites = new Set([
    BASE,
    ...Object.keys(document.overlays),
    ...Object.keys(inForce.overlays),
  ]);
  const inBase = new Set<string>();
  return [...sites].flatMap((site) => {
    const before = resolveOrUndefined(inForce, site);
    const after = resolveOrUndefined(document, site);
    if (before === undefined || after === undefined) return [];
    const changes = compareConfig(before, after, { site: site || undefined });
    return changes.filter((change) => {
      const key = JSON.stringify({ ...change, site: undefined });
      if (site === BASE) inBase.add(key);
      return site === BASE || !inBase.has(key);
    });
  });
}

function resolveOrUndefined(
  document: ConfigDocument,
  site: string,
): Config | undefined {
  const resolution = resolveConfig(document, site);
  return resolution.ok ? resolution.value : undefined;
}
