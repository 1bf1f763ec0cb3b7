/**
 * Command-line tool that plays simulated deployments with a range of seeds and prints what was served by kind and size.
 *
 * @module
 */
import process from "node:process";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import {
  type BandCount,
  countBySize,
  groupBy,
  servedShareOf,
} from "./results.ts";
import { drawFaults, SCENARIOS } from "./scenarios.ts";
import { simulate, type SimulationResult } from "./simulate.ts";

/** Samples of the open groups for each printed line. */
const SAMPLES_PER_LINE = 2;

const { scenario: name, seeds, from, calm, shared, logs, timeline } =
  await yargs(hideBin(process.argv))
    .scriptName("experiment")
    .option("scenario", {
      choices: Object.keys(SCENARIOS),
      default: "competing_streams",
      describe: "Deployment to play",
    })
    .option("seeds", { type: "number", default: 1, describe: "Seeds to play" })
    .option("from", { type: "number", default: 1, describe: "First seed" })
    .option("calm", { type: "boolean", default: false, describe: "No faults" })
    .option("shared", {
      type: "boolean",
      default: false,
      describe: "Daemons share load reports and capacity",
    })
    .option("timeline", {
      type: "boolean",
      default: false,
      describe: "Print the open groups over time",
    })
    .option("logs", {
      type: "boolean",
      default: false,
      describe: "Print the log lines of all daemons",
    })
    .strict()
    .parse();

function formatBand(
  { kind, band, requests, servedShare, inTimeShare, ends }: BandCount,
): string {
  return [
    kind.padEnd(9),
    band.padEnd(14),
    String(requests).padStart(6),
    servedShare.toFixed(3),
    inTimeShare.toFixed(3),
    JSON.stringify(ends),
  ].join(" ");
}

function meanOpen({ openGroups }: SimulationResult, model: string): number {
  const counts = openGroups.map(({ byModel }) => byModel[model] ?? 0);
  return counts.reduce((sum, count) => sum + count, 0) / counts.length;
}

const scenario = SCENARIOS[name]!;
const results: SimulationResult[] = [];
for (let seed = from; seed < from + seeds; seed += 1) {
  const faults = calm ? [] : drawFaults(scenario, seed);
  const startedAt = process.hrtime.bigint();
  const result = simulate({ ...scenario, faults }, {
    seed,
    isCapacityShared: shared,
    onLog: logs
      ? ({ at, node, event, fields }) =>
        console.log(
          JSON.stringify({ at: Math.round(at), node, event, ...fields }),
        )
      : undefined,
  });
  results.push(result);
  const tookS = Number(process.hrtime.bigint() - startedAt) / 1e9;
  const models = scenario.engine.models.map(({ name }) =>
    `${name} ${meanOpen(result, name).toFixed(2)}`
  );
  console.error(
    `seed ${seed}: open groups ${
      models.join(", ")
    }; weight loads ${result.weightLoads}; violations ${result.violations.length}; took ${
      tookS.toFixed(1)
    } s`,
  );
}
/** Prints how many groups of each model serve, and the requests at the least and the most loaded one. */
function formatTimeline({ openGroups }: SimulationResult): string {
  const models = Object.keys(openGroups[0]!.byModel);
  return openGroups.filter((_, index) => index % SAMPLES_PER_LINE === 0)
    .map(({ atMs, loads }) => {
      const cells = models.map((model) => {
        const list = loads[model]!.toSorted((left, right) => left - right);
        return `${model} ${list.length} (${list[0] ?? "-"} to ${
          list.at(-1) ?? "-"
        })`;
      });
      return `${(atMs / 1_000).toFixed(0).padStart(4)} s ${cells.join(", ")}`;
    }).join("\n");
}

if (timeline) {
  for (const result of results) console.log(formatTimeline(result));
}
const records = results.flatMap((result) => result.records);
for (const count of countBySize(records)) console.log(formatBand(count));
for (const [zone, list] of groupBy(records, (record) => record.zone)) {
  console.log(`zone ${zone} ${servedShareOf(list).toFixed(3)}`);
}
