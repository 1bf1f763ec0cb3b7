/**
 * Runs benches and prints one JSON line for each figure; exits with 1 if a figure breaks its bound.
 *
 * @module
 */
import process from "node:process";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { formatFigure, isWithinBounds } from "./figure.ts";
import { BENCHES } from "./registry.ts";

const { list, only } = await yargs(hideBin(process.argv))
  .scriptName("bench")
  .option("list", { type: "boolean", default: false, describe: "List benches" })
  .option("only", { type: "string", array: true, describe: "Run only these" })
  .strict()
  .parse();

const unknown =
  only?.filter((name) => !BENCHES.some((bench) => bench.name === name)) ?? [];
if (unknown.length > 0) {
  console.error(`Cannot find these benches: ${unknown.join(", ")}; see --list`);
  process.exit(2);
}
if (list) {
  for (const { name } of BENCHES) console.log(name);
  process.exit(0);
}
let failed = 0;
for (
  const bench of BENCHES.filter(({ name }) =>
    only === undefined || only.includes(name)
  )
) {
  for (const figure of await bench.run()) {
    if (!isWithinBounds(figure)) failed += 1;
    console.log(formatFigure(figure));
  }
}
process.exit(failed > 0 ? 1 : 0);
