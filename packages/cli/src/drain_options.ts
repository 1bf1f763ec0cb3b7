/**
 * Declares the arguments and options of `drain`.
 *
 * @module
 */
import type { Argv } from "yargs";
import { CommandError } from "./exit_codes.ts";

/** Time within which a change is expected to be in force at every daemon, ms. */
export const DEFAULT_WAIT_MS = 16_000;

/** Adds the arguments and options of `drain`. */
export function addDrainOptions<T>(
  builder: Argv<T>,
  env: Readonly<Record<string, string | undefined>>,
) {
  return builder
    .positional("what", {
      choices: ["node", "vm", "zone"] as const,
      demandOption: true,
    })
    .positional("name", { type: "string", demandOption: true })
    .option("undo", {
      type: "boolean",
      default: false,
      describe: "Lift the evacuation of a zone",
    })
    .option("apply", {
      type: "boolean",
      default: false,
      describe: "Publish the change for a zone instead of printing it",
    })
    .option("author", {
      type: "string",
      default: env.USER ?? "operator",
      describe: "Author of the change for a zone",
    })
    .option("wait-ms", { type: "number", default: DEFAULT_WAIT_MS })
    .check(({ what, undo, apply }) => {
      if (what === "zone" || !(undo || apply)) return true;
      throw new CommandError("usage", "--undo and --apply need drain zone");
    });
}
