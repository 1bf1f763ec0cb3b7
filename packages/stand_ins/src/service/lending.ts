/**
 * Stand-in for a plain service whose bookings must not run twice: the lending service.
 *
 * @module
 */
import type { MemberStatus } from "@primroseshed/core";
import {
  createApp,
  type Faults,
  type Listener,
  readJson,
  sendJson,
  startListener,
} from "../http/listener.ts";

/** A booking that has run. */
export interface Booking {
  id: number;
  item: string;
  request: string;
}

/** Faults that a backend server simulates in addition to those of its listener. */
export interface LendingServerFaults extends Faults {
  /** Resets the connection after a booking has run. */
  resetAfterRun: boolean;
  /** Responds with this status without running the booking. */
  refusalStatus: number | undefined;
  /** Times at which bookings were refused, ms. */
  refusedAt: number[];
  /** Sends part of the list of bookings, then resets the connection. */
  cutBody: boolean;
  /** Delay between running a booking and the response, ms. */
  responseDelayMs: number;
}

/** A running lending backend server. */
export interface LendingServer extends Listener {
  faults: LendingServerFaults;
  status: MemberStatus;
}

/** Starts a backend server; several may share one list of bookings, which stands for a shared database. */
export async function startLendingServer(
  { vm, host, port, bookings }: {
    vm: string;
    host?: string;
    port?: number;
    bookings: Booking[];
  },
): Promise<LendingServer> {
  const faults: LendingServerFaults = {
    down: false,
    paused: false,
    slowMs: 0,
    loseResponses: false,
    resetAfterRun: false,
    refusalStatus: undefined,
    refusedAt: [],
    cutBody: false,
    responseDelayMs: 0,
  };
  const status: MemberStatus = { vm, incarnation: `${vm}-0`, state: "ready" };
  const app = createApp()
    .get(
      "/status",
      (_request, response) => sendJson(response, 200, { body: status }),
    )
    .get("/bookings", (request, response) => {
      if (!faults.cutBody) {
        return sendJson(response, 200, { body: { bookings } });
      }
      response.writeHead(200, {
        "content-type": "application/json",
        "content-length": "1000",
      });
      response.write('{"bookings":');
      setTimeout(() => request.socket.destroy(), 5);
    })
    .post("/bookings", async (request, response) => {
      if (faults.refusalStatus !== undefined) {
        faults.refusedAt.push(performance.now());
        return sendJson(response, faults.refusalStatus, {
          body: { error: "not run" },
        });
      }
      const body = await readJson<{ item?: unknown } | null>(request).catch(
        () => null,
      );
      if (typeof body?.item !== "string") {
        return sendJson(response, 422, {
          body: { error: "item is missing" },
        });
      }
      const booking = {
        id: bookings.length + 1,
        item: body.item,
        request: String(request.headers["x-request-id"]),
      };
      bookings.push(booking);
      if (faults.resetAfterRun) return void request.socket.destroy();
      if (faults.responseDelayMs > 0) {
        await new Promise((resolve) =>
          setTimeout(resolve, faults.responseDelayMs)
        );
      }
      sendJson(response, 201, { body: booking });
    })
    .post("/echo", (request, response) => {
      response.writeHead(200, {
        "content-type": String(request.headers["content-type"] ?? "text/plain"),
      });
      request.pipe(response);
    });
  const listener = await startListener(app, {
    ...(host && { host }),
    ...(port && { port }),
    faults,
  });
  return { ...listener, faults, status };
}
