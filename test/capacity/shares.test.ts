import * as test from "node:test";
import * as earl from "earl";
import * as virtualClock from "../../bench/virtual-clock.js";
import * as shares from "../../src/capacity/shares.js";

test.describe("computeFairLevel", () => {
  test.it("is infinite when all are served", () => {
    const demands = [{ perShare: 3, share: 1 }];
    earl.expect(shares.computeFairLevel(demands, 3)).toEqual(Infinity);
  });

  test.it("serves small demands in full and divides the rest by share", () => {
    const demands = [
      { perShare: 1, share: 1 },
      { perShare: 50, share: 1 },
      { perShare: 50, share: 3 },
    ];
    earl.expect(shares.computeFairLevel(demands, 9)).toEqual(2);
  });
});

test.describe("CallerShares", () => {
  test.it("tells a flooding caller from a busy one that all have room for", async () => {
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
    earl.expect(callers.isExceeded("flooder")).toEqual(true);
    earl.expect(callers.isExceeded("busy")).toEqual(false);
    earl.expect(callers.isExceeded("small1")).toEqual(false);
  });

  test.it(
    "puts a flooding caller that had less of its share before one that had more",
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
      earl.expect(callers.computeUse("small")).toEqual(0);
      earl.expect(callers.computeUse("starved") > 0).toEqual(true);
      earl.expect(callers.computeUse("starved") < callers.computeUse("served")).toEqual(true);
    },
  );

  test.it("holds no one to a share while all are served", () => {
    const callers = new shares.CallerShares(new virtualClock.VirtualClock());
    for (let request = 0; request < 50; request += 1) {
      callers.recordRequest("only", 1);
      callers.recordGrant("only");
    }
    earl.expect(callers.isExceeded("only")).toEqual(false);
  });

  test.it("forgets callers that are idle", async () => {
    const clock = new virtualClock.VirtualClock();
    const callers = new shares.CallerShares(clock);
    callers.recordRequest("a", 1);
    await clock.run(61_000);
    callers.recordRequest("b", 1);
    earl.expect(callers.size).toEqual(1);
  });
});
