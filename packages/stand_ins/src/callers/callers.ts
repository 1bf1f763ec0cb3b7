/**
 * Callers on a thread of their own: they send and leave also while the thread of the daemons under test stands still.
 *
 * @module
 */
import { Worker } from "node:worker_threads";

/** What the callers are to do. */
export type CallerOrder =
  /** Each request, with its head and body, goes over a connection of its own. */
  | { kind: "send"; host: string; port: number; requests: string[] }
  /** All callers close their connections after this time, ms. */
  | { kind: "leave"; afterMs: number };

/** Callers on a thread of their own. */
export interface Callers {
  /** Sends requests to an address, `IP:PORT`. */
  send(address: string, requests: string[]): void;
  leave(options: { afterMs: number }): void;
  /** What arrived on each connection that has ended. */
  received: string[];
  stop(): Promise<void>;
}

/**
 * Starts the thread.
 *
 * @example
 * ```ts
 * const callers = await startCallers();
 * callers.send("127.0.0.1:8080", ["GET / HTTP/1.1\r\nhost: a\r\n\r\n"]);
 * callers.leave({ afterMs: 100 });
 * suspendThread(1_500);
 * ```
 */
export async function startCallers(): Promise<Callers> {
  const worker = new Worker(new URL("./worker.js", import.meta.url));
  const received: string[] = [];
  worker.on("message", ({ text }: { text: string }) => received.push(text));
  await new Promise((resolve) => worker.once("online", resolve));
  const order = (order: CallerOrder) => worker.postMessage(order);
  return {
    received,
    send(address, requests) {
      const [host, port] = address.split(":") as [string, string];
      order({ kind: "send", host, port: Number(port), requests });
    },
    leave: ({ afterMs }) => order({ kind: "leave", afterMs }),
    async stop() {
      await worker.terminate();
    },
  };
}

/** Lets the calling thread stand still, without using its processor, as a process that is suspended. */
export function suspendThread(ms: number): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, ms);
}

/** Keeps the calling thread busy, as an event loop in a long turn. */
export function occupyThread(ms: number): void {
  const end = performance.now() + ms;
  while (performance.now() < end);
}
