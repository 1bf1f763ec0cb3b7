import { mkdtempSync, readFileSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { dumpState, LOG_EVENTS } from "@primroseshed/core";
import { loadSettings, SettingsError } from "@primroseshed/daemon";
import { EXIT_CODES, run } from "@primroseshed/cli";
import { hashKey, type System } from "@primroseshed/stand_ins";
import { expect } from "chai";
import { startTestSystem } from "./fixture.ts";

const EXAMPLE_OWNERS = ["tavua", "abay"];

function loadErrorMessage(file: string): string {
  try {
    loadSettings(file);
    return "";
  } catch (error) {
    if (error instanceof SettingsError) return error.message;
    throw error;
  }
}

function writeChangedExample(
  change: (text: string) => string,
  part: "node" | "base" = "node",
): string {
  const folder = mkdtempSync(join(tmpdir(), "primroseshed-"));
  for (const name of ["node.jsonc", "base.jsonc", "peer.key"]) {
    const text = readFileSync(join("examples/tavua", name), "utf8")
      .replace(/"overlays": \{[^}]*\}/, '"overlays": {}');
    writeFileSync(
      join(folder, name),
      name === `${part}.jsonc` ? change(text) : text,
    );
  }
  return join(folder, "node.jsonc");
}

describe("settings", () => {
  for (const owner of EXAMPLE_OWNERS) {
    it(`loads the example of ${owner} for each of its sites`, () => {
      const { document } = loadSettings(`examples/${owner}/node.jsonc`);
      expect(Object.keys(document.overlays).length).to.equal(3);
    });
  }

  const ROWS: {
    name: string;
    part?: "base";
    change(text: string): string;
    messagePattern: RegExp;
  }[] = [
    {
      name: "an unknown field",
      change: (text) => text.replace('"platform"', '"platfrom"'),
      messagePattern:
        /node\.jsonc:\d+: platfrom: unknown field "platfrom"; did you mean "platform"\?/,
    },
    {
      name: "a value of the wrong type",
      change: (text) =>
        text.replace('"balancerLagMs": 1500', '"balancerLagMs": "soon"'),
      messagePattern:
        /node\.jsonc:\d+: timing\.balancerLagMs: "soon" is not valid/,
    },
    {
      name: "a host name in place of an IP address",
      change: (text) =>
        text.replace("http://10.20.0.5:7000", "http://log.example:7000"),
      messagePattern:
        /platform\.log: "http:\/\/log\.example:7000" is not valid: .*must be http:\/\/IP:PORT/,
    },
    {
      name: "broken syntax",
      change: (text) => text.replace('"listen": {', '"listen" {'),
      messagePattern: /:\d+: .*not JSON with comments/,
    },
    {
      name: "a missing file",
      change: (text) => text.replace("peer.key", "other.key"),
      messagePattern: /cannot read this file \(ENOENT\)/,
    },
    {
      name: "a misspelt field of the base file",
      part: "base",
      change: (text) => text.replace('"replicas"', '"replica"'),
      messagePattern:
        /base\.jsonc:\d+: deployments\.assistant\.replica: unknown field "replica"; did you mean "replicas"\?/,
    },
    {
      name: "floors that sum to more than one",
      part: "base",
      change: (text) => text.replace('"floor": 0.05', '"floor": 0.95'),
      messagePattern: /floors of all ranks sum to/,
    },
    {
      name: "a deployment for an owner that does not exist",
      part: "base",
      change: (text) =>
        text.replace(
          '"callers": ["tavua"],\n      "replicas"',
          '"callers": ["tavau"],\n      "replicas"',
        ),
      messagePattern: /"tavau" names no owner; use one of: tavua/,
    },
  ];
  for (const { name, part, change, messagePattern } of ROWS) {
    it(`reports the file, line and field of ${name}`, () => {
      expect(loadErrorMessage(writeChangedExample(change, part))).to.match(
        messagePattern,
      );
    });
  }

  it("never shows a secret in an error", () => {
    const secret = "a".repeat(63);
    const file = writeChangedExample((text) =>
      text.replace(
        /"operatorKeySha256": "[^"]*"/,
        `"operatorKeySha256": "${secret}"`,
      )
    );
    expect(loadErrorMessage(file)).to.include("a hidden value").and.not.include(
      secret,
    );
  });
});

