import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { EXIT_CODES, run } from "@primroseshed/cli";
import type { CheckReport } from "@primroseshed/core";
import type { System } from "@primroseshed/stand_ins";
import { expect } from "chai";
import { startTestSystem } from "./fixture.ts";

interface TestBase {
  deployments: Record<string, Record<string, unknown>>;
}

describe("config check against running daemons", () => {
  let system: System;
  before(async () => system = await startTestSystem());
  after(() => system.kill());

  async function check(change: (base: TestBase) => void) {
    const { document } = system.daemons[0]!.state.acceptedConfig!;
    const base = structuredClone(document.base) as TestBase;
    change(base);
    const directory = mkdtempSync(join(tmpdir(), "primroseshed-"));
    const write = (name: string, value: unknown) => {
      const file = join(directory, `${name}.jsonc`);
      writeFileSync(file, JSON.stringify(value));
      return file;
    };
    const overlays = Object.entries(document.overlays).flatMap((
      [site, overlay],
    ) => ["--overlay", write(site, overlay)]);
    const out: string[] = [];
    const errors: string[] = [];
    const code = await run([
      "config",
      "check",
      "--json",
      "--base",
      write("base", base),
      ...overlays,
      "--daemon",
      system.daemons[0]!.addresses.operators,
      "--key",
      "demo-operator-key",
    ], {
      env: {},
      stdin: (async function* () {})(),
      stdout: (text) => out.push(text),
      stderr: (text) => errors.push(text),
    });
    const report = JSON.parse(out.join("\n")) as CheckReport & {
      notes: string[];
    };
    return { code, ...report };
  }

  it("finds nothing in the configuration in force, and no change", async () => {
    const { code, findings, changes, notes } = await check(() => undefined);
    expect({ code, findings, changes, notes }).to.deep.equal({
      code: EXIT_CODES.ok,
      findings: [],
      changes: [],
      notes: [],
    });
  });

  it("lists a change by its meaning, and more replicas than the listed VMs have room for", async () => {
    const { code, findings, changes } = await check(({ deployments }) =>
      deployments.assistant!.replicas = 900
    );
    expect(code).to.equal(EXIT_CODES.warnings);
    expect(findings.map(({ rule }) => rule)).to.deep.equal([
      "too_many_replicas",
    ]);
    expect(changes.map(({ kind, part }) => `${kind} ${part}`)).to.deep.equal([
      "changed deployment assistant (model)",
    ]);
  });
});
