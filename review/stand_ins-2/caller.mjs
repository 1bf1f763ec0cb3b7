// Callers: send requests to a daemon and note what they were answered.
import { Agent, request } from "node:http";
import { randomBytes } from "node:crypto";
import { Buffer } from "node:buffer";

/** Key of the tenant in the configuration. */
export const KEY = "n2ctnfzs989anu6wsjnb";
export const HOST = "ficu95.example";

/** Creates the callers of one daemon. */
export function createCallers(daemon) {
  const agent = new Agent({ keepAlive: true, maxSockets: 200 });
  const sent = [];
  const timers = new Set();

  /** Sends one request; resolves to its record once it has ended. */
  function send(
    path,
    { method = "GET", deadlineMs = 1_500, key = KEY, body, headers = {} } = {},
  ) {
    const id = randomBytes(8).toString("hex");
    const record = {
      daemon: daemon.name,
      id,
      path,
      method,
      sentAt: performance.now(),
      endedAt: undefined,
      status: undefined,
      cause: undefined,
      headers: {},
      body: "",
    };
    sent.push(record);
    return new Promise((resolve) => {
      const call = request({
        host: daemon.host,
        port: daemon.front,
        path,
        method,
        agent,
        headers: {
          host: HOST,
          "primroseshed-attempt-id": id,
          "primroseshed-deadline-ms": String(deadlineMs),
          "primroseshed-key": key,
          ...body === undefined
            ? {}
            : { "content-length": Buffer.byteLength(body) },
          ...headers,
        },
      }, (response) => {
        record.status = response.statusCode;
        record.headers = response.headers;
        response.on("data", (bytes) => record.body += bytes);
        response.on("end", () => end(undefined));
        response.on("error", (error) => end(error.code));
      });
      const patience = setTimeout(
        () => call.destroy(new Error("given up")),
        deadlineMs + 1_000,
      );
      function end(cause) {
        if (record.endedAt !== undefined) return;
        clearTimeout(patience);
        record.endedAt = performance.now();
        record.cause = cause;
        resolve(record);
      }
      call.on("error", (error) => end(error.code ?? error.message));
      call.end(body);
    });
  }

  return {
    sent,
    send,
    /** Sends requests at a steady rate until it is stopped. */
    every(ms, path, options) {
      const timer = setInterval(() => void send(path, options), ms);
      timers.add(timer);
    },
    stop() {
      for (const timer of timers) clearInterval(timer);
      timers.clear();
    },
    close() {
      agent.destroy();
    },
  };
}
