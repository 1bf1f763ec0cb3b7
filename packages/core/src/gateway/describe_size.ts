/**
 * Describes the size of a request for log lines, so that an operator can tell which sizes are served.
 *
 * @module
 */
import type { RoutedRequest } from "./types.ts";

/** What determines how much work a request is; all undefined for plain services. */
export interface SizeFields {
  model: string | undefined;
  promptTokens: number | undefined;
  maxOutputTokens: number | undefined;
}

/**
 * Returns the fields of a log line that tell the size of a request.
 *
 * @example
 * ```ts
 * describeSize(request); // { model: "small", promptTokens: 674, maxOutputTokens: 217 }
 * ```
 */
export function describeSize(
  { model, promptTokens, maxOutputTokens }: Pick<
    RoutedRequest,
    "model" | "promptTokens" | "maxOutputTokens"
  >,
): SizeFields {
  if (model === undefined) {
    return {
      model,
      promptTokens: undefined,
      maxOutputTokens: undefined,
    };
  }
  return { model, promptTokens, maxOutputTokens };
}
