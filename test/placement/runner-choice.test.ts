import * as test from "node:test";
import * as earl from "earl";
import * as poolLoads from "../../src/placement/pool-loads.js";
import * as runnerChoice from "../../src/placement/runner-choice.js";
import * as raw from "../runners/raw-runner.js";

const READERS = ["p1", "p2"].map((id) => ({
  ...raw.createRunner(id, 1),
  stage: "prefill" as const,
}));

test.describe("choosePrefillRunner", () => {
  test.it("sends a prompt back to the runner that has it in its cache", () => {
    const loads = new poolLoads.PoolLoads();
    loads.usePrefill("p2").add("other", 1_000, 0);
    const first = runnerChoice.choosePrefillRunner(READERS, loads, "a", undefined);
    earl.expect(first).toEqual({ kind: "runner", id: "p1" });
    const again = runnerChoice.choosePrefillRunner(READERS, loads, "a", "p2");
    earl.expect(again).toEqual({ kind: "runner", id: "p2" });
  });

  test.it("does without the cache of a runner that is gone", () => {
    const loads = new poolLoads.PoolLoads();
    const choice = runnerChoice.choosePrefillRunner(READERS, loads, "a", "gone");
    earl.expect(choice).toEqual({ kind: "runner", id: "p1" });
  });
});
