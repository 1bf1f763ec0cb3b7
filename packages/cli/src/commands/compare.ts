/**
 * Implements `config compare`: shows the configuration in force at each daemon, how long ago it was confirmed as
 * current, and where daemons differ.
 *
 * @module
 */
import {
  callAll,
  type DaemonAccess,
  throwIfAnyFailed,
} from "../daemon_client.ts";
import { CommandError } from "../exit_codes.ts";
import { formatTable, type Output, print } from "../output.ts";
import { type Change, diffValues } from "./diff.ts";

/** Configuration in force at one daemon. */
export interface ConfigInForce {
  daemon: string;
  /** Offset or version of the configuration. */
  offset?: number;
  /** Time since the configuration was last confirmed as current, ms. */
  ageMs?: number | null;
  document?: unknown;
}

/** A daemon whose configuration differs from the newest one. */
export interface Difference {
  daemon: string;
  offset: number | undefined;
  changes: Change[];
}

/**
 * Compares each daemon with the one that has the newest configuration.
 *
 * @example
 * ```ts
 * findDifferences([{ daemon: "a", offset: 1, document: {} }]); // []
 * ```
 */
export function findDifferences(
  daemons: readonly ConfigInForce[],
): Difference[] {
  const newest = daemons.reduce<ConfigInForce | undefined>(
    (best, daemon) =>
      (daemon.offset ?? -1) > (best?.offset ?? -1) ? daemon : best,
    undefined,
  );
  if (newest === undefined) return [];
  return daemons.flatMap(({ daemon, offset, document }) => {
    const changes = diffValues(document ?? {}, newest.document);
    return changes.length === 0 ? [] : [{ daemon, offset, changes }];
  });
}

function formatDifference({ daemon, offset, changes }: Difference): string {
  const head = `${daemon} (offset ${
    offset ?? "none"
  }) differs from the newest:`;
  const lines = changes.map(({ path, from, to }) =>
    `  ${path}: ${JSON.stringify(from)} -> ${JSON.stringify(to)}`
  );
  return [head, ...lines].join("\n");
}

/** Shows the configuration in force at each daemon, and fails if daemons differ. */
export async function compareConfigs(
  access: DaemonAccess,
  output: Output,
): Promise<void> {
  const results = await callAll<Omit<ConfigInForce, "daemon">>(
    access,
    "/config",
  );
  const daemons = results.flatMap((result) =>
    result.ok ? [{ ...result.value, daemon: result.daemon }] : []
  );
  const differences = findDifferences(daemons);
  const rows = daemons.map(({ daemon, offset, ageMs }) => [
    daemon,
    offset,
    ageMs === undefined || ageMs === null ? undefined : Math.round(ageMs),
  ]);
  print(
    output,
    {
      daemons: daemons.map(({ daemon, offset, ageMs }) => ({
        daemon,
        offset,
        ageMs,
      })),
      differences,
    },
    () =>
      [
        formatTable(["daemon", "offset", "age ms"], rows),
        ...differences.map(formatDifference),
      ].join("\n\n"),
  );
  throwIfAnyFailed(results);
  if (differences.length > 0) {
    const names = differences.map(({ daemon }) => daemon).join(", ");
    throw new CommandError(
      "incomplete",
      `The newest configuration is not yet in force at: ${names}`,
    );
  }
}
