/** Types of the part of `tdigest` that is used. */
declare module "tdigest" {
  /** Approximate distribution of numbers. */
  export class TDigest {
    /** Adds a value. */
    push(value: number): void;
    /** Returns the value at a share, 0 to 1, of all values; undefined where there are none. */
    percentile(share: number): number | undefined;
    /** Number of values and their approximate distribution. */
    n: number;
  }
}
