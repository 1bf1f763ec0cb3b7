/**
 * Builds the command line of `primrosectl`.
 *
 * @module
 */
import yargs, { type Argv } from "yargs";
import {
  applyConfig,
  type ConfigFiles,
  diffConfig,
  showConfig,
  showHistory,
  validateConfig,
} from "./commands/config.ts";
import { checkFiles } from "./commands/config_check.ts";
import { compareConfigs } from "./commands/compare.ts";
import { drainZone } from "./commands/drain_zone.ts";
import { explain } from "./commands/explain.ts";
import { showSizes } from "./commands/sizes.ts";
import {
  drain,
  dumpStates,
  showGroups,
  showStatus,
} from "./commands/status.ts";
import { showUsage, verifyUsage } from "./commands/usage.ts";
import type { DaemonAccess } from "./daemon_client.ts";
import { addDrainOptions, DEFAULT_WAIT_MS } from "./drain_options.ts";
import { CommandError, EXIT_CODES } from "./exit_codes.ts";
import type { Output } from "./output.ts";

/** Environment and standard streams of a run, passed in so that tests need no process. */
export interface RunContext {
  env: Readonly<Record<string, string | undefined>>;
  /** Lines of standard input. */
  stdin: AsyncIterable<string>;
  stdout(text: string): void;
  stderr(text: string): void;
}

interface CommonOptions {
  daemon: string[];
  key: string;
  json: boolean;
}

const DEFAULT_DAEMONS = "http://127.0.0.1:9090,http://127.0.0.2:9090";

function addFileOptions<T>(args: Argv<T>, { required }: { required: boolean }) {
  return args
    .option("base", {
      type: "string",
      demandOption: required,
      describe: "Base file",
    })
    .option("overlay", {
      type: "string",
      array: true,
      default: [] as string[],
      describe: "Overlay files, each named after its site",
    });
}

function configFilesOf(
  { base, overlay }: { base: string | undefined; overlay: string[] },
): ConfigFiles {
  return { base: base ?? "", overlays: overlay };
}

