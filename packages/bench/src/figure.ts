/**
 * Types of benches and figures, and the printed form of a figure.
 *
 * @module
 */

/** One measured figure. */
export interface Figure {
  name: string;
  value: number;
  unit: string;
  /** Upper bound, inclusive; undefined if the figure is only reported. */
  atMost?: number;
  /** Lower bound, inclusive. */
  atLeast?: number;
  /** The same figure of each baseline in the same run. */
  baseline?: Record<string, number>;
}

/** A named bench that measures one or more figures. */
export interface Bench {
  name: string;
  run(): Figure[] | Promise<Figure[]>;
}

/** Returns whether a figure keeps its bounds. */
export function isWithinBounds(
  { value, atMost = Infinity, atLeast = -Infinity }: Figure,
): boolean {
  return value <= atMost && value >= atLeast;
}

/** Formats a figure as one JSON line. */
export function formatFigure(figure: Figure): string {
  const { name, value, unit, atMost, atLeast, baseline } = figure;
  const bound = atMost !== undefined
    ? `<= ${atMost}`
    : atLeast !== undefined
    ? `>= ${atLeast}`
    : null;
  const rounded = (number: number) => Number(number.toPrecision(5));
  const baselines = baseline &&
    Object.fromEntries(
      Object.entries(baseline).map(([key, other]) => [key, rounded(other)]),
    );
  return JSON.stringify({
    name,
    value: rounded(value),
    unit,
    bound,
    baseline: baselines ?? null,
    ok: isWithinBounds(figure),
  });
}
