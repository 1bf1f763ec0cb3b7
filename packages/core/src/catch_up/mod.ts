/**
 * Lets a daemon whose event loop was late read its sockets before it decides.
 *
 * @module
 */
export {
  createCatchUp,
  dropDeferred,
  hasDueEvent,
  isCatchingUp,
  mayDecide,
  noteLateness,
  recordRead,
  takeDueEvent,
  tryDefer,
} from "./catch_up.ts";
