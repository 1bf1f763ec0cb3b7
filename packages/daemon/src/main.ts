/**
 * Entry point of the daemon with the product's own interface.
 *
 * @module
 */
import { runProgram } from "./command_line.ts";
import { loadSettings } from "./settings/load.ts";
import { createDaemon } from "./wire.ts";

runProgram({
  load: loadSettings,
  async start(settings) {
    const daemon = await createDaemon(settings);
    return {
      stop: () => daemon.stop(),
      reload: ({ peerKey }) => daemon.setPeerKey(peerKey),
      reportError: daemon.reportError,
      stopped: daemon.stopped,
    };
  },
});
