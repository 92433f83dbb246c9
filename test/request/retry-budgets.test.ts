import * as test from "node:test";
import * as earl from "earl";
import * as retryBudgets from "../../src/request/retry-budgets.js";
import * as fakeClock from "../../standins/fake-clock.js";
import * as inertMetrics from "../telemetry/inert-metrics.js";

const log = { write: () => undefined };
const metrics = inertMetrics.createInertMetrics();
const SETTINGS = { ratio: 0.2, slack: 54, windowMs: 10_000 };
const VM_COUNT = 7;

function createBudgets(
  clock: fakeClock.FakeClock,
  settings: retryBudgets.RetryBudgetSettings,
): retryBudgets.RetryBudgets {
  return new retryBudgets.RetryBudgets({
    getSettings: () => settings,
    clock,
    countVms: () => 1,
    log,
    metrics,
  });
}

/**
 * Guards against a retry storm: each VM enforces its share of the budget without coordination, and
 * the retries of all VMs together must stay within the budget.
 */
test.describe("RetryBudgets", () => {
  test.it("charges a retry for all requests that it sends", async () => {
    const clock = fakeClock.createFakeClock();
    const budgets = createBudgets(clock, { ratio: 0, slack: 10, windowMs: 10_000 });
    budgets.recordCall("model");
    await clock.advance(10_000);
    const reserved = [2, 2, 1].map((cost) => budgets.reserve("model", cost));
    earl.expect(reserved).toEqual([true, true, false]);
    await clock.advance(2_000);
    earl.expect(budgets.reserve("model", 1)).toEqual(false);
    await clock.advance(1_000);
    earl.expect(budgets.reserve("model", 1)).toEqual(true);
  });

  // Guards against BUDGET: each process that started had a full bucket, so restarts multiplied the retries.
  test.it("starts empty and fills from the calls of its own VM", () => {
    const budgets = createBudgets(fakeClock.createFakeClock(), { ...SETTINGS, slack: 0 });
    earl.expect(budgets.reserve("plain", 1)).toEqual(false);
    for (let count = 0; count < 100; count += 1) budgets.recordCall("plain");
    const reserved = [1, 1, 1].map((cost) => budgets.reserve("plain", cost));
    earl.expect(reserved).toEqual([true, true, false]);
  });

  test.it("limits the total retries of all VMs to the budget in every window", async () => {
    const clock = fakeClock.createFakeClock();
    const vms = Array.from({ length: VM_COUNT }, () => {
      return new retryBudgets.RetryBudgets({
        getSettings: () => SETTINGS,
        clock,
        countVms: () => VM_COUNT,
        log,
        metrics,
      });
    });
    const retriedAt: number[] = [];
    const calledAt: number[] = [];
    for (let step = 0; step < 600; step += 1) {
      for (const vm of vms) {
        if (step % 3 === 0) {
          vm.recordCall("plain");
          calledAt.push(clock.now());
        }
        for (let request = 0; request < 3; request += 1) {
          if (vm.reserve("plain", 1)) retriedAt.push(clock.now());
        }
      }
      await clock.advance(50);
    }
    const countIn = (times: readonly number[], from: number): number =>
      times.filter((at) => at >= from && at < from + SETTINGS.windowMs).length;
    for (let from = 0; from <= 20_000; from += 250) {
      const allowed = SETTINGS.ratio * countIn(calledAt, from) + SETTINGS.slack;
      earl.expect(countIn(retriedAt, from) <= allowed).toEqual(true);
    }
  });
});
