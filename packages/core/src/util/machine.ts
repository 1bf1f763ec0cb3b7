/**
 * Runs `robot3` machines over states that are kept as plain strings.
 *
 * @module
 */
interface Definition {
  states: Record<string, { transitions: Map<string, { to: string }[]> }>;
}

/**
 * Returns the state that `event` leads to, or undefined where the machine does not allow it.
 *
 * The reducer keeps only the state's name, so that dumps and replays stay plain data.
 *
 * @example
 * ```ts
 * const door = createMachine("open", { open: state(transition("close", "shut")), shut: state() });
 * nextState(door, "open", "close"); // "shut"
 * nextState(door, "shut", "close"); // undefined
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
