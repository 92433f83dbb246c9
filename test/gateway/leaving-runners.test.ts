import * as test from "node:test";
import * as earl from "earl";
import * as crashing from "../../standins/users-platform/crashing-runner.js";
import * as gateways from "./gateway-fixture.js";
import * as fixture from "./leaving-runners-fixture.js";

const { plain, prefill, decode } = crashing.RUNNER_ROLE;
/** Time after which a runner that leaves is written again as ready. */
const REWRITE_MS = 1_000;
const AFTER_DRAIN_MS = 3_500;

async function startPlay(options: fixture.LeavingPlayOptions): Promise<fixture.LeavingPlay> {
  const play = new fixture.LeavingPlay(options);
  await play.start();
  return play;
}

// Guards against DRAIN: runners that said in their answers that they leave got requests as before.
test.describe("a runner that says in its answers that it leaves", { concurrency: 3 }, () => {
  const cases = [
    { net: 163, role: plain },
    { net: 164, role: decode },
    { net: 165, role: prefill },
  ] as const;
  for (const { net, role } of cases) {
    test.it(`gets no request after the drain time, as a ${role} runner`, async () => {
      await using play = await startPlay({ net, role, gateways: 2 });
      await using first = await gateways.startGateway(play.platform, net, 1);
      await using second = await gateways.startGateway(play.platform, net, 2);
      await Promise.all([first, second].map(({ ip }) => gateways.waitForReady(ip)));
      await play.run(500);
      play.startLeaving();
      await play.run(REWRITE_MS);
      // The runner's entry says until its end that it is ready.
      play.list();
      await play.run(AFTER_DRAIN_MS);
      play.remove();
      await play.run(500);
      play.list();
      await play.run(500);
      const served = play.servedShare > 0.98 ? "served" : `served ${play.servedShare}`;
      earl.expect([play.countLate(), served]).toEqual([0, "served"]);
      const before = play.listArrivals().length;
      play.restart();
      await play.run(1_000);
      earl.expect(play.listArrivals().length > before).toEqual(true);
    });
  }
});
