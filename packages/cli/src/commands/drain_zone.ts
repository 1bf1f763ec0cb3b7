/**
 * Implements `drain zone`: evacuates an availability zone by a change of the fleet's configuration.
 *
 * @module
 */
import {
  checkDocument,
  type ConfigDocument,
  formatProblems,
  resolveConfig,
} from "@primroseshed/core";
import type { DaemonAccess } from "../daemon_client.ts";
import { CommandError } from "../exit_codes.ts";
import { type Output, print } from "../output.ts";
import { publishDocument, readConfigInForce } from "./config.ts";
import { diffValues } from "./diff.ts";

/** Options of {@link drainZone}. */
export interface DrainZoneOptions {
  zone: string;
  /** True where the evacuation is to be lifted. */
  isUndo: boolean;
  /** True where the change is published; otherwise it is only printed. */
  isApplied: boolean;
  author: string;
  waitMs: number;
}

type Part = { policy?: { evacuatedZones?: string[] | null } | null };

/**
 * Returns a document whose configuration evacuates a zone at every site, or at none.
 *
 * @throws {CommandError} A site would not follow, or the document has problems.
 *
 * @example
 * ```ts
 * const drained = withZone(document, { zone: "suva-a", isUndo: false });
 * ```
 */
export function withZone(
  document: ConfigDocument,
  { zone, isUndo }: Pick<DrainZoneOptions, "zone" | "isUndo">,
): ConfigDocument {
  const changed = structuredClone(document);
  setZone(changed.base as Part, { zone, isUndo });
  for (const overlay of Object.values(changed.overlays) as Part[]) {
    // A list in an overlay replaces that of the base.
    if (overlay.policy?.evacuatedZones == null) continue;
    setZone(overlay, { zone, isUndo });
  }
  const problems = checkDocument(changed);
  if (problems.length > 0) {
    throw new CommandError("invalid", formatProblems(problems));
  }
  for (const site of Object.keys(changed.overlays)) {
    const resolution = resolveConfig(changed, site);
    const isEvacuated = resolution.ok &&
      resolution.value.policy.evacuatedZones.includes(zone);
    if (isEvacuated !== isUndo) continue;
    throw new CommandError(
      "invalid",
      `Cannot change policy.evacuatedZones at site ${site}: its overlay removes the field; change the overlay first`,
    );
  }
  return changed;
}

function setZone(
  part: Part,
  { zone, isUndo }: Pick<DrainZoneOptions, "zone" | "isUndo">,
): void {
  const others = (part.policy?.evacuatedZones ?? []).filter((each) =>
    each !== zone
  );
  part.policy = {
    ...part.policy,
    evacuatedZones: isUndo ? others : [...others, zone].sort(),
  };
}

/** Prints the change of the configuration that evacuates a zone or lifts the evacuation, or publishes it. */
export async function drainZone(
  access: DaemonAccess,
  output: Output,
  { zone, isUndo, isApplied, author, waitMs }: DrainZoneOptions,
): Promise<void> {
  const { document, log, offset = 0 } = await readConfigInForce(access);
  if (document?.base === undefined || log === undefined) {
    throw new CommandError(
      "failed",
      "Cannot change the configuration: none with a policy is in force; a gateway's zones are evacuated by keys in its store",
    );
  }
  const changed = withZone(document, { zone, isUndo });
  const changes = diffValues(document, changed);
  if (isApplied && changes.length > 0) {
    return await publishDocument(access, output, {
      document: changed,
      log,
      basedOn: offset,
      author,
      waitMs,
    });
  }
  print(output, { offset, changes }, () => {
    if (changes.length === 0) return `No difference from offset ${offset}`;
    const lines = changes.map(({ path, from, to }) =>
      `${path}: ${JSON.stringify(from)} -> ${JSON.stringify(to)}`
    );
    return [...lines, "Not applied; repeat with --apply"].join("\n");
  });
}
