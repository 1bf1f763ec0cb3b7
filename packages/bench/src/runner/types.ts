/**
 * What a bench reports.
 *
 * @module
 */

/** One measured figure. */
export interface Figure {
  name: string;
  value: number;
  unit: string;
  /** The figure must not be above this; undefined where only told. */
  atMost?: number;
  /** The figure must not be below this. */
  atLeast?: number;
  /** The same figure of each baseline in the same run. */
  baseline?: Record<string, number>;
}

/** A bench by name. */
export interface Bench {
  name: string;
  run(): Figure[] | Promise<Figure[]>;
}

/** Whether a figure keeps its bounds. */
export function keepsBounds(
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
    ok: keepsBounds(figure),
  });
}
