import { expect } from "chai";
import { forwardableHeaders, readRequestOptions } from "./request_headers.ts";

describe("forwardableHeaders", () => {
  it("drops hop-by-hop headers and those that Connection names", () => {
    const headers = {
      connection: "close, X-Secret-Hop",
      "x-secret-hop": "1",
      "transfer-encoding": "chunked",
      te: "trailers",
      upgrade: "h2c",
      "proxy-authorization": "x",
      "x-kept": "2",
      "set-cookie": ["a=1", "b=2"],
    };
    expect(forwardableHeaders(headers, { consume: false })).to.deep.equal({
      "x-kept": "2",
      "set-cookie": ["a=1", "b=2"],
    });
  });

  it("never forwards a caller's key to a service", () => {
    const headers = {
      authorization: "Bearer key",
      host: "h",
      "content-length": "3",
      accept: "*/*",
    };
    expect(forwardableHeaders(headers, { consume: true })).to.deep.equal({
      accept: "*/*",
    });
  });
});

describe("readRequestOptions", () => {
  it("defaults to standard rank without deadline or key", () => {
    expect(readRequestOptions({})).to.deep.equal({ rank: "standard" });
  });

  it("reads rank, deadline and key", () => {
    const headers = {
      "primrose-rank": "urgent",
      "primrose-deadline-ms": "500",
      "idempotency-key": "k",
    };
    expect(readRequestOptions(headers)).to.deep.equal({
      rank: "urgent",
      deadlineMs: 500,
      key: "k",
    });
  });
});
