import * as test from "node:test";
import * as earl from "earl";
import * as virtualClock from "../../bench/virtual-clock.js";
import * as shares from "../../src/capacity/shares.js";

test.describe("computeFairLevel", () => {
  test.it("is infinite if all demand can be served", () => {
    const demands = [{ perShare: 3, share: 1 }];
    earl.expect(shares.computeFairLevel(demands, 3)).toEqual(Infinity);
  });

  test.it("serves small demands in full and divides the rest in proportion to the shares", () => {
    const demands = [
      { perShare: 1, share: 1 },
      { perShare: 50, share: 1 },
      { perShare: 50, share: 3 },
    ];
    earl.expect(shares.computeFairLevel(demands, 9)).toEqual(2);
  });
});

test.describe("CallerShares", () => {
  // A caller that floods must not take the slots of callers that stay within their share.
  test.it(
    "marks a flooding caller as above its share, and no caller within its share",
    async () => {
      const clock = new virtualClock.VirtualClock();
      const callers = new shares.CallerShares(clock);
      for (let second = 0; second < 100; second += 1) {
        for (let request = 0; request < 20; request += 1) callers.recordRequest("flooder", 1);
        for (let request = 0; request < 4; request += 1) callers.recordRequest("busy", 1);
        callers.recordRequest(`small${second % 10}`, 1);
        for (let grant = 0; grant < 4; grant += 1) callers.recordGrant("busy");
        callers.recordGrant(`small${second % 10}`);
        for (let grant = 0; grant < 6; grant += 1) callers.recordGrant("flooder");
        await clock.run(clock.now() + 100);
      }
      earl.expect(callers.isShareExceeded("flooder")).toEqual(true);
      earl.expect(callers.isShareExceeded("busy")).toEqual(false);
      earl.expect(callers.isShareExceeded("small1")).toEqual(false);
    },
  );

  test.it(
    "computes a lower usage for a flooding caller that was granted less of its share",
    async () => {
      const clock = new virtualClock.VirtualClock();
      const callers = new shares.CallerShares(clock);
      for (let step = 0; step < 100; step += 1) {
        for (let request = 0; request < 20; request += 1) callers.recordRequest("served", 1);
        for (let request = 0; request < 20; request += 1) callers.recordRequest("starved", 1);
        callers.recordRequest("small", 1);
        for (let grant = 0; grant < 9; grant += 1) callers.recordGrant("served");
        callers.recordGrant("starved");
        await clock.run(clock.now() + 100);
      }
      earl.expect(callers.computeUsage("small")).toEqual(0);
      earl.expect(callers.computeUsage("starved") > 0).toEqual(true);
      earl.expect(callers.computeUsage("starved") < callers.computeUsage("served")).toEqual(true);
    },
  );

  test.it("does not mark a sole caller with all requests granted as above its share", () => {
    const callers = new shares.CallerShares(new virtualClock.VirtualClock());
    for (let request = 0; request < 50; request += 1) {
      callers.recordRequest("only", 1);
      callers.recordGrant("only");
    }
    earl.expect(callers.isShareExceeded("only")).toEqual(false);
  });

  test.it("evicts idle callers", async () => {
    const clock = new virtualClock.VirtualClock();
    const callers = new shares.CallerShares(clock);
    callers.recordRequest("a", 1);
    await clock.run(61_000);
    callers.recordRequest("b", 1);
    earl.expect(callers.size).toEqual(1);
  });
});
