/**
 * Parses an engine's event stream into chunks with token offsets.
 *
 * @module
 */
import { createParser, type EventSourceParser } from "eventsource-parser";

/** One event of an engine's stream. */
export interface EngineChunk {
  id: string;
  offset: number;
  tokens: number;
  text: string;
  finishReason: string | null;
  usage?: EngineUsage;
}

/** Token counts that an engine reports. */
export interface EngineUsage {
  promptTokens: number;
  completionTokens: number;
  cachedTokens: number;
}

/** Callbacks of the parser. */
export interface EngineStreamEvents {
  onChunk(chunk: EngineChunk): void;
  onDone(): void;
  onBroken(cause: string): void;
}

interface RawChunk {
  id?: unknown;
  offset?: unknown;
  tokens?: unknown;
  choices?: { delta?: { content?: unknown }; finish_reason?: unknown }[];
  usage?: {
    prompt_tokens?: number;
    completion_tokens?: number;
    cached_tokens?: number;
  };
}

const DONE = "[DONE]";

function readUsage({ usage }: RawChunk): { usage?: EngineUsage } {
  if (usage === undefined || usage === null) return {};
  const { prompt_tokens = 0, completion_tokens = 0, cached_tokens = 0 } = usage;
  return {
    usage: {
      promptTokens: prompt_tokens,
      completionTokens: completion_tokens,
      cachedTokens: cached_tokens,
    },
  };
}

function readChunk(data: string): EngineChunk | undefined {
  const raw = JSON.parse(data) as RawChunk | null;
  const choice = raw?.choices?.[0];
  const { id, offset, tokens } = raw ?? {};
  if (
    typeof id !== "string" || typeof offset !== "number" ||
    typeof tokens !== "number" || choice === undefined
  ) {
    return undefined;
  }
  const text = choice.delta?.content ?? "";
  if (typeof text !== "string" || raw === null) return undefined;
  const finishReason = typeof choice.finish_reason === "string"
    ? choice.finish_reason
    : null;
  return { id, offset, tokens, text, finishReason, ...readUsage(raw) };
}

/** Creates a parser of decoded text. */
export function createEngineStream(
  { onChunk, onDone, onBroken }: EngineStreamEvents,
): EventSourceParser {
  return createParser({
    onEvent({ data }) {
      if (data === DONE) return onDone();
      try {
        const chunk = readChunk(data);
        if (chunk === undefined) {
          onBroken("a chunk has no valid id, offset, tokens, choices or text");
        } else onChunk(chunk);
      } catch {
        onBroken("a chunk is not JSON");
      }
    },
    onError(error) {
      onBroken(error.message);
    },
  });
}
