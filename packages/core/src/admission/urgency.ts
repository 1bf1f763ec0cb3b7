/**
 * Computes the urgency with which a runner orders its queue: by priority, and within one priority by slack.
 *
 * @module
 */

/** Values of urgency, from 0, the most urgent. */
const URGENCY_VALUES = 10;

/** Options of {@link urgencyOf}. */
export interface UrgencyOptions {
  /** Priorities that lead to the service, most urgent first, each once. */
  priorities: readonly number[];
  priority: number;
  /** Time that is left of the objective once the request has waited and its prompt has been read, ms. */
  slackMs: number;
  /** Longest objective of the routes that lead to the service, ms. */
  maxObjectiveMs: number;
}

/** Options of {@link slackOf}. */
export interface SlackOptions {
  objectiveMs: number;
  waitedMs: number;
  promptTokens: number;
  /** Prompt tokens that the engine reads in a second for a model of pace 1; undefined where it is not known. */
  prefillTokensPerSecond: number | undefined;
  /** Factor on all processing times of the model. */
  pace: number;
}

const MS_PER_SECOND = 1_000;

/** Returns the time that reading a prompt takes, ms; 0 where the engine's speed is not known. */
export function prefillMsOf(
  { promptTokens, prefillTokensPerSecond, pace }: Pick<
    SlackOptions,
    "promptTokens" | "prefillTokensPerSecond" | "pace"
  >,
): number {
  if (prefillTokensPerSecond === undefined || prefillTokensPerSecond <= 0) {
    return 0;
  }
  return promptTokens * MS_PER_SECOND * pace / prefillTokensPerSecond;
}

/** Returns what is left of a request's objective after its wait and the reading of its prompt, ms. */
export function slackOf(options: SlackOptions): number {
  const { objectiveMs, waitedMs } = options;
  return objectiveMs - waitedMs - prefillMsOf(options);
}

/**
 * Returns the urgency of a request, 0 to 9, where 0 is the most urgent.
 *
 * The values are divided among the priorities, so that slack never makes a request more urgent than one of a more
 * urgent priority. A request that has no slack left misses its objective anyway and goes last within its priority.
 *
 * @example
 * ```ts
 * urgencyOf({ priorities: [0, 1], priority: 1, slackMs: 0, maxObjectiveMs: 400 }); // 5
 * ```
 */
export function urgencyOf(
  { priorities, priority, slackMs, maxObjectiveMs }: UrgencyOptions,
): number {
  const known = priorities.filter((value) => value < priority).length;
  const count = Math.max(priorities.length, known + 1);
  const first = Math.floor(known * URGENCY_VALUES / count);
  const next = Math.floor((known + 1) * URGENCY_VALUES / count);
  const steps = Math.max(1, next - first);
  const step = slackMs < 0
    ? steps - 1
    : Math.min(steps - 1, Math.floor(slackMs / maxObjectiveMs * steps));
  return Math.min(URGENCY_VALUES - 1, first + step);
}
