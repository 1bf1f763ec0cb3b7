/**
 * Formats the bodies of OpenAI-compatible responses.
 *
 * @module
 */

/** Fields that all bodies of one response share. */
export interface ResponseHead {
  id: string;
  model: string;
  /** Seconds since 1970. */
  created: number;
}

/** Token counts in the form that callers receive. */
export interface Usage {
  prompt_tokens: number;
  completion_tokens: number;
  total_tokens: number;
  prompt_tokens_details: { cached_tokens: number };
}

/** Format of the bodies of one response. */
export interface ChatFormat {
  /** Returns a chunk of a stream; the last one carries a finish reason, and usage if it has no chunk of its own. */
  chunk(
    delta: Record<string, string>,
    end?: { reason?: string | null; usage?: Usage },
  ): object;
  /** Returns a chunk that carries text, serialized as JSON. */
  textChunk(text: string): string;
  /** Returns a chunk that carries only usage. */
  usageChunk(usage: Usage): object;
  /** Returns a complete response. */
  completion(
    text: string,
    end: { reason: string | null; usage: Usage },
  ): object;
}

/** Returns token counts in the form that callers receive. */
export function formatUsage(
  promptTokens: number,
  completionTokens: number,
  { cachedTokens }: { cachedTokens: number },
): Usage {
  return {
    prompt_tokens: promptTokens,
    completion_tokens: completionTokens,
    total_tokens: promptTokens + completionTokens,
    prompt_tokens_details: { cached_tokens: cachedTokens },
  };
}

/** End of a chunk that carries text. */
const TEXT_TAIL = '},"finish_reason":null}]}';

/**
 * Creates the format of one response.
 *
 * @example
 * ```ts
 * const format = createChatFormat({ id: "r1", model: "assistant", created: 0 });
 * JSON.parse(format.textChunk("hi")).choices[0].delta.content; // "hi"
 * ```
 */
export function createChatFormat(
  { id, model, created }: ResponseHead,
): ChatFormat {
  const chunkHead = { id, object: "chat.completion.chunk", created, model };
  // All chunks of a stream share this start, so it is serialized once.
  const textHead = `${JSON.stringify(chunkHead).slice(0, -1)},` +
    '"choices":[{"index":0,"delta":{"content":';
  return {
    chunk(delta, { reason = null, usage } = {}) {
      const choices = [{ index: 0, delta, finish_reason: reason }];
      return { ...chunkHead, choices, ...(usage && { usage }) };
    },
    textChunk: (text) => `${textHead}${JSON.stringify(text)}${TEXT_TAIL}`,
    usageChunk: (usage) => ({ ...chunkHead, choices: [], usage }),
    completion(text, { reason, usage }) {
      const message = { role: "assistant", content: text };
      const choices = [{ index: 0, message, finish_reason: reason }];
      return { id, object: "chat.completion", created, model, choices, usage };
    },
  };
}
