import { connect } from "node:net";
import { CALLER_KEYS, type System } from "@primroseshed/stand_ins";
import { expect } from "chai";
import { createChatBody, createHeaders, type ErrorBody } from "./client.ts";
import { startTestSystem } from "./fixture.ts";

interface Row {
  name: string;
  path?: string;
  method?: string;
  headers?: Record<string, string>;
  body?: string;
  status: number;
  code: string;
  messagePart: string;
}

const CHAT = "/v1/chat/completions";

const ROWS: Row[] = [
  {
    name: "malformed JSON",
    body: "{",
    status: 400,
    code: "invalid_request",
    messagePart: "Cannot parse the body as JSON",
  },
  {
    name: "a body that is not an object",
    body: "3",
    status: 400,
    code: "invalid_request",
    messagePart: "not valid",
  },
  {
    name: "messages of the wrong type",
    body: '{"model":"assistant","messages":"hi"}',
    status: 400,
    code: "invalid_request",
    messagePart: "messages",
  },
  {
    name: "an unknown message role",
    body: '{"model":"assistant","messages":[{"role":"uesr","content":"x"}]}',
    status: 400,
    code: "invalid_request",
    messagePart: "messages.0.role",
  },
  {
    name: "a request for too many tokens",
    body: createChatBody("x", { max_tokens: 1_000_000 }),
    status: 400,
    code: "invalid_request",
    messagePart: "ask for at most 4096",
  },
  {
    name: "an oversize body",
    body: createChatBody("x".repeat(5 * 1024 * 1024)),
    status: 413,
    code: "body_too_large",
    messagePart: "bytes",
  },
  {
    name: "an unknown model",
    body: createChatBody("x", { model: "asistant" }),
    status: 404,
    code: "not_found",
    messagePart: 'did you mean "assistant"?',
  },
  {
    name: "an unknown service",
    path: "/services/lendin/bookings",
    method: "GET",
    status: 404,
    code: "not_found",
    messagePart: 'did you mean "lending"?',
  },
  {
    name: "an unknown rank",
    headers: { "primrose-rank": "urgnt" },
    status: 400,
    code: "invalid_request",
    messagePart: 'did you mean "urgent"?',
  },
  {
    name: "a deadline that is not a number",
    headers: { "primrose-deadline-ms": "soon" },
    status: 400,
    code: "invalid_request",
    messagePart: "primrose-deadline-ms",
  },
  {
    name: "a deadline of zero",
    headers: { "primrose-deadline-ms": "0" },
    status: 400,
    code: "invalid_request",
    messagePart: "primrose-deadline-ms",
  },
  {
    name: "an idempotency key with spaces",
    headers: { "idempotency-key": "a b" },
    status: 400,
    code: "invalid_request",
    messagePart: "Idempotency-Key",
  },
  {
    name: "a wrong bearer key",
    headers: { authorization: "Bearer nobody" },
    status: 401,
    code: "unauthorized",
    messagePart: "Cannot accept this key",
  },
  {
    name: "a missing bearer key",
    headers: { authorization: "" },
    status: 401,
    code: "unauthorized",
    messagePart: "Authorization: Bearer",
  },
  {
    name: "an unknown path",
    path: "/v2/chat",
    status: 404,
    code: "not_found",
    messagePart: "docs/api.md",
  },
];

describe("bad input", () => {
  let system: System;
  before(async () => {
    system = await startTestSystem({
      daemons: 1,
      lendingSettings: { ranks: ["urgent", "standard"] },
    });
  });
  after(() => system.kill());

  const address = () => system.daemons[0]!.addresses.callers;
  const port = () => Number(new URL(address()).port);

  for (
    const {
      name,
      path = CHAT,
      method = "POST",
      headers,
      body = createChatBody("x"),
      status,
      code,
      messagePart,
    } of ROWS
  ) {
    it(`rejects ${name} with ${status} ${code} and verdict not_run`, async () => {
      const response = await fetch(`${address()}${path}`, {
        method,
        headers: createHeaders(headers),
        ...(method === "POST" && { body }),
      });
      const { error } = await response.json() as ErrorBody;
      expect(response.status).to.equal(status);
      expect(error).to.include({ code, verdict: "not_run" });
      expect(error.message).to.include(messagePart);
      expect(response.headers.get("primrose-verdict")).to.equal("not_run");
    });
  }

  it("rejects with 403 a rank that the deployment does not declare", async () => {
    const response = await fetch(`${address()}/services/lending/bookings`, {
      headers: createHeaders({ "primrose-rank": "batch" }),
    });
    expect(response.status).to.equal(403);
    expect((await response.json() as ErrorBody).error).to.include({
      code: "not_declared",
      verdict: "not_run",
    });
  });

  async function sendRaw(text: string): Promise<string> {
    const socket = connect(port(), "127.0.0.1");
    let received = "";
    socket.on("data", (chunk) => received += chunk);
    socket.write(text);
    await new Promise((resolve) => socket.once("close", resolve));
    return received;
  }

  it("rejects oversize headers with 431", async () => {
    const response = await sendRaw(
      `GET /v1/models HTTP/1.1\r\nhost: x\r\nx-big: ${
        "a".repeat(20_000)
      }\r\n\r\n`,
    );
    expect(response).to.match(/^HTTP\/1\.1 431 /);
    expect(response).to.include("headers_too_large");
  });

  it("rejects too many headers with 431", async () => {
    const headerLines = Array.from(
      { length: 150 },
      (_, index) => `x-${index}: 1\r\n`,
    )
      .join("");
    const response = await sendRaw(
      `GET /v1/models HTTP/1.1\r\nhost: x\r\nconnection: close\r\n${headerLines}\r\n`,
    );
    expect(response).to.match(/^HTTP\/1\.1 431 /);
  });

  it("rejects input that is not HTTP with 400", async () => {
    expect(await sendRaw("hello there\r\n\r\n")).to.match(/^HTTP\/1\.1 400 /);
  });

  it("runs no booking for a chunked body that is cut off, and keeps serving", async () => {
    const bookingsBefore = system.bookings.length;
    const socket = connect(port(), "127.0.0.1");
    const requestHead = [
      "POST /services/lending/bookings HTTP/1.1",
      "host: x",
      `authorization: Bearer ${CALLER_KEYS.tavua}`,
      "transfer-encoding: chunked",
    ];
    socket.write(
      `${requestHead.join("\r\n")}\r\n\r\n12\r\n{"item":"sling-1"\r\n`,
    );
    await new Promise((resolve) => setTimeout(resolve, 30));
    socket.destroy();
    const modelsResponse = await fetch(`${address()}/v1/models`, {
      headers: createHeaders(),
    });
    expect(modelsResponse.status).to.equal(200);
    expect(system.bookings.length).to.equal(bookingsBefore);
    expect(system.daemons[0]!.state.requests.size).to.equal(0);
  });
});
