/**
 * Cuts connections of one daemon to given addresses, as a fault of its network does.
 *
 * @module
 */
import { Socket } from "node:net";
import { type Connect, createConnect } from "@primroseshed/daemon";

/** How connections are cut: they hang, or are reset. */
export type Cut = "silent" | "reset";

/** Opens connections, and cuts them. */
export interface BreakableConnect {
  connect: Connect;
  /** Cuts the path to the given `IP:PORT`, open connections included. */
  cut(how: Cut, addresses: readonly string[]): void;
  /** Ends all cuts. */
  heal(): void;
}

/**
 * Creates a function that opens connections which can be cut.
 *
 * @example
 * ```ts
 * const { connect, cut } = createBreakableConnect();
 * const daemon = await createDaemon(settings, { connect });
 * cut("silent", ["127.0.0.1:8080"]);
 * ```
 */
export function createBreakableConnect(): BreakableConnect {
  const connect = createConnect();
  const open = new Map<Socket, string>();
  const cuts = new Map<string, Cut>();

  const breakable: Connect = (options, callback) => {
    const address = `${options.hostname}:${options.port}`;
    const how = cuts.get(address);
    if (how === undefined) {
      const socket = connect(options, callback);
      open.set(socket, address);
      socket.once("close", () => open.delete(socket));
      return socket;
    }
    const socket = new Socket();
    socket.once("error", (error) => callback(error, null));
    if (how === "reset") {
      const error = new Error("Refused by the test");
      setImmediate(() =>
        socket.destroy(Object.assign(error, { code: "ECONNREFUSED" }))
      );
    }
    return socket;
  };
  return {
    connect: breakable,
    cut(how: Cut, addresses: readonly string[]): void {
      for (const address of addresses) cuts.set(address, how);
      for (const [socket, address] of open) {
        if (!cuts.has(address)) continue;
        if (how === "reset") socket.destroy(new Error("Reset by the test"));
        // Nothing that arrives or is written reaches the other side any more.
        else {
          socket.removeAllListeners("readable");
          socket.pause();
        }
      }
    },
    heal: () => cuts.clear(),
  };
}
