import * as test from "node:test";
import * as earl from "earl";
import * as crashing from "../../standins/users-platform/crashing-runner.js";
import * as fixture from "./crashing-requests-fixture.js";

const { CRASH_MODE, RUNNER_ROLE } = crashing;

/** Arrivals that are allowed later than `fixture.LATE_AFTER_MS` after the third crash. */
const MAX_LATE_ARRIVALS = 3;

const RESET = { mode: CRASH_MODE.reset, restartMs: 1_500, keepsId: false } as const;
const SILENT = { mode: CRASH_MODE.silent, restartMs: 3_000, keepsId: false } as const;

async function checkPlay(options: fixture.PlayOptions): Promise<void> {
  const play = await fixture.runPlay(options);
  const text = JSON.stringify(play);
  earl.expect(play.lateArrivals <= MAX_LATE_ARRIVALS ? "kept" : text).toEqual("kept");
  earl.expect(play.crashes >= 2 ? "crashed" : text).toEqual("crashed");
  earl.expect(play.harmlessQuarantined === 0 ? "none" : text).toEqual("none");
}

// Guards against BUDGET: a request kept arriving at runners after it had ended three of them.
test.describe("a request that ends its runners stops after the third", { concurrency: 4 }, () => {
  test.it("when plain runners reset their connections", async () => {
    await checkPlay({ net: 141, ...RESET, crashingRole: RUNNER_ROLE.plain });
  });

  test.it("when plain runners reset and keep their ids", async () => {
    await checkPlay({ net: 142, ...RESET, keepsId: true, crashingRole: RUNNER_ROLE.plain });
  });

  test.it("when plain runners fall silent before they reset", async () => {
    await checkPlay({ net: 143, ...SILENT, crashingRole: RUNNER_ROLE.plain });
  });

  test.it("when plain runners fall silent and keep their ids", async () => {
    await checkPlay({ net: 144, ...SILENT, keepsId: true, crashingRole: RUNNER_ROLE.plain });
  });

  test.it("when prefill runners reset their connections", async () => {
    await checkPlay({ net: 145, ...RESET, crashingRole: RUNNER_ROLE.prefill });
  });

  test.it("when prefill runners fall silent before they reset", async () => {
    await checkPlay({ net: 146, ...SILENT, crashingRole: RUNNER_ROLE.prefill });
  });

  test.it("when decode runners reset their connections", async () => {
    await checkPlay({ net: 147, ...RESET, crashingRole: RUNNER_ROLE.decode });
  });

  test.it("when decode runners fall silent before they reset", async () => {
    await checkPlay({ net: 148, ...SILENT, crashingRole: RUNNER_ROLE.decode });
  });

  test.it("when the VMs are restarted in turn", async () => {
    const restartEveryMs = 2_000;
    await checkPlay({ net: 149, ...RESET, crashingRole: RUNNER_ROLE.plain, restartEveryMs });
  });
});
