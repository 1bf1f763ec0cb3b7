/**
 * Creates documents of the fleet's configuration for tests.
 *
 * @module
 */
import type { ConfigDocument } from "../config/types.ts";

/** A part of a document that a test may change. */
export type JsonObject = Record<string, unknown>;

/** Base of a document, open to changes. */
export interface TestBase extends JsonObject {
  owners: Record<string, JsonObject & { teams: Record<string, JsonObject> }>;
  deployments: Record<string, JsonObject>;
  ranks: Record<string, JsonObject>;
}

/** Returns a key hash that differs for each digit. */
export function hashOf(digit: string): string {
  return digit.repeat(64);
}

/** Creates a base without findings. */
export function createBase(): TestBase {
  return {
    version: 1,
    owners: {
      abay: {
        share: 1,
        teams: {
          desk: { callers: { app: { keySha256: hashOf("a") } } },
          night: { callers: { app: { keySha256: hashOf("b") } } },
        },
      },
    },
    deployments: {
      assistant: {
        kind: "model",
        callers: ["abay"],
        replicas: 2,
        vmsPerReplica: 4,
      },
      lending: {
        kind: "service",
        callers: ["abay/desk"],
        backends: [{
          vm: "lending-1",
          address: "http://10.0.0.1:80",
          zone: "bole",
        }],
      },
    },
    ranks: {},
  };
}

/** Creates a document whose base was changed. */
export function createDocument(
  change: (base: TestBase) => void = () => undefined,
  overlays: ConfigDocument["overlays"] = {},
): ConfigDocument {
  const base = createBase();
  change(base);
  return { base, overlays };
}
