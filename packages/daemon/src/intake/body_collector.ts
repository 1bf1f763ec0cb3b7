/**
 * Collects the chunks of a body so that they take about as much memory as they carry.
 *
 * A chunk is an object of a few hundred bytes whatever it carries, so small ones are copied together.
 *
 * @module
 */
import { Buffer } from "node:buffer";

/** Chunks of one body. */
export interface BodyCollector {
  add(chunk: Buffer): void;
  /** Returns the bytes that arrived. */
  size(): number;
  /** Returns the bytes of memory that are taken. */
  heldBytes(): number;
  /** Returns all that arrived, and drops the pieces. */
  take(): Buffer;
  clear(): void;
}

/** Chunks from this size on are kept as they are, bytes. */
const LARGE_CHUNK_BYTES = 4 * 1024;
/** Size of the buffers into which small chunks are copied, bytes. */
const BLOCK_BYTES = 16 * 1024;

/**
 * Creates a collector.
 *
 * @example
 * ```ts
 * const collector = createBodyCollector();
 * collector.add(Buffer.from("a"));
 * collector.take().toString(); // "a"
 * ```
 */
export function createBodyCollector(): BodyCollector {
  let pieces: Buffer[] = [];
  let block: Buffer | undefined;
  let blockSize = 0;
  let size = 0;
  let heldBytes = 0;

  function keep(chunk: Buffer): void {
    pieces.push(chunk);
    heldBytes += chunk.length;
  }

  /** Ends the block in use, so that a later piece stands after it. */
  function endBlock(): void {
    if (block === undefined) return;
    pieces.push(block.subarray(0, blockSize));
    block = undefined;
  }

  function copy(chunk: Buffer): void {
    if (block !== undefined && blockSize + chunk.length > BLOCK_BYTES) {
      endBlock();
    }
    if (block === undefined) {
      block = Buffer.allocUnsafeSlow(BLOCK_BYTES);
      blockSize = 0;
      heldBytes += BLOCK_BYTES;
    }
    chunk.copy(block, blockSize);
    blockSize += chunk.length;
  }

  function clear(): void {
    pieces = [];
    block = undefined;
    heldBytes = 0;
  }

  return {
    add(chunk) {
      size += chunk.length;
      const isFirst = heldBytes === 0;
      if (isFirst || chunk.length >= LARGE_CHUNK_BYTES) {
        endBlock();
        keep(chunk);
      } else {
        copy(chunk);
      }
    },
    size: () => size,
    heldBytes: () => heldBytes,
    take() {
      endBlock();
      const [first] = pieces;
      const whole = pieces.length === 1 && first !== undefined
        ? first
        : Buffer.concat(pieces);
      clear();
      return whole;
    },
    clear,
  };
}
