/**
 * Implements `config validate|show|diff|apply|history`.
 *
 * @module
 */
import { randomUUID } from "node:crypto";
import { readFileSync } from "node:fs";
import { basename, extname } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import {
  checkDocument,
  type ConfigDocument,
  type ConfigHistoryEntry,
  formatProblems,
  parseJsonc,
  type Resolution,
  resolveConfig,
  type SourceText,
  SUPPORTED_LEVEL,
} from "@primroseshed/core";
import { callAll, callAny, type DaemonAccess } from "../daemon_client.ts";
import { CommandError } from "../exit_codes.ts";
import { appendRecord, readLog } from "../log_access.ts";
import { formatTable, type Output, print } from "../output.ts";
import { diffValues } from "./diff.ts";

/** Files of a configuration. */
export interface ConfigFiles {
  base: string;
  overlays: string[];
}

/** Configuration in force at a daemon. */
export interface ConfigResponse {
  node: string;
  offset?: number;
  document?: ConfigDocument;
  history: ConfigHistoryEntry[];
  log: string;
}

const WAIT_POLL_MS = 100;

/**
 * Reads a file of a configuration.
 *
 * @throws {CommandError} The file cannot be read.
 */
export function readSource(file: string): SourceText {
  try {
    return { file, text: readFileSync(file, "utf8") };
  } catch (error) {
    throw new CommandError(
      "invalid",
      `Cannot read ${file}: ${(error as Error).message}`,
    );
  }
}

function unwrap<T>(resolution: Resolution<T>): T {
  if (resolution.ok) return resolution.value;
  throw new CommandError("invalid", formatProblems(resolution.problems));
}

/** Returns the site of an overlay: its file name without the extension. */
export function siteOf(file: string): string {
  return basename(file, extname(file));
}

/** Reads and validates a base file and overlays; the site of an overlay is its file name without the extension. */
export function readDocument({ base, overlays }: ConfigFiles): ConfigDocument {
  const baseSource = readSource(base);
  const document: ConfigDocument = {
    base: unwrap(parseJsonc(baseSource)),
    overlays: {},
  };
  unwrap(resolveConfig(document, "", { sources: [baseSource] }));
  for (const file of overlays) {
    const source = readSource(file);
    const site = siteOf(file);
    document.overlays[site] = unwrap(parseJsonc(source));
    unwrap(resolveConfig(document, site, { sources: [baseSource, source] }));
  }
  const problems = checkDocument(document);
  if (problems.length > 0) {
    throw new CommandError("invalid", formatProblems(problems));
  }
  return document;
}

/** Validates configuration files; fails with a list of their problems. */
export function validateConfig(files: ConfigFiles, output: Output): void {
  const document = readDocument(files);
  const sites = Object.keys(document.overlays);
  print(
    output,
    { valid: true, sites },
    () => `Valid for the base and ${sites.length} sites: ${sites.join(", ")}`,
  );
}

/** Returns the configuration in force at the first daemon that responds. */
export async function readConfigInForce(
  access: DaemonAccess,
): Promise<ConfigResponse> {
  return await callAny<ConfigResponse>(access, "/config");
}

/** Shows the configuration in force, or files, as merged for a site. */
export async function showConfig(
  access: DaemonAccess,
  output: Output,
  { site, files }: { site: string | undefined; files: ConfigFiles | undefined },
): Promise<void> {
  const document = files
    ? readDocument(files)
    : (await readConfigInForce(access)).document;
  if (document === undefined) {
    throw new CommandError(
      "failed",
      "Cannot show a configuration: none is in force",
    );
  }
  if (site === undefined) {
    return output.write(JSON.stringify(document, null, 2));
  }
  output.write(JSON.stringify(unwrap(resolveConfig(document, site)), null, 2));
}

/** Shows how files differ from the configuration in force. */
export async function diffConfig(
  access: DaemonAccess,
  output: Output,
  { files }: { files: ConfigFiles },
): Promise<void> {
  const document = readDocument(files);
  const inForce = await readConfigInForce(access);
  const changes = diffValues(inForce.document ?? {}, document);
  print(
    output,
    { offset: inForce.offset, changes },
    () =>
      changes.length === 0
        ? `No difference from offset ${inForce.offset}`
        : changes.map(({ path, from, to }) =>
          `${path}: ${JSON.stringify(from)} -> ${JSON.stringify(to)}`
        ).join("\n"),
  );
}

