/**
 * Loads a daemon's settings and the configuration files that they refer to.
 *
 * @module
 */
import { readFileSync } from "node:fs";
import { dirname, resolve } from "node:path";
import {
  checkDocument,
  checkSchema,
  type ConfigDocument,
  formatProblems,
  parseJsonc,
  type Problem,
  type Resolution,
  resolveConfig,
  type SourceText,
} from "@primroseshed/core";
import VError from "verror";
import { type Settings, settingsSchema } from "./schema.ts";

/** Settings with the contents of the files that they refer to. */
export interface LoadedSettings {
  settings: Settings;
  document: ConfigDocument;
  peerKey: string;
  usageKey: string | undefined;
}

/** Thrown when settings cannot be used; its message lists every problem. */
export class SettingsError extends VError {
  /** All problems of the settings. */
  readonly problems: readonly Problem[];

  /** Creates an error that lists all problems. */
  constructor(problems: readonly Problem[]) {
    super(
      { name: "SettingsError" },
      "%s",
      `Cannot use the settings:\n${formatProblems(problems)}`,
    );
    this.problems = problems;
  }
}

function readSource(file: string, field: string): SourceText {
  try {
    return { file, text: readFileSync(file, "utf8") };
  } catch (error) {
    const message = `cannot read this file (${
      (error as NodeJS.ErrnoException).code
    }); check the path`;
    throw new SettingsError([{ file, line: undefined, field, message }]);
  }
}

function unwrap<T>(resolution: Resolution<T>): T {
  if (!resolution.ok) throw new SettingsError(resolution.problems);
  return resolution.value;
}

function parseFile(
  file: string,
  field: string,
): { source: SourceText; value: unknown } {
  const source = readSource(file, field);
  return { source, value: unwrap(parseJsonc(source)) };
}

/** Loads a base file and its overlays into one document and checks it for every site. */
export function loadDocument(
  base: string,
  overlays: Readonly<Record<string, string>>,
): ConfigDocument {
  const baseFile = parseFile(base, "config.base");
  const document: ConfigDocument = { base: baseFile.value, overlays: {} };
  unwrap(resolveConfig(document, "", { sources: [baseFile.source] }));
  for (const [site, file] of Object.entries(overlays)) {
    const overlay = parseFile(file, `config.overlays.${site}`);
    document.overlays[site] = overlay.value;
    unwrap(
      resolveConfig(document, site, {
        sources: [baseFile.source, overlay.source],
      }),
    );
  }
  const problems = checkDocument(document);
  if (problems.length > 0) throw new SettingsError(problems);
  return document;
}

/**
 * Loads a daemon's settings file.
 *
 * @throws {SettingsError} The settings are unusable; the message names file, line, field, value and what to change.
 * @example
 * ```ts
 * const { settings, document } = loadSettings("examples/tavua/node.jsonc");
 * ```
 */
export function loadSettings(file: string): LoadedSettings {
  const { source, value } = parseFile(file, "settings");
  const settings = unwrap(
    checkSchema(settingsSchema, value, { sources: [source] }),
  );
  const resolvePath = (path: string) => resolve(dirname(file), path);
  const overlays = Object.fromEntries(
    Object.entries(settings.config.overlays).map((
      [site, path],
    ) => [site, resolvePath(path)]),
  );
  const document = loadDocument(resolvePath(settings.config.base), overlays);
  const { peerKeyFile, usageKeyFile } = settings.secrets;
  return {
    settings,
    document,
    peerKey: readSource(resolvePath(peerKeyFile), "secrets.peerKeyFile").text
      .trim(),
    usageKey: usageKeyFile &&
      readSource(resolvePath(usageKeyFile), "secrets.usageKeyFile").text,
  };
}
