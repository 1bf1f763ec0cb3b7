import { expect } from "chai";
import fc from "fast-check";
import { foldRecord } from "./fold_record.ts";
import { createFoldState, dumpFold, restoreFold } from "./fold_state.ts";
import type {
  FoldResult,
  FoldState,
  LogRecord,
  Member,
  RecordBody,
} from "./types.ts";

const HASH = "a".repeat(64);
const DOCUMENT = {
  base: {
    version: 1,
    owners: {
      tavua: {
        share: 1,
        teams: { t: { callers: { c: { keySha256: HASH } } } },
      },
    },
    deployments: {
      m: { kind: "model", callers: ["tavua"], replicas: 1, vmsPerReplica: 2 },
    },
  },
  overlays: {},
};

function member(vm: string): Member {
  return {
    vm,
    address: `http://10.0.0.1:${vm.length}`,
    zone: "z",
    domain: "d",
  };
}

function foldAll(
  bodies: readonly RecordBody[],
  fold = createFoldState(),
): { fold: FoldState; results: FoldResult[] } {
  const results = bodies.map((body, index) => {
    const record = { ...body, id: `r${index}`, level: 1 } as LogRecord;
    return foldRecord(fold, { offset: fold.next, at: index, record });
  });
  return { fold, results };
}

function causes(results: readonly FoldResult[]): string[] {
  return results.map((result) => result.accepted ? "ok" : result.cause);
}

const form = (group: string, vms: string[]): RecordBody => ({
  type: "group_form",
  group,
  deployment: "m",
  members: vms.map(member),
  fence: "operator",
});
const config = (basedOn: number): RecordBody => ({
  type: "config",
  basedOn,
  document: DOCUMENT,
  author: "a",
});

