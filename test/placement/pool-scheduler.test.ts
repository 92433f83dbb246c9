import * as test from "node:test";
import * as earl from "earl";
import * as replay from "./pool-replay.js";

const SEEDS = [1, 2, 3];
/** Requests a second of the deployments, and their bursts. */
const USUAL = 7;
const BURST = 16;

async function runSeeds(arrivals: readonly number[]): Promise<replay.ReplayResult> {
  const results: replay.ReplayResult[] = [];
  for (const seed of SEEDS) {
    results.push(await replay.runReplay({ prefill: 2, decode: 6, seed, arrivals }));
  }
  const sum = (key: keyof replay.ReplayResult): number =>
    results.reduce((total, result) => total + result[key], 0);
  return {
    asked: sum("asked"),
    onTime: sum("onTime"),
    late: sum("late"),
    refused: sum("refused"),
    preempted: sum("preempted"),
  };
}

test.describe("PoolScheduler under replayed load", () => {
  test.it("serves all on time at the usual rate, with next to nothing thrown out", async () => {
    const result = await runSeeds(Array.from({ length: 20 }, () => USUAL));
    earl.expect(result.onTime >= 0.99 * result.asked).toEqual(true);
    // Target: at most 0.5% of what is read is read in vain.
    earl.expect(result.preempted <= 0.005 * result.asked).toEqual(true);
  });

  test.it(
    "lets in what a burst leaves room for, and what it lets in is not thrown out",
    async () => {
      const burst = [7, 7, BURST, BURST, BURST, BURST, 7, 7, 7, 7];
      const result = await runSeeds(burst);
      // Target: at most 2% of what is read is read in vain on a day with trouble.
      earl.expect(result.preempted <= 0.02 * result.asked).toEqual(true);
      earl.expect(result.onTime >= 0.75 * result.asked).toEqual(true);
      earl.expect(result.onTime + result.late + result.refused).toEqual(result.asked);
    },
  );
});