describe("log events", () => {
  it("are all listed in docs/EVENTS.md, each with its own number", () => {
    const catalogue = readFileSync("docs/EVENTS.md", "utf8").replace(
      / +/g,
      " ",
    );
    const numbers = Object.values(LOG_EVENTS).map(({ number }) => number);
    expect(new Set(numbers).size).to.equal(numbers.length);
    for (
      const [name, { number, severity, text }] of Object.entries(LOG_EVENTS)
    ) {
      expect(catalogue).to.include(
        `| ${number} | \`${name}\` | ${severity} | ${text} |`,
      );
    }
    const listed = catalogue.match(/^\| \d{4} \|/gm) ?? [];
    expect(listed.length).to.equal(numbers.length);
  });
});

describe("primrosectl", () => {
  let system: System;
  before(async () => system = await startTestSystem({ overrides: {} }));
  after(() => system.kill());

  async function runCtl(...args: string[]) {
    const out: string[] = [];
    const errors: string[] = [];
    const daemons = system.daemons.flatMap((
      { addresses },
    ) => ["--daemon", addresses.operators]);
    const code = await run(
      [...args, ...daemons, "--key", "demo-operator-key"],
      {
        env: {},
        stdin: (async function* () {})(),
        stdout: (text) => out.push(text),
        stderr: (text) => errors.push(text),
      },
    );
    return { code, out: out.join("\n"), errors: errors.join("\n") };
  }

  function writeBase(change: (base: Record<string, unknown>) => void): string {
    const { document } = system.daemons[0]!.state.acceptedConfig!;
    const base = structuredClone(document.base) as Record<string, unknown>;
    change(base);
    const file = join(
      mkdtempSync(join(tmpdir(), "primroseshed-")),
      "base.jsonc",
    );
    writeFileSync(file, JSON.stringify(base));
    return file;
  }

  it("prints the status as text and as JSON", async () => {
    expect((await runCtl("status")).out).to.include("Nothing is wrong.");
    const { code, out } = await runCtl("status", "--json");
    expect(code).to.equal(EXIT_CODES.ok);
    expect(JSON.parse(out).map(({ ready }: { ready: boolean }) => ready)).to
      .deep.equal([true, true]);
  });

  it("lists groups with their members", async () => {
    const { out } = await runCtl("groups", "--json");
    const groups =
      (JSON.parse(out) as { deployment: string; members: unknown[] }[])
        .filter(({ deployment }) => deployment === "assistant");
    expect(groups.map(({ members }) => members.length)).to.deep.equal([
      2,
      2,
      2,
      2,
    ]);
  });

  it("dumps the whole state without secrets", async () => {
    const { out } = await runCtl("dump");
    expect(out).to.not.include(hashKey("demo-tavua-key"));
    expect(JSON.stringify(dumpState(system.daemons[0]!.state))).to.include(
      "(hidden)",
    );
  });

  it("applies a change, reports its offset to a conflicting apply, and prints the history", async () => {
    const file = writeBase((base) => base.policy = { retryShare: 0.2 });
    const applied = await runCtl("config", "apply", "--base", file, "--json");
    expect(applied.code).to.equal(EXIT_CODES.ok);
    const { offset } = JSON.parse(applied.out);
    expect(system.daemons.map(({ state }) => state.config?.offset)).to.deep
      .equal([offset, offset]);
    const conflict = await runCtl(
      "config",
      "apply",
      "--base",
      file,
      "--based-on",
      "1",
    );
    expect(conflict.code).to.equal(EXIT_CODES.conflict);
    expect(conflict.errors).to.include(`offset ${offset} by`);
    expect((await runCtl("config", "diff", "--base", file)).out).to.include(
      "No difference",
    );
    expect(
      JSON.parse((await runCtl("config", "history", "--json")).out)[0].offset,
    )
      .to.equal(offset);
  });

  it("rejects an invalid file before it reaches the log", async () => {
    const file = writeBase((base) => base.polcy = {});
    const { code, errors } = await runCtl("config", "apply", "--base", file);
    expect(code).to.equal(EXIT_CODES.invalid);
    expect(errors).to.include('did you mean "policy"?');
  });

  it("reports a daemon that cannot be reached", async () => {
    const { code, errors } = await runCtl(
      "status",
      "--daemon",
      "http://127.0.0.1:9",
    );
    expect(code).to.equal(EXIT_CODES.unreachable);
    expect(errors).to.include("Cannot reach the daemon at http://127.0.0.1:9");
  });

  it("exits with the usage code for an unknown command", async () => {
    expect((await runCtl("stauts")).code).to.equal(EXIT_CODES.usage);
  });
});
