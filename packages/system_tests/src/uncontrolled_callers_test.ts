import {
  CALLER_KEYS,
  type Crowd,
  type CrowdBody,
  openCrowd,
} from "@primroseshed/stand_ins";
import { expect } from "chai";
import { createHeaders } from "./client.ts";
import { type ProcessSystem, startProcessSystem } from "./daemon_fixture.ts";

/** Memory and descriptors of the VM that a daemon has by default; they are the bounds of each test. */
const VM = { memoryMb: 256, maxDescriptors: 4_096 };
const HEAP_MB = 128;
const KIB = 1024;
const BYTES_PER_MB = 1024 * KIB;
const BODY_BYTES = 4 * BYTES_PER_MB;
const CROWD = 80;
const FINISHED_ONE_IN = 10;
const MAX_SEND_MS = 8_000;
const CALL_TIMEOUT_MS = 8_000;
const CALL_PAUSE_MS = 100;

interface CrowdCase {
  body: CrowdBody;
  connections?: number;
  lines?: readonly string[];
  /** Bytes by which unfinished bodies fall short of their end. */
  missingBytes: number;
}

const CASES: Record<string, CrowdCase> = {
  "short and odd header lines": {
    body: { kind: "whole", bytes: 100 },
    missingBytes: 1,
    connections: 800,
    lines: Array.from({ length: 90 }, (_, index) => `${index}:`),
  },
  "large bodies at once": {
    body: { kind: "whole", bytes: BODY_BYTES },
    missingBytes: 64 * KIB,
  },
  "large bodies piece by piece": {
    body: { kind: "pieces", bytes: BODY_BYTES, pieceBytes: KIB },
    missingBytes: 64 * KIB,
  },
  "large chunks": {
    body: { kind: "chunks", bytes: BODY_BYTES, chunkBytes: 512 * KIB },
    missingBytes: 512 * KIB,
  },
  "one-byte chunks": {
    body: { kind: "chunks", bytes: 60_000, chunkBytes: 1 },
    missingBytes: 1,
  },
};

function headOf(path: string): string[] {
  return [
    `POST ${path} HTTP/1.1`,
    "host: a",
    `authorization: Bearer ${CALLER_KEYS.tavua}`,
  ];
}

describe("callers that the product's own daemon does not control", () => {
  let running: ProcessSystem;
  let crowd: Crowd | undefined;

  beforeEach(async () => {
    crowd = undefined;
    running = await startProcessSystem({ heapMb: HEAP_MB });
  });
  afterEach(async () => {
    crowd?.close();
    await running.stop();
  });

  async function book(): Promise<number | undefined> {
    const url = `http://127.0.0.1:${running.port}/services/lending/bookings`;
    const response = await fetch(url, {
      method: "POST",
      headers: createHeaders(),
      body: JSON.stringify({ item: "sling-1" }),
      signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
    }).catch(() => undefined);
    return response?.status;
  }

  /** Repeats an ordinary request until it is answered; the others of the crowd stay open meanwhile. */
  async function bookUntilServed(): Promise<number | undefined> {
    const deadline = Date.now() + CALL_TIMEOUT_MS;
    while (Date.now() < deadline) {
      const status = await book();
      if (status === 201) return status;
      await new Promise((resolve) => setTimeout(resolve, CALL_PAUSE_MS));
    }
    return undefined;
  }

  for (const path of ["/v1/chat/completions", "/services/lending/echo"]) {
    for (const [name, crowdCase] of Object.entries(CASES)) {
      // Guards against a crowd of callers whose requests end the process, or fill the memory or the descriptors of its VM.
      it(`leave it alive within its VM, and others are served (${name}, ${path})`, async () => {
        const { body, connections = CROWD, lines = [], missingBytes } =
          crowdCase;
        crowd = openCrowd({
          host: "127.0.0.1",
          port: running.port,
          connections,
          head: [...headOf(path), ...lines],
          body,
          missingBytes,
          finishedOneIn: FINISHED_ONE_IN,
          maxSendMs: MAX_SEND_MS,
        });
        await crowd.sent;
        const { daemon } = running;
        expect(daemon.isAlive(), daemon.output()).to.equal(true);
        const descriptors = daemon.descriptorCount();
        expect(await bookUntilServed(), "ordinary request").to.equal(201);
        expect(daemon.isAlive(), daemon.output()).to.equal(true);
        expect(descriptors).to.be.below(VM.maxDescriptors);
        const peakMb = daemon.peakMemory() / BYTES_PER_MB;
        expect(peakMb, "peak memory, MB").to.be.below(VM.memoryMb);
      });
    }
  }
});
