/**
 * Bounds the processor time that bodies in many small chunks take together.
 *
 * @module
 */
import { MAX_SMALL_CHUNKS, SMALL_CHUNK_BYTES } from "./constants.ts";
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
  return intake.smallChunks > MAX_SMALL_CHUNKS;
}

/** Gives up unfinished requests that send small chunks, those with the most first, until the rest is within the bound. */
export function* giveUpSmallChunks(intake: Intake): IntakeDecisions {
  const senders = [...intake.holdings.values()]
    .filter(({ stage, smallChunks }) => stage === "reading" && smallChunks > 0)
    .sort((left, right) => right.smallChunks - left.smallChunks);
  // The last one goes on: a single request within the limits is served.
  for (const holding of senders.slice(0, -1)) {
    if (intake.smallChunks <= MAX_SMALL_CHUNKS) return;
    intake.smallChunks -= holding.smallChunks;
    closeHolding(intake, holding);
    yield { kind: "give_up", holding: holding.id, cause: "chunks" };
  }
}
