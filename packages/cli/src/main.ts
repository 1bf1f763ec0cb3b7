/**
 * Entry point of `primrosectl`.
 *
 * @module
 */
import process from "node:process";
import { createInterface } from "node:readline";
import { run } from "./run.ts";

process.exitCode = await run(process.argv.slice(2), {
  env: process.env,
  stdin: {
    [Symbol.asyncIterator]: () =>
      createInterface({ input: process.stdin })[Symbol.asyncIterator](),
  },
  stdout: (text) => console.log(text),
  stderr: (text) => console.error(text),
});
