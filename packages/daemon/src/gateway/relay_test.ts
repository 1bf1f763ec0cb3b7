import { once } from "node:events";
import {
  createServer,
  get,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";
import type { EventBody, EventOf } from "@primroseshed/core";
import { expect } from "chai";
import { type Agents, createAgents } from "../backend/transport.ts";
import type { HeaderCodec } from "./adapters.ts";
import { createBufferBudget } from "./buffer_budget.ts";
import { createRelay, type Relay } from "./relay.ts";

const MAX_BYTES = 1_000;
const EVENT = "id: 1\ndata: a\n\n";
const SENT = {
  kind: "send_to_runner",
  request: "r1",
  runner: "engine-0",
  remainingMs: 5_000,
  urgency: 5,
  team: undefined,
  isRepeatable: true,
  isStream: true,
  isTrial: false,
  isHedge: false,
  forwarder: undefined,
} as const;

const headerCodec = {
  requestHeaders: () => [],
  responseHeaders: () => ({}),
  readResponse: () => ({ verdict: "ran", isForeign: false }),
} as unknown as HeaderCodec;

async function listen(
  handle: (request: IncomingMessage, response: ServerResponse) => void,
): Promise<Server> {
  const server = createServer(handle).listen(0, "127.0.0.1");
  await once(server, "listening");
  return server;
}

function addressOf(server: Server): string {
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

describe("relay of a stream", () => {
  let runner: Server;
  let callers: Server;
  let agents: Agents;

  afterEach(() => {
    for (const server of [runner, callers]) {
      server.closeAllConnections();
      server.close();
    }
    void agents.reusing.destroy();
    void agents.fresh.destroy();
  });

  /** Relays the first attempt of a request; the callback decides on each event as the reducer does. */
  async function relay(
    answer: (response: ServerResponse) => void,
    decide: (event: EventBody, relay: Relay) => void,
  ): Promise<string> {
    agents = createAgents({ connectTimeoutMs: 1_000 });
    runner = await listen((_request, response) => answer(response));
    const address = addressOf(runner);
    callers = await listen((request, response) => {
      const relay = createRelay({
        name: "r1",
        id: "r1",
        key: undefined,
        request,
        response,
        body: Buffer.alloc(0),
        held: { setStage: () => undefined } as never,
        agents,
        headerCodec,
        isStopping: () => false,
        connections: {} as never,
        buffers: createBufferBudget({ maxBytes: MAX_BYTES }),
        dispatch: (event) => decide(event, relay),
        log: () => undefined,
      });
      relay.send({ ...SENT, address, attempt: 1, resumeAfter: undefined });
    });
    const [response] = await once(
      get(`http://${addressOf(callers)}`),
      "response",
    ) as [IncomingMessage];
    let text = "";
    for await (const chunk of response) text += chunk;
    return text;
  }

  // Guards against an event that comes twice: passed on after the run that goes on before it was asked for (ORDER).
  it("passes on no event of a response that is given up before it is counted", async () => {
    const lastEvents: (string | undefined)[] = [];
    const text = await relay((response) => {
      response.setHeader("content-type", "text/event-stream");
      response.write(`${EVENT}id: 2\ndata: ${"x".repeat(MAX_BYTES)}`);
    }, (event, relay) => {
      const { kind } = event;
      if (kind === "response_progressed") {
        lastEvents.push((event as EventOf<typeof kind>).lastEvent);
      }
      if (kind === "response_failed") {
        lastEvents.push("failed");
        setTimeout(() => relay.finish(), 50);
      }
    });
    expect({ text, lastEvents }).to.deep.equal({
      text: EVENT,
      lastEvents: ["1", "failed"],
    });
  });
});
