import * as test from "node:test";
import * as earl from "earl";
import * as retryBudgets from "../../src/serving/retry-budgets.js";
import * as fakeClock from "../../standins/fake-clock.js";

const SETTINGS = { ratio: 0.2, slack: 54, windowMs: 10_000 };
const VMS = 7;

/**
 * Guards against a retry storm: each VM spends its share on its own, and together they must not
 * exceed the budget.
 */
test.describe("RetryBudgets", () => {
  test.it("keeps the retries of all VMs together within the budget of any window", async () => {
    const clock = fakeClock.createFakeClock();
    const vms = Array.from({ length: VMS }, () => {
      return new retryBudgets.RetryBudgets(
        () => SETTINGS,
        clock,
        () => VMS,
      );
    });
    const repeatedAt: number[] = [];
    const calledAt: number[] = [];
    for (let step = 0; step < 600; step += 1) {
      for (const vm of vms) {
        if (step % 3 === 0) {
          vm.recordCall("plain");
          calledAt.push(clock.now());
        }
        for (let wanted = 0; wanted < 3; wanted += 1) {
          if (vm.reserve("plain")) repeatedAt.push(clock.now());
        }
      }
      await clock.advance(50);
    }
    const countIn = (times: readonly number[], from: number): number =>
      times.filter((at) => at >= from && at < from + SETTINGS.windowMs).length;
    for (let from = 0; from <= 20_000; from += 250) {
      const allowed = SETTINGS.ratio * countIn(calledAt, from) + SETTINGS.slack;
      earl.expect(countIn(repeatedAt, from) <= allowed).toEqual(true);
    }
  });
});
