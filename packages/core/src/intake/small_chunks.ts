/**
 * Bounds the processor time that bodies in many small chunks take together.
 *
 * @module
 */
import {
  MANY_SMALL_CHUNKS,
  MAX_SMALL_CHUNKS,
  SMALL_CHUNK_BYTES,
} from "./constants.ts";
import { closeHolding } from "./holdings.ts";
import type { Holding, Intake, IntakeDecisions } from "./types.ts";

/**
 * Records a chunk of a body.
 *
 * @returns True where {@link giveUpSmallChunks} has to follow.
 */
export function receiveChunk(
  intake: Intake,
  holding: Holding,
  { bytes }: { bytes: number },
): boolean {
  holding.receivedBytes += bytes;
  if (bytes >= SMALL_CHUNK_BYTES) return false;
  holding.smallChunks += 1;
  intake.smallChunks += 1;
  return intake.smallChunks > MAX_SMALL_CHUNKS &&
    holding.smallChunks >= MANY_SMALL_CHUNKS;
}

/**
 * Gives up all unfinished requests that have sent many small chunks since the last sweep but the oldest, which goes on:
 * a single request within the limits is served.
 */
export function* giveUpSmallChunks(intake: Intake): IntakeDecisions {
  // Holdings are in the order in which their requests arrived.
  const senders = [...intake.holdings.values()].filter(
    ({ stage, smallChunks }) =>
      stage === "reading" && smallChunks >= MANY_SMALL_CHUNKS,
  );
  for (const holding of senders.slice(1)) {
    closeHolding(intake, holding);
    yield { kind: "give_up", holding: holding.id, cause: "chunks" };
  }
}
