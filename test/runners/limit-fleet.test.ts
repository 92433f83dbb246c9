import * as test from "node:test";
import * as earl from "earl";
import type * as container from "../../src/kernel/container.js";
import * as runnerLimits from "../../src/runners/runner-limits.js";
import type * as runners from "../../src/runners/types.js";
import * as limitCheck from "../../standins/runner-limit-check.js";
import * as fleets from "../membership/sharing-fleet.js";

const VMS = Array.from({ length: 12 }, (_, index) => `vm-${index}`);
const RUNNER = { id: "r1", bornAt: 1 } as runners.Runner;
const PER_SECOND = 10;
const STEP_MS = 50;
const { signal } = new AbortController();

function createRunnerLimits(kernel: container.Kernel): runnerLimits.RunnerLimits {
  return new runnerLimits.RunnerLimits({
    clock: kernel.use("clock"),
    log: kernel.use("log"),
    metrics: kernel.use("metrics"),
    network: kernel.use("network"),
    membership: kernel.use("membership"),
    fleetSize: kernel.use("fleetSize"),
    holders: kernel.use("dutyHolders"),
  });
}

/** A fleet whose VMs all know the limit of one runner, and the sends that it granted. */
class LimitFleet extends fleets.SharingFleet {
  readonly arrivals: limitCheck.LimitedArrival[] = [];

  constructor() {
    super(1, (kernel) => {
      kernel.register("runnerLimits", createRunnerLimits);
    });
    this.startExtraServices = (kernel) => {
      const limit = { kind: "named", perSecond: PER_SECOND } as const;
      kernel.use("runnerLimits").recordAnswer(RUNNER, limit, this.clock.now());
      return Promise.resolve();
    };
  }

  async press(durationMs: number): Promise<void> {
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += STEP_MS) {
      for (const { kernel } of this.nodes) void this.#reserve(kernel.use("runnerLimits"));
      await this.clock.advance(STEP_MS);
    }
  }

  async #reserve(limits: runnerLimits.RunnerLimits): Promise<void> {
    const waitMs = await limits.reserveSend("plain", RUNNER, signal);
    if (waitMs === 0) this.arrivals.push({ runner: RUNNER.id, at: this.clock.now() });
  }
}

// Guards against LIMIT: VMs that start cut off know the seeds only, and each granted a part of the limit as if there were no others.
test.describe("RunnerLimits in a fleet that starts cut off from each other", () => {
  test.it("grants no more than the limit allows to all VMs together", async () => {
    await using fleet = new LimitFleet();
    for (const vm of VMS) fleet.platform.addVm(fleet.createListedVm(vm));
    for (const [index, vm] of VMS.entries()) fleet.setPartition([vm], VMS.slice(index + 1), true);
    let left = VMS.length;
    for (const vm of VMS)
      void fleet.startNode(vm).then(() => {
        left -= 1;
      });
    await fleet.waitUntil(() => left === 0, 30_000);
    const from = fleet.clock.now();
    await fleet.press(9_000);
    const named = { runner: RUNNER.id, perSecond: PER_SECOND, from, to: from + 9_000 };
    const use = limitCheck.computeLimitUse(named, fleet.arrivals);
    const isKept = use !== undefined && use.worst <= use.allowed;
    earl.expect(isKept ? "kept" : JSON.stringify(use)).toEqual("kept");
  });
});
