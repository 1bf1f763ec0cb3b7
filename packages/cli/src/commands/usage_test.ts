import { generateKeyPairSync, sign } from "node:crypto";
import {
  type LogRecord,
  type UsageCounter,
  usagePayload,
} from "@primroseshed/core";
import { expect } from "chai";
import { computeUsage } from "./usage.ts";

const { publicKey, privateKey } = generateKeyPairSync("ed25519");
const unknownKeys = generateKeyPairSync("ed25519");
const publicKeys = [
  publicKey.export({ type: "spki", format: "pem" }).toString(),
];

type UsageRecord = Extract<LogRecord, { type: "usage" }>;

function createCounter(owner: string, outputTokens: number): UsageCounter {
  return {
    owner,
    team: "t",
    deployment: "assistant",
    rank: "urgent",
    requests: 1,
    promptTokens: 10,
    cachedTokens: 0,
    outputTokens,
    bookings: 0,
  };
}

function createRecord(
  entry: string,
  sequence: number,
  counters: UsageCounter[],
  signingKey = privateKey,
): UsageRecord {
  const body = { entry, sequence, counters };
  const signature = sign(null, Buffer.from(usagePayload(body)), signingKey)
    .toString("base64");
  return {
    type: "usage",
    ...body,
    signature,
    id: `${entry}/${sequence}`,
    level: 1,
  };
}

function compute(records: readonly UsageRecord[]) {
  return computeUsage(
    records.map((record, index) => ({ offset: index + 1, record })),
    { publicKeys },
  );
}

function tokensOf(report: ReturnType<typeof compute>): Record<string, number> {
  return Object.fromEntries(
    report.owners.map(({ owner, outputTokens }) => [owner, outputTokens]),
  );
}

const FIRST = createRecord("a#1", 1, [
  createCounter("tavua", 100),
  createCounter("abay", 50),
]);
const SECOND = createRecord("a#1", 2, [
  createCounter("tavua", 300),
  createCounter("abay", 100),
]);

describe("usage", () => {
  it("counts the newest cumulative record of each entry incarnation once", () => {
    const report = compute([
      FIRST,
      SECOND,
      createRecord("a#2", 1, [createCounter("tavua", 100)]),
    ]);
    expect(tokensOf(report)).to.deep.equal({ tavua: 400, abay: 100 });
    expect(report.findings).to.deep.equal([]);
    expect(report.owners.map(({ share }) => share)).to.deep.equal([0.2, 0.8]);
  });

  const TAMPERED: {
    name: string;
    records: UsageRecord[];
    cause: string;
    tavua: number;
  }[] = [
    {
      name: "a changed count",
      records: [FIRST, {
        ...SECOND,
        counters: [createCounter("tavua", 1), createCounter("abay", 100)],
      }],
      cause: "forged",
      tavua: 100,
    },
    {
      name: "a signature with an unknown key",
      records: [
        FIRST,
        createRecord(
          "a#1",
          2,
          [createCounter("tavua", 9)],
          unknownKeys.privateKey,
        ),
      ],
      cause: "forged",
      tavua: 100,
    },
    {
      name: "another entry's name",
      records: [FIRST, { ...SECOND, entry: "b#1" }],
      cause: "forged",
      tavua: 100,
    },
    {
      name: "a raised sequence",
      records: [FIRST, { ...FIRST, sequence: 7 }],
      cause: "forged",
      tavua: 100,
    },
    {
      name: "a missing signature",
      records: [FIRST, { ...SECOND, signature: "" }],
      cause: "forged",
      tavua: 100,
    },
    {
      name: "a repeated record",
      records: [FIRST, SECOND, SECOND],
      cause: "repeated",
      tavua: 300,
    },
    {
      name: "a late record",
      records: [SECOND, FIRST],
      cause: "late",
      tavua: 300,
    },
    {
      name: "counts that decrease",
      records: [SECOND, createRecord("a#1", 3, [createCounter("tavua", 10)])],
      cause: "decreased",
      tavua: 300,
    },
    {
      name: "a missing record",
      records: [
        FIRST,
        createRecord("a#1", 3, [
          createCounter("tavua", 500),
          createCounter("abay", 50),
        ]),
      ],
      cause: "gap",
      tavua: 500,
    },
  ];
  for (const { name, records, cause, tavua } of TAMPERED) {
    it(`detects ${name} and never counts too much`, () => {
      const report = compute(records);
      expect(report.findings.map((finding) => finding.cause)).to.include(cause);
      expect(tokensOf(report).tavua).to.equal(tavua);
    });
  }
});
