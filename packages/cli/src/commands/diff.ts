/**
 * Compares two values field by field.
 *
 * @module
 */

/** One field that differs. */
export interface Change {
  path: string;
  from: unknown;
  to: unknown;
}

function isObject(value: unknown): value is Record<string, unknown> {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}

/**
 * Lists the fields in which two values differ.
 *
 * @example
 * ```ts
 * diffValues({ a: 1 }, { a: 2 }); // [{ path: "a", from: 1, to: 2 }]
 * ```
 */
export function diffValues(from: unknown, to: unknown, path = ""): Change[] {
  if (isObject(from) && isObject(to)) {
    const keys = [...new Set([...Object.keys(from), ...Object.keys(to)])];
    return keys.flatMap((key) =>
      diffValues(from[key], to[key], path ? `${path}.${key}` : key)
    );
  }
  return JSON.stringify(from) === JSON.stringify(to)
    ? []
    : [{ path, from, to }];
}
