import { expect } from "chai";
import { Registry } from "prom-client";
import { createAdmissionCounters } from "./admission_metrics.ts";

describe("metrics of admission", () => {
  it("count refusals by cause and observe waits, also where none can be expected", async () => {
    const registry = new Registry();
    const gateway = {
      requests: new Map([
        ["r1", { isWaiting: true, route: { name: "chat" } }],
        ["r2", { isWaiting: false, route: { name: "chat" } }],
      ]),
    } as unknown as Parameters<typeof createAdmissionCounters>[0];
    const counters = createAdmissionCounters(gateway, [registry]);
    counters.capacity_refused!({ cause: "waited_out", expectedMs: 100 });
    counters.capacity_refused!({ cause: "wait_too_long" });
    counters.request_waits!({ expectedMs: 30 });
    counters.request_returned!({});
    counters.zone_counts_outdated!({});
    const text = await registry.metrics();
    expect(text).to.include("primrose_returned_requests_total 1");
    expect(text).to.include("primrose_zone_counts_outdated_total 1");
    expect(text).to.include('primrose_waiting_requests{route="chat"} 1');
    expect(text).to.include(
      'primrose_capacity_refusals_total{cause="wait_too_long"} 1',
    );
    expect(text).to.include(
      'primrose_expected_wait_seconds_count{decision="refuse"} 1',
    );
    expect(text).to.include(
      'primrose_expected_wait_seconds_count{decision="wait"} 1',
    );
  });
});
