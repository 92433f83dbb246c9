import * as test from "node:test";
import * as earl from "earl";
import type * as membership from "../../src/membership/types.js";
import * as placementService from "../../src/placement/placement-service.js";
import type * as poolScheduler from "../../src/placement/pool-scheduler.js";
import * as fakeClock from "../../standins/fake-clock.js";
import * as inertMetrics from "../telemetry/inert-metrics.js";

/** Returns a membership that sees only this VM and one other, which is the scheduler. */
function createMembership(): membership.Membership {
  const members = ["a", "b"].map((vm) => ({ vm, state: "alive" }));
  return {
    self: { vm: "z", state: "alive" },
    listAlive: () => members,
    listMembers: () => members,
    onChange: () => ({ [Symbol.dispose]: () => undefined }),
  } as unknown as membership.Membership;
}

test.describe("PlacementService", () => {
  // Guards against placing alone on a share of the runners that is divided by the few VMs that look alive.
  test.it("divides the runners by all known VMs when it cannot reach the scheduler", async () => {
    const shares: number[] = [];
    const scheduler = {
      setCapacityShare: (share: number) => shares.push(share),
      close: () => undefined,
      submit: (_request: unknown, onResult: (result: unknown) => void) => {
        onResult({ granted: false, retryAfterMs: 1 });
        return () => undefined;
      },
    } as unknown as poolScheduler.PoolScheduler;
    const network = {
      onStream: () => undefined,
      onCall: () => undefined,
      stream: () => {
        throw new Error("scheduler is unreachable");
      },
    };
    await using service = new placementService.PlacementService({
      clock: fakeClock.createFakeClock(),
      log: { write: () => undefined },
      metrics: inertMetrics.createInertMetrics(),
      network: network as never,
      membership: createMembership(),
      holders: { find: () => "b" },
      countVms: () => 7,
      createScheduler: () => scheduler,
    });
    const request = { key: "r1/0", service: "model" } as never;
    await service.reserve(request, new AbortController().signal);
    earl.expect(shares).toEqual([1 / 7]);
  });
});
