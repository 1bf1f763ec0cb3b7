/**
 * Limits the bytes of responses that a daemon holds, until they are complete or until their callers read them.
 *
 * A few faulty runners whose responses never end would otherwise take the memory of the process, and with it the
 * requests of all other callers, and so would callers that do not read. Beyond the limit the answer that holds most of
 * those left unread is given up, and where there is none, the incomplete response that holds most.
 *
 * @module
 */

/** What one response holds. */
export interface BufferShare {
  /** Records the bytes that the response holds now. */
  set(bytes: number): void;
  /** Records that it holds nothing any more. */
  release(): void;
}

/** Options of {@link BufferBudget.open}. */
export interface BufferOptions {
  /** True for bytes that their caller leaves unread; these are given up first. */
  isUnread?: boolean;
}

/** Bytes that all responses may hold together. */
export interface BufferBudget {
  /** Adds a response; `onGivenUp` is called where it holds most when the limit is exceeded. */
  open(onGivenUp: () => void, options?: BufferOptions): BufferShare;
  /** Returns the bytes that all responses hold. */
  total(): number;
}

interface Holder {
  bytes: number;
  isUnread: boolean;
  onGivenUp(): void;
}

function goesBefore(left: Holder, right: Holder): boolean {
  if (left.isUnread !== right.isUnread) return left.isUnread;
  return left.bytes > right.bytes;
}

/**
 * Creates the budget.
 *
 * @example
 * ```ts
 * const budget = createBufferBudget({ maxBytes: 100 });
 * const share = budget.open(() => console.log("given up"));
 * share.set(101); // given up
 * ```
 */
export function createBufferBudget(
  { maxBytes }: { maxBytes: number },
): BufferBudget {
  const holders = new Set<Holder>();
  let total = 0;

  function setBytes(holder: Holder, bytes: number): void {
    total += bytes - holder.bytes;
    holder.bytes = bytes;
    if (bytes === 0) holders.delete(holder);
    else holders.add(holder);
  }

  function giveUpLargest(): void {
    const [first, ...others] = holders;
    if (first === undefined) return;
    const largest = others.reduce(
      (left, right) => goesBefore(right, left) ? right : left,
      first,
    );
    setBytes(largest, 0);
    largest.onGivenUp();
  }

  return {
    open(onGivenUp, { isUnread = false } = {}) {
      const holder: Holder = { bytes: 0, isUnread, onGivenUp };
      return {
        set(bytes) {
          setBytes(holder, bytes);
          if (total > maxBytes) giveUpLargest();
        },
        release: () => setBytes(holder, 0),
      };
    },
    total: () => total,
  };
}
