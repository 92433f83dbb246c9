import * as test from "node:test";
import * as earl from "earl";
import * as fleetSize from "../../src/membership/fleet-size.js";
import * as crashing from "../../standins/users-platform/crashing-runner.js";
import * as failing from "../../standins/users-platform/failing-runner.js";
import * as fixture from "./retry-budget-fixture.js";

const { FAILURE } = failing;
const { RUNNER_ROLE } = crashing;
const { DISTURBANCE } = fixture;

/** Requests that may run on more runners than `max_attempts`. */
const MAX_OVER_ATTEMPTED = 3;

async function checkPlay(options: fixture.PlayOptions): Promise<fixture.PlayResult> {
  const play = await fixture.runPlay(options);
  const text = JSON.stringify(play);
  earl
    .expect(play.repeats <= play.allowed ? "within the budget" : text)
    .toEqual("within the budget");
  earl.expect(play.overAttempted <= MAX_OVER_ATTEMPTED ? "kept" : text).toEqual("kept");
  return play;
}

// Guards against BUDGET: VMs that started, returned or were cut off spent more retries than the fleet has together.
test.describe("the retries of all VMs stay within the shared budget", { concurrency: 3 }, () => {
  const { plain, prefill, decode } = RUNNER_ROLE;
  const { reject, reset } = FAILURE;
  const { killAll, killInTurn, startCutOff, splitAndKill } = DISTURBANCE;

  test.it("when plain runners reject every request", async () => {
    await checkPlay({ net: 161, role: plain, failure: reject });
  });

  test.it("when VMs that know each other use the slack", async () => {
    const options = { role: decode, failure: reject, every: 2, sendEveryMs: 120 } as const;
    const play = await checkPlay({ net: 160, ...options, settleMs: fleetSize.SETTLE_MS + 1_000 });
    // The ratio alone allows fewer.
    earl.expect(play.repeats > 0.2 * play.calls ? "uses it" : play.repeats).toEqual("uses it");
  });

  test.it("when plain runners reset and all VMs are killed and started again", async () => {
    await checkPlay({ net: 162, role: plain, failure: reset, disturbance: killAll });
  });

  test.it("when decode runners reset and all VMs are killed and started again", async () => {
    await checkPlay({ net: 163, role: decode, failure: reset, disturbance: killAll });
  });

  test.it("when plain runners reject and VMs start cut off from each other", async () => {
    await checkPlay({ net: 164, role: plain, failure: reject, disturbance: startCutOff });
  });

  test.it("when prefill runners reset and VMs start cut off from each other", async () => {
    await checkPlay({ net: 165, role: prefill, failure: reset, disturbance: startCutOff });
  });

  test.it("when plain runners reject and the VMs of one side of a partition restart", async () => {
    await checkPlay({ net: 166, role: plain, failure: reject, disturbance: splitAndKill });
  });

  test.it("when decode runners reset and VMs are killed in turn", async () => {
    await checkPlay({ net: 167, role: decode, failure: reset, disturbance: killInTurn });
  });

  test.it("when decode runners reset before the first event", async () => {
    await checkPlay({ net: 168, role: decode, failure: reset });
  });

  test.it("when prefill runners reset before they answer", async () => {
    await checkPlay({ net: 169, role: prefill, failure: reset });
  });
});
