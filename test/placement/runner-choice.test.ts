import * as test from "node:test";
import * as earl from "earl";
import * as poolLoads from "../../src/placement/pool-loads.js";
import * as runnerChoice from "../../src/placement/runner-choice.js";
import * as raw from "../runners/raw-runner.js";

const PREFILL_RUNNERS = ["p1", "p2"].map((id) => ({
  ...raw.createRunner(id, 1),
  stage: "prefill" as const,
}));

const PREFERENCE = { zone: "a", cachedBy: undefined, softwareVersion: undefined };

test.describe("choosePrefillRunner", () => {
  test.it("prefers the runner that has the prompt in its cache", () => {
    const loads = new poolLoads.PoolLoads();
    loads.getOrCreatePrefill("p2").add("other", 1_000, 0);
    const first = runnerChoice.choosePrefillRunner(PREFILL_RUNNERS, loads, PREFERENCE);
    earl.expect(first).toEqual({ kind: "runner", id: "p1" });
    const again = runnerChoice.choosePrefillRunner(PREFILL_RUNNERS, loads, {
      ...PREFERENCE,
      cachedBy: "p2",
    });
    earl.expect(again).toEqual({ kind: "runner", id: "p2" });
  });

  test.it("ignores a runner with the prompt in its cache that is no longer listed", () => {
    const loads = new poolLoads.PoolLoads();
    const choice = runnerChoice.choosePrefillRunner(PREFILL_RUNNERS, loads, {
      ...PREFERENCE,
      cachedBy: "gone",
    });
    earl.expect(choice).toEqual({ kind: "runner", id: "p1" });
  });
});
