import { readdirSync, readFileSync } from "node:fs";
import { dirname, join, normalize } from "node:path";
import { fileURLToPath } from "node:url";
import { expect } from "chai";

const SOURCE = join(
  dirname(fileURLToPath(import.meta.url)),
  "..",
  "src",
);
const IMPORT = /from "(\.[^"]+)"/g;

function listModules(): string[] {
  return readdirSync(SOURCE, { recursive: true, encoding: "utf8" })
    .filter((file) => file.endsWith(".ts") && !file.endsWith("_test.ts"));
}

function importsOf(file: string): string[] {
  const text = readFileSync(join(SOURCE, file), "utf8");
  return [...text.matchAll(IMPORT)].map(([, path]) =>
    normalize(join(dirname(file), path!))
  );
}

/** Returns an import cycle, or undefined if there is none. */
function findImportCycle(modules: readonly string[]): string[] | undefined {
  const imports = new Map(modules.map((file) => [file, importsOf(file)]));
  const done = new Set<string>();
  const path: string[] = [];

  function visit(file: string): string[] | undefined {
    if (path.includes(file)) return [...path.slice(path.indexOf(file)), file];
    if (done.has(file)) return undefined;
    path.push(file);
    for (const next of imports.get(file) ?? []) {
      const cycle = visit(next);
      if (cycle !== undefined) return cycle;
    }
    path.pop();
    done.add(file);
    return undefined;
  }

  for (const file of modules) {
    const cycle = visit(file);
    if (cycle !== undefined) return cycle;
  }
  return undefined;
}

describe("modules of the core", () => {
  it("have no import cycles", () => {
    const modules = listModules();
    expect(modules).to.include("reduce.ts");
    expect(findImportCycle(modules)).to.equal(undefined);
  });
});
