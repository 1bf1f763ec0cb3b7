/**
 * The daemon's command line.
 *
 * @module
 */
import process from "node:process";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { loadSettings, SettingsError } from "./settings/load.ts";
import { createDaemon } from "./wire.ts";

/** Exit codes of `primrosed`. */
const EXIT_CODES = { ok: 0, failed: 1, settings: 2 } as const;

async function main(): Promise<number> {
  const { settings: file, check } = await yargs(hideBin(process.argv))
    .scriptName("primrosed")
    .usage("$0 --settings FILE")
    .option("settings", {
      type: "string",
      demandOption: true,
      describe: "Settings file, JSON with comments",
    })
    .option("check", {
      type: "boolean",
      default: false,
      describe: "Check the settings and exit",
    })
    .strict()
    .version("0.1.0")
    .parse();
  const loaded = loadSettings(file);
  if (check) {
    console.log(`${file}: settings are valid`);
    return EXIT_CODES.ok;
  }
  const daemon = await createDaemon(loaded);
  for (const signal of ["SIGTERM", "SIGINT"] as const) {
    process.on(signal, () => daemon.stop());
  }
  process.on("SIGHUP", () => daemon.setPeerKey(loadSettings(file).peerKey));
  await daemon.stopped;
  return EXIT_CODES.ok;
}

try {
  process.exit(await main());
} catch (error) {
  const isSettings = error instanceof SettingsError;
  console.error(
    isSettings
      ? error.message
      : `Cannot run primrosed: ${(error as Error).message}`,
  );
  process.exit(isSettings ? EXIT_CODES.settings : EXIT_CODES.failed);
}
