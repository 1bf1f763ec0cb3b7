/**
 * Implements `config check`: reports what is wrong with configuration files before they are sent, and what they change.
 *
 * @module
 */
import {
  checkConfig,
  type CheckReport,
  type ConfigDocument,
  type DocumentSources,
  type Finding,
  parseJsonc,
  type PartChange,
  type SourceText,
} from "@primroseshed/core";
import { callAny, type DaemonAccess } from "../daemon_client.ts";
import { CommandError } from "../exit_codes.ts";
import { type Output, print } from "../output.ts";
import {
  type ConfigFiles,
  type ConfigResponse,
  readConfigInForce,
  readSource,
  siteOf,
} from "./config.ts";

/** Report of `config check`, as printed with `--json`. */
export interface FileReport extends CheckReport {
  /** Offset of the configuration in force; undefined where it is not known. */
  inForceOffset: number | undefined;
  /** What could not be checked, and why. */
  notes: string[];
}

interface FilesRead {
  /** Undefined where the base is not JSON with comments. */
  document: ConfigDocument | undefined;
  sources: DocumentSources;
  /** Findings of reading the files. */
  findings: Finding[];
}

/** Part of a daemon's state dump that says which VMs there are. */
interface StateDump {
  vms: Record<string, { domain: string; role: string } | number>;
}

/** Key under which a state dump counts the entries that it leaves out. */
const OMITTED_KEY = "(omitted)";

/** A value or the reason for which it is not known. */
type Lookup<T> = { value: T; cause?: undefined } | {
  value?: undefined;
  cause: string;
};

function parse(source: SourceText, findings: Finding[]): unknown {
  const parsed = parseJsonc(source);
  if (parsed.ok) return parsed.value;
  for (const { file, line, field: path, message } of parsed.problems) {
    findings.push({
      severity: "error",
      rule: "syntax",
      file,
      line,
      path,
      message,
    });
  }
  return undefined;
}

function readFiles({ base: baseFile, overlays }: ConfigFiles): FilesRead {
  const findings: Finding[] = [];
  const baseSource = readSource(baseFile);
  const base = parse(baseSource, findings);
  const bySite: Record<string, SourceText> = {};
  const document: ConfigDocument = { base, overlays: {} };
  for (const file of overlays) {
    const source = readSource(file);
    const site = siteOf(file);
    const other = bySite[site];
    if (other !== undefined) {
      findings.push({
        severity: "warning",
        rule: "repeated_overlay",
        file,
        line: undefined,
        path: "",
        message:
          `replaces ${other.file}, which is for the same site "${site}"; leave one of them out`,
      });
    }
    bySite[site] = source;
    // A site whose overlay cannot be read is still a known site.
    document.overlays[site] = parse(source, findings) ?? {};
  }
  return {
    document: base === undefined ? undefined : document,
    sources: { base: baseSource, overlays: bySite },
    findings,
  };
}

async function lookUp<T>(call: () => Promise<T>): Promise<Lookup<T>> {
  try {
    return { value: await call() };
  } catch (error) {
    if (error instanceof CommandError) return { cause: error.message };
    throw error;
  }
}

/** Counts the engine VMs of each fabric domain; undefined where the dump lists none or leaves some out. */
export function domainSizesOf({ vms }: StateDump): number[] | undefined {
  if (vms[OMITTED_KEY] !== undefined) return undefined;
  const sizes = new Map<string, number>();
  for (const vm of Object.values(vms)) {
    if (typeof vm === "number" || vm.role !== "engine") continue;
    sizes.set(vm.domain, (sizes.get(vm.domain) ?? 0) + 1);
  }
  return sizes.size > 0 ? [...sizes.values()] : undefined;
}

/** Whether a daemon's configuration is the fleet's; a gateway daemon has a routing configuration in its place. */
function isFleetConfig(document: Partial<ConfigDocument>): boolean {
  return document.base !== undefined && document.overlays !== undefined;
}

async function readInForce(access: DaemonAccess): Promise<ConfigResponse> {
  const response = await readConfigInForce(access);
  if (response.document === undefined) {
    throw new CommandError("failed", "none is in force");
  }
  if (!isFleetConfig(response.document)) {
    throw new CommandError("failed", "the daemon has a routing configuration");
  }
  return response;
}

