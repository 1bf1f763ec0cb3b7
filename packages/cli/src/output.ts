/**
 * Prints tables for people and JSON for scripts.
 *
 * @module
 */
import Table from "cli-table3";

/** A cell of a table. */
export type Cell = string | number | boolean | undefined;

/** Destination and format of a command's output. */
export interface Output {
  json: boolean;
  write(text: string): void;
}

const PLAIN_BORDERS = Object.fromEntries(
  [
    "top",
    "top-mid",
    "top-left",
    "top-right",
    "bottom",
    "bottom-mid",
    "bottom-left",
    "bottom-right",
    "left",
    "left-mid",
    "mid",
    "mid-mid",
    "right",
    "right-mid",
  ].map((name) => [name, ""]),
);

/** Formats rows as a table under a header. */
export function formatTable(head: string[], rows: readonly Cell[][]): string {
  const table = new Table({
    head: head.map((name) => name.toUpperCase()),
    chars: { ...PLAIN_BORDERS, middle: "  " },
    style: { "padding-left": 0, "padding-right": 0, head: [], border: [] },
  });
  table.push(...rows.map((row) => row.map((cell) => String(cell ?? "-"))));
  return table.toString();
}

/** Prints a value as JSON, or as the text that `toText` returns for it. */
export function print<T>(
  output: Output,
  value: T,
  toText: (value: T) => string,
): void {
  output.write(output.json ? JSON.stringify(value, null, 2) : toText(value));
}

/** Formats rows as CSV under a header, quoting cells where necessary. */
export function formatCsv(
  head: readonly string[],
  rows: readonly Cell[][],
): string {
  const quote = (cell: Cell) => {
    const text = String(cell ?? "");
    return /[",\n]/.test(text) ? `"${text.replaceAll('"', '""')}"` : text;
  };
  return [head, ...rows].map((row) => row.map(quote).join(",")).join("\n");
}
