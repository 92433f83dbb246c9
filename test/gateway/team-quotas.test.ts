import * as test from "node:test";
import * as earl from "earl";
import * as fixture from "./team-quotas-fixture.js";

const { DISTURBANCE } = fixture;
/** Part of a quota that can be used while nothing disturbs the VMs. */
const MIN_USED_SHARE = 0.9;

async function checkPlay(options: fixture.QuotaPlayOptions): Promise<fixture.QuotaPlayResult> {
  const play = await fixture.runQuotaPlay(options);
  const text = JSON.stringify(play);
  earl.expect(play.worst <= play.allowed ? "kept" : `QUOTA ${text}`).toEqual("kept");
  earl.expect(play.untimed === 0 ? "timed" : `untimed ${text}`).toEqual("timed");
  return play;
}

async function checkUsed(options: fixture.QuotaPlayOptions): Promise<void> {
  const play = await checkPlay(options);
  const isUsed = play.usedShare >= MIN_USED_SHARE;
  earl.expect(isUsed ? "used" : `unused ${JSON.stringify(play)}`).toEqual("used");
}

// Guards against QUOTA: no VM enforced the quotas of the configuration, so a team got whatever it asked for.
test.describe("a team that asks for four times its quota gets no more", { concurrency: 2 }, () => {
  test.it("through all VMs, and most of it", async () => {
    await checkUsed({ net: 221 });
  });

  test.it("through one VM, and most of it", async () => {
    await checkUsed({ net: 222, atOneGateway: true });
  });

  test.it("after its quota was lowered, and most of that", async () => {
    await checkUsed({ net: 223, disturbance: DISTURBANCE.lower });
  });

  test.it("when VMs are killed in turn", async () => {
    await checkPlay({ net: 224, disturbance: DISTURBANCE.killInTurn });
  });

  test.it("when all VMs are killed and start again", async () => {
    await checkPlay({ net: 225, disturbance: DISTURBANCE.killAll });
  });

  test.it("when VMs are paused in pairs", async () => {
    await checkPlay({ net: 226, disturbance: DISTURBANCE.pausePairs });
  });

  test.it("when pairs of VMs are cut off from the others", async () => {
    await checkPlay({ net: 227, disturbance: DISTURBANCE.cutPairs });
  });

  test.it("when all VMs start cut off from each other", async () => {
    await checkPlay({ net: 228, disturbance: DISTURBANCE.startCutOff });
  });
});
