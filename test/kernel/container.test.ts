import * as test from "node:test";
import * as earl from "earl";
import * as clocks from "../../src/kernel/clock.js";
import * as container from "../../src/kernel/container.js";
import * as random from "../../src/kernel/random.js";

test.describe("createKernel", () => {
  test.it("makes a service once and finds it by name", async () => {
    await using kernel = container.createKernel();
    let made = 0;
    kernel.register("clock", () => {
      made += 1;
      return clocks.createSystemClock();
    });
    earl.expect(kernel.use("clock")).toExactlyEqual(kernel.use("clock"));
    earl.expect(made).toEqual(1);
  });

  test.it("draws the same numbers from the same seed", () => {
    const first = random.createSeededRandom(7);
    const second = random.createSeededRandom(7);
    earl.expect(first.nextFloat()).toEqual(second.nextFloat());
  });
});