describe("foldRecord", () => {
  const ROWS: { name: string; bodies: RecordBody[]; causes: string[] }[] = [
    {
      name: "accepts one of two racing configurations",
      bodies: [config(0), config(0), config(1)],
      causes: ["ok", "stale_base", "ok"],
    },
    {
      name: "rejects an invalid configuration and keeps the one in force",
      bodies: [config(0), {
        type: "config",
        basedOn: 1,
        document: { base: {}, overlays: {} },
        author: "a",
      }, config(1)],
      causes: ["ok", "invalid_config", "ok"],
    },
    {
      name: "never puts a VM in two groups",
      bodies: [
        form("a", ["x", "y"]),
        form("b", ["y", "z"]),
        form("c", ["z", "z"]),
      ],
      causes: ["ok", "vm_taken", "duplicate_member"],
    },
    {
      name: "rejects a group that does not have the configured size",
      bodies: [config(0), form("a", ["x", "y", "z"])],
      causes: ["ok", "wrong_size"],
    },
    {
      name: "keeps a VM in quarantine until its unload is confirmed",
      bodies: [
        form("a", ["x", "y"]),
        { type: "group_dissolve", group: "a", fence: "operator" },
        form("b", ["x", "z"]),
        {
          type: "vm_freed",
          vm: "x",
          epoch: 1,
          cause: "unloaded",
          fence: "operator",
        },
        {
          type: "vm_freed",
          vm: "x",
          epoch: 2,
          cause: "unloaded",
          fence: "operator",
        },
        form("b", ["x", "z"]),
      ],
      causes: ["ok", "ok", "vm_taken", "vm_taken", "ok", "ok"],
    },
    {
      name:
        "grants a held lease only to a record that names its latest renewal",
      bodies: [
        {
          type: "lease_grant",
          lease: "l",
          holder: "a",
          observed: 0,
          durationMs: 1,
        },
        { type: "lease_renew", lease: "l", holder: "a", grant: 1 },
        {
          type: "lease_grant",
          lease: "l",
          holder: "b",
          observed: 1,
          durationMs: 1,
        },
        {
          type: "lease_grant",
          lease: "l",
          holder: "b",
          observed: 2,
          durationMs: 1,
        },
        { type: "lease_renew", lease: "l", holder: "a", grant: 1 },
      ],
      causes: ["ok", "ok", "lease_held", "ok", "not_holder"],
    },
    {
      name: "rejects changes under a lease that was taken over",
      bodies: [
        {
          type: "lease_grant",
          lease: "l",
          holder: "a",
          observed: 0,
          durationMs: 1,
        },
        {
          type: "lease_grant",
          lease: "l",
          holder: "b",
          observed: 1,
          durationMs: 1,
        },
        {
          ...form("g", ["x", "y"]),
          fence: { lease: "l", grant: 1 },
        } as RecordBody,
        {
          ...form("g", ["x", "y"]),
          fence: { lease: "l", grant: 2 },
        } as RecordBody,
      ],
      causes: ["ok", "ok", "fenced", "ok"],
    },
    {
      name:
        "accepts the first claim of a key, and another once that one ended as not run",
      bodies: [
        { type: "claim", key: "k", digest: "d", entry: "a" },
        { type: "claim", key: "k", digest: "d", entry: "b" },
        { type: "claim_end", key: "k", claim: "r1", verdict: "not_run" },
        { type: "claim_end", key: "k", claim: "r0", verdict: "not_run" },
        { type: "claim", key: "k", digest: "d", entry: "b" },
        { type: "claim_end", key: "k", claim: "r4", verdict: "ran" },
        { type: "claim", key: "k", digest: "d", entry: "a" },
      ],
      causes: [
        "ok",
        "key_claimed",
        "unknown_claim",
        "ok",
        "ok",
        "ok",
        "key_claimed",
      ],
    },
    {
      name: "rejects usage whose sequence number does not increase",
      bodies: [
        { type: "usage", entry: "a", sequence: 2, counters: [], signature: "" },
        { type: "usage", entry: "a", sequence: 1, counters: [], signature: "" },
      ],
      causes: ["ok", "stale_usage"],
    },
  ];
  for (const { name, bodies, causes: expected } of ROWS) {
    it(
      name,
      () => expect(causes(foldAll(bodies).results)).to.deep.equal(expected),
    );
  }

  it("rejects a repeated record id and any offset below the next", () => {
    const fold = createFoldState();
    const record = { ...config(0), id: "same", level: 1 } as LogRecord;
    expect(foldRecord(fold, { offset: 1, at: 0, record }).accepted).to.equal(
      true,
    );
    expect(causes([foldRecord(fold, { offset: 2, at: 0, record })])).to.deep
      .equal(["repeated"]);
    expect(
      causes([
        foldRecord(fold, {
          offset: 2,
          at: 0,
          record: { ...record, id: "other" },
        }),
      ]),
    ).to.deep.equal(["repeated"]);
  });

  it("rejects a record of a level that is not enabled, and accepts it once it is", () => {
    const fold = createFoldState();
    const record = (id: string) =>
      ({ ...config(0), id, level: 2 }) as LogRecord;
    expect(
      causes([foldRecord(fold, { offset: 1, at: 0, record: record("a") })]),
    ).to.deep.equal(["level_unknown"]);
    const raise = { type: "level" as const, raiseTo: 2, id: "b", level: 1 };
    expect(foldRecord(fold, { offset: 2, at: 0, record: raise }).accepted).to
      .equal(true);
    expect(foldRecord(fold, { offset: 3, at: 0, record: record("c") }).accepted)
      .to.equal(true);
  });

  it("continues after any malformed record", () => {
    fc.assert(
      fc.property(fc.array(fc.anything(), { maxLength: 8 }), (malformed) => {
        const fold = createFoldState();
        for (const record of malformed) {
          foldRecord(fold, {
            offset: fold.next,
            at: 0,
            record: record as LogRecord,
          });
        }
        expect(
          foldRecord(fold, {
            offset: fold.next,
            at: 0,
            record: { ...config(0), id: "good", level: 1 } as LogRecord,
          }).accepted,
        )
          .to.equal(true);
      }),
      { seed: 11, numRuns: 300 },
    );
  });
});

