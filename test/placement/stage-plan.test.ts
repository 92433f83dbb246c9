import * as test from "node:test";
import * as earl from "earl";
import * as stagePlan from "../../src/placement/stage-plan.js";

const LONG_RESPONSE_COSTS = { prefillMs: 110, decodeMs: 300 };

test.describe("chooseStageChange", () => {
  test.it("switches a prefill runner to decode when responses are long", () => {
    const change = stagePlan.chooseStageChange({ prefill: 3, decode: 3 }, LONG_RESPONSE_COSTS);
    earl.expect(change).toEqual("toDecode");
  });

  test.it("keeps a split that is nearly optimal, so that runners don't oscillate", () => {
    const change = stagePlan.chooseStageChange({ prefill: 2, decode: 4 }, LONG_RESPONSE_COSTS);
    earl.expect(change).toEqual(undefined);
  });

  test.it("switches a decode runner to prefill when prompts are long", () => {
    const costs = { prefillMs: 400, decodeMs: 100 };
    earl.expect(stagePlan.chooseStageChange({ prefill: 1, decode: 5 }, costs)).toEqual("toPrefill");
  });

  test.it("does not remove the last runner of a stage", () => {
    earl
      .expect(stagePlan.chooseStageChange({ prefill: 1, decode: 1 }, LONG_RESPONSE_COSTS))
      .toEqual(undefined);
  });

  test.it("switches a runner to a stage that has no runners", () => {
    earl
      .expect(stagePlan.chooseStageChange({ prefill: 3, decode: 0 }, LONG_RESPONSE_COSTS))
      .toEqual("toDecode");
  });

  test.it(
    "reaches a split that is not changed again within eight switches, for several costs",
    () => {
      for (const decodeMs of [20, 60, 110, 200, 400, 900]) {
        let split = { prefill: 4, decode: 4 };
        for (let orders = 0; orders < 8; orders += 1) {
          const change = stagePlan.chooseStageChange(split, { prefillMs: 110, decodeMs });
          if (change === undefined) break;
          const moved = change === "toDecode" ? 1 : -1;
          split = { prefill: split.prefill - moved, decode: split.decode + moved };
        }
        const last = stagePlan.chooseStageChange(split, { prefillMs: 110, decodeMs });
        earl.expect(last).toEqual(undefined);
      }
    },
  );
});
