/**
 * Lets the test run pass over the tests that `KNOWN-RED.txt` lists, and over no others.
 *
 * An entry names its test by a line `test: <full title>`. A listed title that no test has fails the run, so that an
 * entry cannot outlive its test.
 *
 * @module
 */
import { existsSync, readFileSync } from "node:fs";
import type { Context } from "mocha";

const LIST = new URL("../../../KNOWN-RED.txt", import.meta.url);
const TEST_LINE = /^\s*test: (.+)$/gm;

/**
 * Returns the full titles of the tests that a list of known failures names.
 *
 * @example
 * ```ts
 * readTitles("a fault\n  test: streams are resumed\n"); // ["streams are resumed"]
 * ```
 */
export function readTitles(list: string): string[] {
  return [...list.matchAll(TEST_LINE)].map(([, title]) => title!.trim());
}

const titles = existsSync(LIST) ? readTitles(readFileSync(LIST, "utf8")) : [];

/** Hooks of the test runner. */
export const mochaHooks = {
  beforeEach(this: Context): void {
    const title = this.currentTest!.fullTitle();
    if (!titles.includes(title)) return;
    console.log(`\nKnown red, not run: ${title}`);
    this.skip();
  },
  beforeAll(this: Context): void {
    const root = this.test!.parent!;
    const known = new Set<string>();
    root.eachTest((test) => known.add(test.fullTitle()));
    const missing = titles.filter((title) => !known.has(title));
    if (missing.length === 0) return;
    throw new Error(
      `KNOWN-RED.txt names tests that do not exist; correct or remove: ${
        missing.join("; ")
      }`,
    );
  },
};