/** Shows accepted configurations, newest first. */
export async function showHistory(
  access: DaemonAccess,
  output: Output,
): Promise<void> {
  const { history } = await readConfigInForce(access);
  const newest = history.toReversed();
  print(output, newest, (entries) =>
    formatTable(
      ["offset", "accepted", "author"],
      entries.map((
        { offset, at, author },
      ) => [offset, new Date(at).toISOString(), author]),
    ));
}

/** Options of {@link applyConfig}. */
export interface ApplyOptions {
  files: ConfigFiles;
  author: string;
  /** Offset of the configuration that the change is based on; the one in force by default. */
  basedOn: number | undefined;
  waitMs: number;
}

/** Publishes a configuration and waits until every daemon has it in force. */
export async function applyConfig(
  access: DaemonAccess,
  output: Output,
  { files, author, basedOn, waitMs }: ApplyOptions,
): Promise<void> {
  const document = readDocument(files);
  const { log, offset: inForce = 0 } = await readConfigInForce(access);
  await publishDocument(access, output, {
    document,
    log,
    basedOn: basedOn ?? inForce,
    author,
    waitMs,
  });
}

/** Publishes a document that was checked, and waits until every daemon has it in force. */
export async function publishDocument(
  access: DaemonAccess,
  output: Output,
  { document, log, basedOn: baseOffset, author, waitMs }: {
    document: ConfigDocument;
    /** URL of the log service. */
    log: string;
    basedOn: number;
    author: string;
    waitMs: number;
  },
): Promise<void> {
  const id = `primrosectl/${randomUUID()}`;
  await appendRecord(log, {
    type: "config",
    basedOn: baseOffset,
    document,
    author,
    id,
    level: SUPPORTED_LEVEL,
  });
  const offset = await findAcceptedOffset(log, id, baseOffset);
  const nodes = await waitUntilInForce(access, { offset, waitMs });
  const lagging = nodes.filter(({ offset: seen }) => (seen ?? -1) < offset);
  print(
    output,
    { offset, inForce: lagging.length === 0, nodes },
    () =>
      `Accepted at offset ${offset}\n${
        formatTable(
          ["daemon", "offset"],
          nodes.map((node) => [node.daemon, node.offset]),
        )
      }`,
  );
  if (lagging.length > 0) {
    const names = lagging.map(({ daemon }) => daemon).join(", ");
    throw new CommandError(
      "incomplete",
      `Accepted at offset ${offset}, but not yet in force at: ${names}`,
    );
  }
}

async function findAcceptedOffset(
  log: string,
  id: string,
  basedOn: number,
): Promise<number> {
  const { records, fold } = await readLog(log);
  const own = records.find(({ stored }) => stored.record.id === id);
  if (own?.result.accepted) return own.stored.offset;
  if (own?.result.accepted === false && own.result.cause === "stale_base") {
    const conflict =
      `offset ${fold.config?.offset} by ${fold.config?.author} was accepted first`;
    throw new CommandError(
      "conflict",
      `Cannot apply a change based on offset ${basedOn}: ${conflict}; review the difference with config diff and apply again`,
    );
  }
  const detail = own?.result.accepted === false
    ? own.result.detail ?? own.result.cause
    : "it is not in the log";
  throw new CommandError("failed", `Cannot apply the configuration: ${detail}`);
}

async function waitUntilInForce(
  access: DaemonAccess,
  { offset, waitMs }: { offset: number; waitMs: number },
): Promise<{ daemon: string; offset: number | undefined }[]> {
  const deadline = performance.now() + waitMs;
  while (true) {
    const results = await callAll<ConfigResponse>(access, "/config");
    const nodes = results.map((result) => ({
      daemon: result.daemon,
      offset: result.ok ? result.value.offset : undefined,
    }));
    const isDone = nodes.every(({ offset: seen }) => (seen ?? -1) >= offset);
    if (isDone || performance.now() >= deadline) return nodes;
    await sleep(WAIT_POLL_MS);
  }
}
