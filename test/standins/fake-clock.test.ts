import * as test from "node:test";
import * as earl from "earl";
import * as clocks from "../../src/kernel/clock.js";
import * as fakeClock from "../../standins/fake-clock.js";

test.describe("createFakeClock", () => {
  test.it("runs chained sleeps within one advance", async () => {
    const clock = fakeClock.createFakeClock();
    const times: number[] = [];
    const run = async (): Promise<void> => {
      for (let round = 0; round < 3; round += 1) {
        await clocks.sleep(clock, 10);
        times.push(clock.now());
      }
    };
    const running = run();
    await clock.advance(30);
    await running;
    earl.expect(times).toEqual([10, 20, 30]);
  });

  test.it("defers the timers of a paused node until it resumes", async () => {
    const clock = fakeClock.createFakeClock();
    const node = clock.createNodeClock();
    let firedAt = -1;
    node.schedule(10, () => {
      firedAt = node.now();
    });
    node.pause();
    await clock.advance(20_000);
    earl.expect(firedAt).toEqual(-1);
    node.resume();
    await clock.advance(1);
    earl.expect(firedAt).toBeGreaterThan(19_999);
  });
});