const vm = fc.constantFrom("v1", "v2", "v3", "v4", "v5");
const group = fc.constantFrom("g1", "g2", "g3");
const fence = fc.oneof(
  fc.constant("operator" as const),
  fc.record({
    lease: fc.constant("l"),
    grant: fc.integer({ min: 1, max: 30 }),
  }),
);
const anyBody: fc.Arbitrary<RecordBody> = fc.oneof(
  fc.record({
    type: fc.constant("config" as const),
    basedOn: fc.integer({ min: 0, max: 12 }),
    document: fc.constant(DOCUMENT),
    author: fc.constant("a"),
  }),
  fc.record({
    type: fc.constant("lease_grant" as const),
    lease: fc.constant("l"),
    holder: fc.constantFrom("a", "b"),
    observed: fc.integer({ min: 0, max: 30 }),
    durationMs: fc.constant(1),
  }),
  fc.record({
    type: fc.constant("group_form" as const),
    group,
    deployment: fc.constant("m"),
    members: fc.array(vm.map(member), { minLength: 1, maxLength: 3 }),
    fence,
  }),
  fc.record({
    type: fc.constant("group_swap" as const),
    group,
    remove: vm,
    add: vm.map(member),
    fence,
  }),
  fc.record({ type: fc.constant("group_dissolve" as const), group, fence }),
  fc.record({
    type: fc.constant("vm_freed" as const),
    vm,
    epoch: fc.integer({ min: 1, max: 30 }),
    cause: fc.constant("unloaded" as const),
    fence,
  }),
  fc.record({
    type: fc.constant("claim" as const),
    key: fc.constantFrom("k1", "k2"),
    digest: fc.constant("d"),
    entry: fc.constantFrom("a", "b"),
  }),
  fc.record({
    type: fc.constant("claim_end" as const),
    key: fc.constantFrom("k1", "k2"),
    claim: fc.integer({ min: 0, max: 30 }).map((index) => `r${index}`),
    verdict: fc.constantFrom(
      "not_run" as const,
      "may_have_run" as const,
      "ran" as const,
    ),
  }),
);

describe("foldRecord over random logs", () => {
  it("keeps every VM in at most one group, and configurations in order", () => {
    fc.assert(
      fc.property(fc.array(anyBody, { maxLength: 30 }), (bodies) => {
        const fold = createFoldState();
        let inForce = 0;
        bodies.forEach((body, index) => {
          foldRecord(fold, {
            offset: fold.next,
            at: index,
            record: { ...body, id: `r${index}`, level: 1 } as LogRecord,
          });
          const members = [...fold.groups.values()].flatMap((folded) =>
            folded.members.map((entry) => entry.vm)
          );
          expect(new Set(members).size).to.equal(members.length);
          for (const name of members) {
            expect(fold.vms.get(name)?.quarantined).to.equal(false);
          }
          expect(fold.config?.offset ?? 0).to.be.at.least(inForce);
          inForce = fold.config?.offset ?? 0;
        });
      }),
      { seed: 12, numRuns: 600 },
    );
  });

  it("never runs a key under two claims", () => {
    fc.assert(
      fc.property(fc.array(anyBody, { maxLength: 30 }), (bodies) => {
        const fold = createFoldState();
        const granted = new Map<string, string>();
        bodies.forEach((body, index) => {
          const record = { ...body, id: `r${index}`, level: 1 } as LogRecord;
          const before = body.type === "claim"
            ? fold.claims.get(body.key)
            : undefined;
          const result = foldRecord(fold, {
            offset: fold.next,
            at: index,
            record,
          });
          if (body.type !== "claim" || !result.accepted) return;
          expect(before === undefined || before.verdict === "not_run").to.equal(
            true,
          );
          granted.set(body.key, record.id);
          expect(fold.claims.get(body.key)?.id).to.equal(record.id);
        });
      }),
      { seed: 13, numRuns: 600 },
    );
  });

  it("folds to the same state from any snapshot and from the whole log", () => {
    fc.assert(
      fc.property(
        fc.array(anyBody, { maxLength: 30 }),
        fc.nat(30),
        (bodies, cut) => {
          const whole = foldAll(bodies).fold;
          const records = bodies.map((body, index) =>
            ({ ...body, id: `r${index}`, level: 1 }) as LogRecord
          );
          const first = createFoldState();
          const at = Math.min(cut, records.length);
          records.slice(0, at).forEach((record, index) =>
            foldRecord(first, { offset: index + 1, at: index, record })
          );
          const restored = restoreFold(
            JSON.parse(JSON.stringify(dumpFold(first))),
          );
          records.forEach((record, index) =>
            foldRecord(restored, { offset: index + 1, at: index, record })
          );
          expect(JSON.stringify(dumpFold(restored))).to.equal(
            JSON.stringify(dumpFold(whole)),
          );
        },
      ),
      { seed: 14, numRuns: 400 },
    );
  });
});