async function readDomainSizes(
  access: DaemonAccess,
): Promise<number[] | undefined> {
  return domainSizesOf(await callAny<StateDump>(access, "/state"));
}

function notesOf(
  inForce: Lookup<ConfigResponse>,
  domainSizes: Lookup<number[] | undefined>,
  { hasErrors }: { hasErrors: boolean },
): string[] {
  const notes: string[] = [];
  if (inForce.cause !== undefined) {
    notes.push(`Not compared with the version in force: ${inForce.cause}`);
  } else if (hasErrors) {
    notes.push("Changes are listed only once there are no errors");
  }
  if (domainSizes.value === undefined) {
    const cause = domainSizes.cause ??
      "the daemon does not list all engine VMs";
    notes.push(`Room for replicas is not checked: ${cause}`);
  }
  return notes;
}

function formatFinding(
  { severity, file, line, path, message }: Finding,
): string {
  const location = line === undefined ? file : `${file}:${line}`;
  const field = path === "" ? "" : `${path}: `;
  return `${location}: ${severity}: ${field}${message}`;
}

function formatChange(
  { kind, part, site, fields, inFlight }: PartChange,
): string {
  const where = site === undefined ? "" : ` at ${site}`;
  const lines = fields.map(({ field, from, to }) =>
    `    ${field}: ${JSON.stringify(from)} -> ${JSON.stringify(to)}`
  );
  return [
    `  ${kind} ${part}${where} (in flight: ${inFlight})`,
    ...lines,
  ].join("\n");
}

function pluralOf(count: number, noun: string): string {
  return `${count} ${noun}${count === 1 ? "" : "s"}`;
}

function countOf(findings: readonly Finding[]): string {
  const errors = findings.filter(isError).length;
  const warnings = findings.length - errors;
  return `${pluralOf(errors, "error")}, ${pluralOf(warnings, "warning")}`;
}

function formatReport(
  { findings, changes, notes, inForceOffset }: FileReport,
): string {
  const isCompared = inForceOffset !== undefined && !findings.some(isError);
  const changeLines = !isCompared ? [] : [
    `${pluralOf(changes.length, "change")} from offset ${inForceOffset}`,
    ...changes.map(formatChange),
  ];
  return [
    ...findings.map(formatFinding),
    ...changeLines,
    ...notes.map((note) => `Note: ${note}`),
    countOf(findings),
  ].join("\n");
}

/**
 * Checks configuration files, and compares them with the configuration in force where a daemon can be reached.
 *
 * @throws {CommandError} There are findings; its reason tells errors from warnings.
 */
export async function checkFiles(
  access: DaemonAccess,
  output: Output,
  { files }: { files: ConfigFiles },
): Promise<void> {
  const { document, sources, findings } = readFiles(files);
  const [inForce, domainSizes] = await Promise.all([
    lookUp(() => readInForce(access)),
    lookUp(() => readDomainSizes(access)),
  ]);
  const checked = document === undefined
    ? { findings: [], changes: [] }
    : checkConfig(document, {
      sources,
      inForce: inForce.value?.document,
      domainSizes: domainSizes.value,
    });
  const all = [...findings, ...checked.findings].toSorted(errorsFirst);
  const hasErrors = all.some(isError);
  const report: FileReport = {
    findings: all,
    changes: hasErrors ? [] : checked.changes,
    inForceOffset: inForce.value?.offset,
    notes: notesOf(inForce, domainSizes, { hasErrors }),
  };
  print(output, report, formatReport);
  throwIfFound(all);
}

function isError({ severity }: Finding): boolean {
  return severity === "error";
}

function errorsFirst(left: Finding, right: Finding): number {
  return Number(isError(right)) - Number(isError(left));
}

function throwIfFound(findings: readonly Finding[]): void {
  if (findings.length === 0) return;
  const hasErrors = findings.some(isError);
  throw new CommandError(
    hasErrors ? "invalid" : "warnings",
    `The check found ${countOf(findings)}`,
  );
}
