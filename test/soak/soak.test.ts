/**
 * Guards against a fault plan that its seed does not reproduce, and against violations of
 * guarantees with the kept seeds, most of which failed in the past.
 */
import * as test from "node:test";
import * as url from "node:url";
import * as earl from "earl";
import * as processes from "../../standins/processes.js";
import * as faults from "../../standins/soak/faults.js";
import * as seeds from "../../standins/soak/seeds.js";

const SCRIPT = url.fileURLToPath(new URL("../../standins/soak/main.js", import.meta.url));

test.describe("the soak", () => {
  test.it("plans the same faults for the same seed, and others for another seed", () => {
    const plan = faults.createPlan(5, 10_000, 500);
    earl.expect(faults.createPlan(5, 10_000, 500)).toEqual(plan);
    earl.expect(faults.createPlan(6, 10_000, 500)).not.toEqual(plan);
    earl.expect(plan.every(({ kind }) => kind in faults.FAULTS)).toEqual(true);
  });

  test.it("upholds all guarantees on every kept seed", async () => {
    await using soak = new processes.ManagedProcess("soak", SCRIPT, []);
    const code = await soak.exited;
    const broken = soak.lines.filter((line) => !line.includes(": kept;"));
    earl.expect([code, broken]).toEqual([0, []]);
    earl.expect(soak.lines.length).toEqual(seeds.KEPT_SEEDS.length);
  });
});
