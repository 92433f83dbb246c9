import * as test from "node:test";
import * as earl from "earl";
import * as clocks from "../../src/kernel/clock.js";
import * as container from "../../src/kernel/container.js";
import * as random from "../../src/kernel/random.js";

test.describe("the kernel", () => {
  test.it("createKernel creates each service once and resolves it by name", async () => {
    await using kernel = container.createKernel();
    let created = 0;
    kernel.register("clock", () => {
      created += 1;
      return clocks.createSystemClock();
    });
    earl.expect(kernel.use("clock")).toExactlyEqual(kernel.use("clock"));
    earl.expect(created).toEqual(1);
  });

  test.it("createSeededRandom yields the same numbers for the same seed", () => {
    const first = random.createSeededRandom(7);
    const second = random.createSeededRandom(7);
    earl.expect(first.nextFloat()).toEqual(second.nextFloat());
  });
});
