/**
 * Timeouts that wait for what others may have sent in time.
 *
 * The event loop runs its timers before it reads its sockets. After a late turn a plain timeout therefore fires although
 * the answer has arrived; these fire only after the sockets were read once more.
 *
 * @module
 */

/** A timeout that can be cleared. */
export interface PatientTimer {
  clear(): void;
}

/**
 * Calls `onTimeout` once `ms` have passed and the sockets were read after that.
 *
 * @example
 * ```ts
 * const timer = startPatientTimer(300, () => socket.destroy());
 * socket.once("connect", () => timer.clear());
 * ```
 */
export function startPatientTimer(
  ms: number,
  onTimeout: () => void,
): PatientTimer {
  let afterRead: NodeJS.Immediate | undefined;
  const timer = setTimeout(() => {
    afterRead = setImmediate(onTimeout);
  }, ms);
  return {
    clear() {
      clearTimeout(timer);
      clearImmediate(afterRead);
    },
  };
}

/** Returns a signal that aborts as {@link startPatientTimer} fires, and keeps no process running. */
export function patientSignal(ms: number): AbortSignal {
  const controller = new AbortController();
  const abort = () =>
    controller.abort(
      new DOMException(`No answer came within ${ms} ms`, "TimeoutError"),
    );
  setTimeout(() => setImmediate(abort), ms).unref();
  return controller.signal;
}
