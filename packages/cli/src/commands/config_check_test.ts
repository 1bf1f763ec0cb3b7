import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { expect } from "chai";
import { EXIT_CODES } from "../exit_codes.ts";
import { run } from "../run.ts";
import { domainSizesOf, type FileReport } from "./config_check.ts";

const UNREACHABLE_DAEMON = "http://127.0.0.1:9";
const BASE = `{
  "version": 1,
  "owners": {
    "abay": {
      "share": 1,
      "teams": { "desk": { "callers": { "app": { "keySha256": "${
  "a".repeat(64)
}" } } } }
    }
  },
  "deployments": {
    "assistant": {
      "kind": "model",
      "callers": ["abay"],
      "sites": ["bole"],
      "replicas": 2,
      "vmsPerReplica": 4
    }
  }
}`;

async function runCommand(...args: string[]) {
  const out: string[] = [];
  const errors: string[] = [];
  const code = await run([
    "config",
    ...args,
    "--daemon",
    UNREACHABLE_DAEMON,
  ], {
    env: {},
    stdin: (async function* () {})(),
    stdout: (text) => out.push(text),
    stderr: (text) => errors.push(text),
  });
  return { code, out: out.join("\n"), errors: errors.join("\n") };
}

/** Writes a base and overlays to a new directory and returns the options that name them. */
function writeFiles(base: string, overlays: Record<string, string>): string[] {
  const directory = mkdtempSync(join(tmpdir(), "primroseshed-"));
  const write = (name: string, text: string) => {
    const file = join(directory, `${name}.jsonc`);
    writeFileSync(file, text);
    return file;
  };
  const files = Object.entries(overlays).map(([site, text]) =>
    write(site, text)
  );
  return [
    "--base",
    write("base", base),
    ...files.flatMap((file) => ["--overlay", file]),
  ];
}

async function check(base: string, overlays: Record<string, string> = {}) {
  const files = writeFiles(base, overlays);
  const { code, out } = await runCommand("check", "--json", ...files);
  return { code, report: JSON.parse(out) as FileReport };
}

describe("config check", () => {
  it("exits with 0 and notes what it could not compare where no daemon can be reached", async () => {
    const { code, report } = await check(BASE, { bole: "{}" });
    expect(code).to.equal(EXIT_CODES.ok);
    expect(report.findings).to.deep.equal([]);
    expect(report.changes).to.deep.equal([]);
    expect(report.notes).to.have.length(2);
    expect(report.notes[0]).to.include(
      `Cannot reach the daemon at ${UNREACHABLE_DAEMON}`,
    );
  });

  it("exits with a code of its own for warnings only, with file and line", async () => {
    const { code, report } = await check(BASE);
    expect(code).to.equal(EXIT_CODES.warnings);
    const [{ file, ...finding }] = report.findings as [
      FileReport["findings"][0],
    ];
    expect(file).to.match(/base\.jsonc$/);
    expect(finding).to.deep.include({
      severity: "warning",
      rule: "unknown_site",
      line: 13,
      path: "deployments.assistant.sites.0",
    });
  });

  it("exits with the code of invalid files for errors, which validate gives in the same words", async () => {
    const files = writeFiles(BASE, { bole: '{\n  "polcy": {}\n}' });
    const checked = await runCommand("check", ...files);
    const validated = await runCommand("validate", ...files);
    expect(checked.code).to.equal(EXIT_CODES.invalid);
    expect(validated.code).to.equal(EXIT_CODES.invalid);
    const words = 'unknown field "polcy"; did you mean "policy"?';
    expect(checked.out).to.match(/bole\.jsonc:2: error: polcy: /)
      .and.include(words);
    expect(validated.errors).to.include(words);
  });

  it("reports all files that are not JSON, and goes on with the others", async () => {
    const { code, report } = await check(BASE.replace("bole", "suva"), {
      bole: "{",
      kality: "[",
    });
    expect(code).to.equal(EXIT_CODES.invalid);
    expect(report.findings.map(({ rule }) => rule)).to.deep.equal([
      "syntax",
      "syntax",
      "unknown_site",
    ]);
  });

  it("reports a second overlay of a site, which replaces the first", async () => {
    const first = writeFiles(BASE, { bole: "{}" });
    const second = writeFiles(BASE, { bole: "{}" }).slice(2);
    const { code, out } = await runCommand("check", ...first, ...second);
    expect(code).to.equal(EXIT_CODES.warnings);
    expect(out).to.include('for the same site "bole"');
  });

  it("prints a text that ends with the counts", async () => {
    const { out, errors } = await runCommand("check", ...writeFiles(BASE, {}));
    expect(out.split("\n").at(-1)).to.equal("0 errors, 1 warning");
    expect(errors).to.equal("The check found 0 errors, 1 warning");
  });
});

describe("engine VMs of each fabric domain", () => {
  const vm = (domain: string, role = "engine") => ({ domain, role });

  it("are counted without entry VMs and servers of services", () => {
    const vms = {
      a: vm("d1"),
      b: vm("d1"),
      c: vm("d2"),
      d: vm("d2", "entry"),
    };
    expect(domainSizesOf({ vms })).to.deep.equal([2, 1]);
  });

  it("are not known where the dump leaves VMs out or lists none, so that no replica is reported as too large", () => {
    expect(domainSizesOf({ vms: { a: vm("d1"), "(omitted)": 3 } })).to.equal(
      undefined,
    );
    expect(domainSizesOf({ vms: {} })).to.equal(undefined);
  });
});
