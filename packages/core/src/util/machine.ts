/**
 * Runs `robot3` state machines whose current state is kept as a plain string.
 *
 * @module
 */
interface Definition {
  states: Record<string, { transitions: Map<string, { to: string }[]> }>;
}

/**
 * Returns the state that `event` leads to, or undefined if the machine does not allow the transition.
 *
 * The reducer keeps only the state's name, so that dumps and replays stay plain data.
 *
 * @example
 * ```ts
 * const machine = createMachine("running", { running: state(transition("stop", "stopped")), stopped: state() });
 * nextState(machine, "running", "stop"); // "stopped"
 * nextState(machine, "stopped", "stop"); // undefined
 * ```
 */
export function nextState<S extends string>(
  machine: object,
  current: S,
  event: string,
): S | undefined {
  const transitions = (machine as Definition).states[current]?.transitions.get(
    event,
  );
  return transitions?.[0]?.to as S | undefined;
}
