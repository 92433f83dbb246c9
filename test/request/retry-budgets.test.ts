import * as test from "node:test";
import * as earl from "earl";
import * as fastCheck from "fast-check";
import * as retryBudgets from "../../src/request/retry-budgets.js";
import * as sendAccount from "../../src/request/send-account.js";
import * as fakeClock from "../../standins/fake-clock.js";
import * as inertMetrics from "../telemetry/inert-metrics.js";

const SETTINGS = { ratio: 0.2, slack: 54, windowMs: 10_000 };
const VM_COUNT = 7;
const STEP_MS = 100;
/** Fraction of the ratio that a VM uses, and of the slack. */
const USABLE_SHARE = 0.8;
/** Retries that a VM without a share of the slack accumulates. */
const MIN_CAPACITY = 2;

function createBudgets(
  clock: fakeClock.FakeClock,
  findVmCount: () => number | undefined,
  settings = SETTINGS,
): retryBudgets.RetryBudgets {
  const log = { write: () => undefined };
  const metrics = inertMetrics.createInertMetrics();
  return new retryBudgets.RetryBudgets({
    getSettings: () => settings,
    clock,
    findShare: () => {
      const vmCount = findVmCount();
      return vmCount === undefined ? undefined : { vmCount, inForceMs: Infinity };
    },
    log,
    metrics,
  });
}

/** Returns the largest number of `times` in any window. */
function computeMost(times: readonly number[], windowMs: number): number {
  const counts = times.map((from) => times.filter((at) => at >= from && at < from + windowMs));
  return Math.max(0, ...counts.map(({ length }) => length));
}

/** What one VM does in one step, and what it believes of the fleet. */
interface VmStep {
  readonly vm: number;
  readonly calls: number;
  readonly restarts: boolean;
  /** Whether it believes that it knows the fleet; a VM that has restarted does not. */
  readonly isSure: boolean;
  /** VMs that it counts beyond those that exist. */
  readonly overcount: number;
}

const STEPS = fastCheck.array(
  fastCheck.record({
    vm: fastCheck.integer({ min: 0, max: VM_COUNT - 1 }),
    calls: fastCheck.integer({ min: 0, max: 20 }),
    restarts: fastCheck.integer({ min: 0, max: 9 }).map((draw) => draw === 0),
    isSure: fastCheck.boolean(),
    overcount: fastCheck.integer({ min: 0, max: 5 }),
  }),
  { minLength: 100, maxLength: 400 },
);

/**
 * Guards against a retry storm: each VM enforces its share of the budget without coordination, and
 * the retries of all VMs together must stay within the budget.
 */
test.describe("RetryBudgets", () => {
  test.it("limits the total retries of all VMs to the budget in every window", async () => {
    const clock = fakeClock.createFakeClock();
    const vms = Array.from({ length: VM_COUNT }, () => createBudgets(clock, () => VM_COUNT));
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

  // Guards against BUDGET: VMs that started with a full bucket, or counted few others, spent the budget several times.
  test.it("stays within the budget whatever VMs believe of the fleet and restart", async () => {
    const property = fastCheck.asyncProperty(STEPS, async (steps: readonly VmStep[]) => {
      const clock = fakeClock.createFakeClock();
      const views: (number | undefined)[] = Array.from({ length: VM_COUNT }, () => undefined);
      const create = (vm: number) => createBudgets(clock, () => views[vm]);
      const vms = views.map((_, vm) => create(vm));
      const calledAt: number[] = [];
      const retriedAt: number[] = [];
      for (const { vm, calls, restarts, isSure, overcount } of steps) {
        if (restarts) vms[vm] = create(vm);
        views[vm] = isSure && !restarts ? VM_COUNT + overcount : undefined;
        for (let count = 0; count < calls; count += 1) {
          vms[vm]?.recordCall("plain");
          calledAt.push(clock.now());
        }
        for (const budget of vms) while (budget.reserve("plain", 1)) retriedAt.push(clock.now());
        await clock.advance(STEP_MS);
      }
      const { ratio, slack, windowMs } = SETTINGS;
      const slackPart = Math.max(USABLE_SHARE * slack, MIN_CAPACITY * VM_COUNT);
      const allowed = USABLE_SHARE * ratio * computeMost(calledAt, windowMs) + slackPart;
      earl.expect(computeMost(retriedAt, windowMs) <= allowed + 1e-6).toEqual(true);
    });
    await fastCheck.assert(property, { numRuns: 40, seed: 23 });
  });

  test.it("starts empty and fills from the calls of its own VM", () => {
    const clock = fakeClock.createFakeClock();
    const budgets = createBudgets(clock, () => undefined);
    earl.expect(budgets.reserve("plain", 1)).toEqual(false);
    for (let count = 0; count < 100; count += 1) budgets.recordCall("plain");
    const reserved = [1, 1, 1].map((cost) => budgets.reserve("plain", cost));
    earl.expect(reserved).toEqual([true, true, false]);
  });

  test.it(
    "gives a service that was not called yet what has accumulated since the start",
    async () => {
      const clock = fakeClock.createFakeClock();
      const budgets = createBudgets(clock, () => VM_COUNT);
      await clock.advance(10_000);
      earl.expect(budgets.reserve("plain", 3)).toEqual(true);
      earl.expect(budgets.reserve("plain", 1)).toEqual(false);
    },
  );

  test.it("adds for the time only while this VM has had a share", async () => {
    const clock = fakeClock.createFakeClock();
    const budgets = new retryBudgets.RetryBudgets({
      getSettings: () => ({ ratio: 0, slack: 12.5, windowMs: 10_000 }),
      clock,
      findShare: () => ({ vmCount: 1, inForceMs: clock.now() - 8_000 }),
      log: { write: () => undefined },
      metrics: inertMetrics.createInertMetrics(),
    });
    await clock.advance(10_000);
    earl.expect([1, 1].map((cost) => budgets.reserve("plain", cost))).toEqual([true, false]);
  });

  test.it(
    "charges a retry for all requests that it sends, and refunds those not sent",
    async () => {
      const clock = fakeClock.createFakeClock();
      const settings = { ratio: 0, slack: 12.5, windowMs: 10_000 };
      const budgets = createBudgets(clock, () => 1, settings);
      await clock.advance(10_000);
      const { prefill, run } = sendAccount.SEND_STEP;
      {
        using account = budgets.createAccount("model", 9);
        account.startSend("p1", prefill);
        account.startSend("d1", run);
        earl.expect(account.reserve([prefill, run])).toEqual(true);
        account.startSend("p2", prefill);
        // The other two of the five are left.
        earl
          .expect([1, 1, 1, 1].map((cost) => budgets.reserve("model", cost)))
          .toEqual([true, true, true, false]);
      }
      earl.expect([1, 1].map((cost) => budgets.reserve("model", cost))).toEqual([true, false]);
    },
  );
});