/** Runs one command line and returns its exit code. */
export async function run(
  args: readonly string[],
  context: RunContext,
): Promise<number> {
  const { env, stdin, stdout, stderr } = context;
  const accessOf = ({ daemon, key }: CommonOptions): DaemonAccess => ({
    daemons: daemon,
    key,
  });
  const outputOf = ({ json }: CommonOptions): Output => ({
    json,
    write: stdout,
  });
  const parser = yargs([...args])
    .scriptName("primrosectl")
    .option("daemon", {
      type: "string",
      array: true,
      default: (env.PRIMROSE_DAEMONS ?? DEFAULT_DAEMONS).split(","),
      describe: "Base URLs of operator listeners, http://IP:PORT",
    })
    .option("key", {
      type: "string",
      default: env.PRIMROSE_OPERATOR_KEY ?? "",
      describe: "Operators' bearer key",
    })
    .option("json", { type: "boolean", default: false, describe: "Print JSON" })
    .command(
      "status",
      "Show the status and problems of each daemon",
      (inner) => inner,
      (argv) => showStatus(accessOf(argv), outputOf(argv)),
    )
    .command(
      "groups",
      "List replica groups and backend servers",
      (inner) => inner,
      (argv) => showGroups(accessOf(argv), outputOf(argv)),
    )
    .command(
      "dump",
      "Dump the state of each daemon",
      (inner) => inner,
      (argv) => dumpStates(accessOf(argv), outputOf(argv)),
    )
    .command(
      "drain <what> <name>",
      "Drain a daemon or a VM, or evacuate an availability zone",
      (builder) => addDrainOptions(builder as Argv<CommonOptions>, env),
      ({ what, name, undo, apply, author, waitMs, ...argv }) => {
        const access = accessOf(argv);
        if (what !== "zone") {
          return drain(access, outputOf(argv), { what, name });
        }
        return drainZone(access, outputOf(argv), {
          zone: name,
          isUndo: undo,
          isApplied: apply,
          author,
          waitMs,
        });
      },
    )
    .command(
      "explain <request>",
      "Explain what happened to a request, from log lines on standard input",
      (builder) =>
        builder
          .positional("request", { type: "string", demandOption: true })
          .example(
            "cat logs/*.jsonl | $0 explain e9801bdaa3c103bd",
            "Follow a request through the logs of all daemons",
          ),
      (argv) => explain(stdin, outputOf(argv), { id: argv.request }),
    )
    .command(
      "sizes",
      "Show how often the requests of each route were served, by size, from log lines on standard input",
      (inner) =>
        inner.example(
          "cat logs/*.jsonl | $0 sizes",
          "Compare the largest requests of each route with the others",
        ),
      (argv) => showSizes(stdin, outputOf(argv)),
    )
    .command(
      "config",
      "Manage the configuration",
      (builder) => addConfigCommands(builder as Argv<CommonOptions>),
    )
    .command(
      "usage",
      "Show and verify usage",
      (builder) => addUsageCommands(builder as Argv<CommonOptions>),
    )
    .demandCommand(1, "Specify a command; see --help")
    .example(
      "$0 --daemon http://10.1.0.40:7340 status",
      "Show the status and problems of one daemon",
    )
    .example(
      "$0 --daemon http://10.1.0.40:7340 --daemon http://10.2.0.29:7340 config compare",
      "Compare the configurations in force at two daemons",
    )
    .epilogue("Exit codes are listed in docs/api.md")
    .strict()
    .version("0.1.0")
    .exitProcess(false)
    .fail((message, error) => {
      throw error ?? new CommandError("usage", message);
    });

  function addConfigCommands(builder: Argv<CommonOptions>) {
    return builder
      .command(
        "validate",
        "Validate configuration files",
        (inner) => addFileOptions(inner, { required: true }),
        (argv) => validateConfig(configFilesOf(argv), outputOf(argv)),
      )
      .command(
        "check",
        "Check configuration files: errors, entries that never match, contradicting limits, and changes from the version in force",
        (inner) => addFileOptions(inner, { required: true }),
        (argv) =>
          checkFiles(accessOf(argv), outputOf(argv), {
            files: configFilesOf(argv),
          }),
      )
      .command(
        "show",
        "Show the configuration in force, or that of files, as a whole or merged for a site",
        (inner) =>
          addFileOptions(inner, { required: false }).option("site", {
            type: "string",
          }),
        (argv) =>
          showConfig(accessOf(argv), outputOf(argv), {
            site: argv.site,
            files: argv.base === undefined ? undefined : configFilesOf(argv),
          }),
      )
      .command(
        "diff",
        "Compare files with the configuration in force",
        (inner) => addFileOptions(inner, { required: true }),
        (argv) =>
          diffConfig(accessOf(argv), outputOf(argv), {
            files: configFilesOf(argv),
          }),
      )
      .command(
        "apply",
        "Publish a configuration and wait until every daemon has it in force",
        (inner) =>
          addFileOptions(inner, { required: true })
            .option("author", {
              type: "string",
              default: env.USER ?? "operator",
            })
            .option("based-on", {
              type: "number",
              describe:
                "Offset of the configuration that the change is based on",
            })
            .option("wait-ms", { type: "number", default: DEFAULT_WAIT_MS }),
        (argv) =>
          applyConfig(accessOf(argv), outputOf(argv), {
            files: configFilesOf(argv),
            author: argv.author,
            basedOn: argv.basedOn,
            waitMs: argv.waitMs,
          }),
      )
      .command(
        "compare",
        "Show the configuration in force at each daemon, its age, and the differences",
        (inner) => inner,
        (argv) => compareConfigs(accessOf(argv), outputOf(argv)),
      )
      .command(
        "history",
        "List accepted configurations",
        (inner) => inner,
        (argv) => showHistory(accessOf(argv), outputOf(argv)),
      )
      .demandCommand(1, "Specify a config command; see --help");
  }

  function addUsageCommands(builder: Argv<CommonOptions>) {
    return builder
      .command(
        "show",
        "Show usage by owner",
        (inner) =>
          inner.option("csv", {
            type: "boolean",
            default: false,
            describe: "Print CSV",
          }),
        (argv) => showUsage(accessOf(argv), outputOf(argv), argv),
      )
      .command(
        "verify",
        "Verify signatures and sequence numbers of usage records",
        (inner) => inner,
        (argv) => verifyUsage(accessOf(argv), outputOf(argv)),
      )
      .demandCommand(1, "Specify a usage command; see --help");
  }

  try {
    await parser.parseAsync();
    return EXIT_CODES.ok;
  } catch (error) {
    stderr(error instanceof Error ? error.message : String(error));
    return error instanceof CommandError
      ? EXIT_CODES[error.reason]
      : EXIT_CODES.usage;
  }
}
