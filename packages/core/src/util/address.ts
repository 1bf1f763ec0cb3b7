/**
 * Checks numeric network addresses, `IP:PORT`.
 *
 * @module
 */

const MAX_OCTET = 255;
const MAX_PORT = 65_535;
const ADDRESS = /^(\d{1,3})\.(\d{1,3})\.(\d{1,3})\.(\d{1,3}):(\d{1,5})$/;

/**
 * Returns whether a text is an IPv4 address with a port that can be connected to.
 *
 * @example
 * ```ts
 * isAddress("10.0.0.1:8000"); // true
 * isAddress("10.0.0.1:99991"); // false
 * ```
 */
export function isAddress(text: string): boolean {
  const numbers = ADDRESS.exec(text)?.slice(1).map(Number);
  if (numbers === undefined) return false;
  const port = numbers.pop()!;
  return port >= 1 && port <= MAX_PORT &&
    numbers.every((octet) => octet <= MAX_OCTET);
}
