/**
 * Describes the size of a request for log lines, so that an operator can tell which sizes are served.
 *
 * @module
 */
import type { RoutedRequest } from "./types.ts";

/** What determines how much work a request is; all undefined for plain services. */
export interface SizeFields {
  model?: string;
  promptTokens?: number;
  maxOutputTokens?: number;
  expectedOutputTokens?: number | undefined;
}

/**
 * Returns the fields of a log line that tell the size of a request.
 *
 * @example
 * ```ts
 * describeSize(request); // { model: "small", promptTokens: 674, maxOutputTokens: 549, expectedOutputTokens: 200 }
 * ```
 */
export function describeSize(
  { model, promptTokens, maxOutputTokens, expectedOutputTokens }: Pick<
    RoutedRequest,
    "model" | "promptTokens" | "maxOutputTokens" | "expectedOutputTokens"
  >,
): SizeFields {
  if (model === undefined) return {};
  return { model, promptTokens, maxOutputTokens, expectedOutputTokens };
}
