import * as test from "node:test";
import * as earl from "earl";
import * as modelProgress from "../../src/serving/model-progress.js";
import * as raw from "../runners/raw-runner.js";
import * as fixture from "./serving-fixture.js";

const PROMPT = { runner: raw.createRunner("p1", 1), handle: "h", expiresAt: 1 };

test.describe("ModelProgress", () => {
  // Guards against BUDGET: a retry that repeats prefill and decode took one retry from the budget.
  test.it("counts the requests that another placement repeats", () => {
    const progress = new modelProgress.ModelProgress(fixture.createCall({}).call);
    progress.recordPrefillSent("p1");
    earl.expect(progress.retryCost).toEqual(1);
    progress.setPrefilled(PROMPT);
    progress.recordDecodeSent();
    earl.expect(progress.retryCost).toEqual(1);
    progress.setPrefilled(undefined);
    earl.expect(progress.retryCost).toEqual(2);
  });
});
