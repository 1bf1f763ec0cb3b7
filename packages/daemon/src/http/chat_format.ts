/**
 * Bodies of OpenAI-compatible answers.
 *
 * @module
 */

/** What all bodies of one answer share. */
export interface AnswerHead {
  id: string;
  model: string;
  /** Seconds since 1970. */
  created: number;
}

/** Tokens as callers see them. */
export interface Usage {
  prompt_tokens: number;
  completion_tokens: number;
  total_tokens: number;
  prompt_tokens_details: { cached_tokens: number };
}

/** Formats the bodies of one answer. */
export interface ChatFormat {
  /** A chunk of a stream; the last one carries a reason, and usage where wanted. */
  chunk(
    delta: Record<string, string>,
    end?: { reason?: string | null; usage?: Usage },
  ): object;
  /** A chunk that carries text, already as JSON. */
  textChunk(text: string): string;
  /** A chunk that carries usage alone. */
  usageChunk(usage: Usage): object;
  /** A whole answer. */
  whole(text: string, end: { reason: string | null; usage: Usage }): object;
}

/** Counts tokens the way callers see them. */
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
 * Creates the format of one answer.
 *
 * @example
 * ```ts
 * const format = createChatFormat({ id: "r1", model: "assistant", created: 0 });
 * JSON.parse(format.textChunk("hi")).choices[0].delta.content; // "hi"
 * ```
 */
export function createChatFormat(
  { id, model, created }: AnswerHead,
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
    whole(text, { reason, usage }) {
      const message = { role: "assistant", content: text };
      const choices = [{ index: 0, message, finish_reason: reason }];
      return { id, object: "chat.completion", created, model, choices, usage };
    },
  };
}
