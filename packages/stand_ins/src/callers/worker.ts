/**
 * Thread of callers that go on while the thread of the daemons under test stands still.
 *
 * @module
 */
import { connect, type Socket } from "node:net";
import { parentPort } from "node:worker_threads";
import type { CallerOrder } from "./callers.ts";

const sockets: Socket[] = [];

/** Handlers of orders by kind. */
const handlers: {
  [K in CallerOrder["kind"]]: (
    order: Extract<CallerOrder, { kind: K }>,
  ) => void;
} = {
  send({ host, port, requests }) {
    for (const request of requests) {
      const socket = connect({ host, port }, () => socket.write(request));
      let text = "";
      socket.setEncoding("latin1");
      socket.on("data", (chunk) => text += chunk);
      socket.on("error", () => undefined);
      socket.on("close", () => parentPort!.postMessage({ text }));
      sockets.push(socket);
    }
  },
  leave({ afterMs }) {
    setTimeout(() => {
      for (const socket of sockets.splice(0)) socket.destroy();
    }, afterMs);
  },
};

parentPort!.on("message", (order: CallerOrder) => {
  (handlers[order.kind] as (order: CallerOrder) => void)(order);
});
