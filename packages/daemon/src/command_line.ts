/**
 * The command line that all kinds of daemons share: flags, signals and exit codes.
 *
 * @module
 */
import process from "node:process";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { SettingsError } from "./settings/load.ts";

/** Exit codes of `primrosed`. */
export const EXIT_CODES = { ok: 0, failed: 1, settings: 2 } as const;

/** A running daemon. */
export interface RunningDaemon<S> {
  /** Begins a graceful stop. */
  stop(): void;
  /** Applies changed settings. */
  reload(settings: S): void;
  /** Logs an error that nothing in the daemon has handled. */
  reportError(error: unknown): void;
  stopped: Promise<unknown>;
}

/** One kind of daemon. */
export interface Program<S> {
  /** Settings file to use if `--settings` is not given; without a default the flag is required. */
  defaultFile?: string;
  /** Reads and checks a settings file. */
  load(file: string): S;
  start(settings: S): Promise<RunningDaemon<S>>;
}

async function run<S>({ defaultFile, load, start }: Program<S>) {
  const { settings: file, check } = await yargs(hideBin(process.argv))
    .scriptName("primrosed")
    .usage("$0 --settings FILE")
    .option("settings", {
      type: "string",
      demandOption: defaultFile === undefined,
      default: defaultFile,
      describe: "Settings file, JSON with comments",
    })
    .option("check", {
      type: "boolean",
      default: false,
      describe: "Check the settings and exit",
    })
    .example("$0 --check --settings settings.jsonc", "List every problem")
    .strict()
    .version("0.1.0")
    .parse();
  const settings = load(file!);
  if (check) {
    console.log(`${file}: settings are valid`);
    return EXIT_CODES.ok;
  }
  const daemon = await start(settings);
  // Work that nothing waits for may fail; the requests of all callers must not end with it.
  process.on("unhandledRejection", (error) => daemon.reportError(error));
  for (const signal of ["SIGTERM", "SIGINT"] as const) {
    process.on(signal, () => daemon.stop());
  }
  process.on("SIGHUP", () => reload(daemon, { load, file: file! }));
  await daemon.stopped;
  return EXIT_CODES.ok;
}

/** Reloads the settings; if they cannot be used, the daemon keeps its current ones. */
function reload<S>(
  daemon: RunningDaemon<S>,
  { load, file }: { load(file: string): S; file: string },
): void {
  try {
    daemon.reload(load(file));
  } catch (error) {
    console.error(
      `Cannot apply the changed settings: ${(error as Error).message}`,
    );
  }
}

/**
 * Runs a daemon until it has stopped, then exits the process.
 *
 * @example
 * ```ts
 * runProgram({ load: loadSettings, start: createDaemon });
 * ```
 */
export function runProgram<S>(program: Program<S>): void {
  run(program).then((code) => process.exit(code), (error: Error) => {
    const isSettings = error instanceof SettingsError;
    console.error(
      isSettings ? error.message : `Cannot run primrosed: ${error.message}`,
    );
    process.exit(isSettings ? EXIT_CODES.settings : EXIT_CODES.failed);
  });
}
