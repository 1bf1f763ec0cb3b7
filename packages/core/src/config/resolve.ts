/**
 * Resolves configuration texts and documents into the configuration in force at a site.
 *
 * @module
 */
import { apply as applyMergePatch } from "json-merge-patch";
import { parse, type ParseError, printParseErrorCode } from "jsonc-parser";
import * as z from "zod";
import {
  describeIssues,
  formatProblem,
  lineAt,
  type Problem,
  type SourceText,
} from "./problem.ts";
import { configSchema } from "./schema.ts";
import type { Config, ConfigDocument, Principal } from "./types.ts";

/** A value, or the problems that keep it from being used. */
export type Resolution<T> = { ok: true; value: T } | {
  ok: false;
  problems: Problem[];
};

/**
 * Parses JSON with comments.
 *
 * @example
 * ```ts
 * parseJsonc({ file: "a.jsonc", text: "{ /* one *\/ \"a\": 1 }" }); // { ok: true, value: { a: 1 } }
 * ```
 */
export function parseJsonc(source: SourceText): Resolution<unknown> {
  const errors: ParseError[] = [];
  const value: unknown = parse(source.text, errors, {
    allowTrailingComma: true,
  });
  const first = errors[0];
  if (first === undefined) return { ok: true, value };
  const message = `not JSON with comments (${
    printParseErrorCode(first.error)
  }); fix the syntax here`;
  const problem = {
    file: source.file,
    line: lineAt(source.text, first.offset),
    field: "",
    message,
  };
  return { ok: false, problems: [problem] };
}

/** Checks a value against a schema and locates each problem in the sources that the value came from. */
export function checkSchema<S extends z.ZodType>(
  schema: S,
  value: unknown,
  { sources }: { sources: readonly SourceText[] },
): Resolution<z.output<S>> {
  const result = schema.safeParse(value);
  if (result.success) return { ok: true, value: result.data };
  return {
    ok: false,
    problems: describeIssues(result.error.issues, { schema, value, sources }),
  };
}

function crossCheck(config: Config, sources: readonly SourceText[]): Problem[] {
  const problems: Problem[] = [];
  const file = sources.at(-1)?.file ?? "config";
  const floors = Object.values(config.ranks).reduce(
    (sum, rank) => sum + rank.floor,
    0,
  );
  if (floors > 1) {
    const message =
      `floors of all ranks sum to ${floors}; lower them to at most 1`;
    problems.push({ file, line: undefined, field: "ranks", message });
  }
  for (const [name, deployment] of Object.entries(config.deployments)) {
    for (const pattern of deployment.callers) {
      const owner = pattern.split("/")[0] ?? "";
      if (config.owners[owner]) continue;
      const message = `"${pattern}" names no owner; use one of: ${
        Object.keys(config.owners).join(", ")
      }`;
      problems.push({
        file,
        line: undefined,
        field: `deployments.${name}.callers`,
        message,
      });
    }
  }
  problems.push(...duplicateKeys(config, file));
  return problems;
}

function duplicateKeys(config: Config, file: string): Problem[] {
  const seen = new Map<string, string>();
  const problems: Problem[] = [];
  for (const { principal, keySha256 } of listCallers(config)) {
    const field =
      `owners.${principal.owner}.teams.${principal.team}.callers.${principal.caller}.keySha256`;
    const first = seen.get(keySha256);
    seen.set(keySha256, field);
    if (first === undefined) continue;
    problems.push({
      file,
      line: undefined,
      field,
      message: `is the same key as ${first}; give each caller its own`,
    });
  }
  return problems;
}

/** Lists every caller of a configuration with the hash of its key. */
export function listCallers(
  config: Config,
): { principal: Principal; keySha256: string }[] {
  return Object.entries(config.owners).flatMap(([owner, { teams }]) =>
    Object.entries(teams).flatMap(([team, { callers }]) =>
      Object.entries(callers).map(([caller, { keySha256 }]) => ({
        principal: { owner, team, caller },
        keySha256,
      }))
    )
  );
}

/**
 * Resolves a document for one site: base, then that site's overlay as a JSON merge patch.
 *
 * @example
 * ```ts
 * const resolution = resolveConfig({ base, overlays: { "suva-a": {} } }, "suva-a");
 * if (resolution.ok) resolution.value.policy.betweenTokensMs; // 29
 * ```
 */
export function resolveConfig(
  document: ConfigDocument,
  site: string,
  { sources = [] }: { sources?: readonly SourceText[] } = {},
): Resolution<Config> {
  const overlay = document.overlays[site] ?? {};
  const merged: unknown = applyMergePatch(
    structuredClone(document.base) as object,
    structuredClone(overlay) as object,
  );
  const checked = checkSchema(configSchema, merged, { sources });
  if (!checked.ok) return checked;
  const problems = crossCheck(checked.value, sources);
  return problems.length > 0 ? { ok: false, problems } : checked;
}

/** Resolves a document for its base and each of its sites, and returns all problems. */
export function checkDocument(document: ConfigDocument): Problem[] {
  const sites = ["", ...Object.keys(document.overlays)];
  return sites.flatMap((site) => {
    const resolution = resolveConfig(document, site, {
      sources: [{ file: site || "base", text: "{}" }],
    });
    return resolution.ok ? [] : resolution.problems;
  });
}

/** Joins problems into one message. */
export function formatProblems(problems: readonly Problem[]): string {
  return problems.map(formatProblem).join("\n");
}
