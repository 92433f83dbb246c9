import * as test from "node:test";
import * as earl from "earl";
import * as quotaCheck from "../../standins/team-quota-check.js";

const RULE = { perSecond: 10, burst: 20, windowMs: 1_000, over: 0.5, slack: 5 };

test.describe("the check of a quota", () => {
  test.it("allows the rate of the window and the burst, a part more, and the slack", () => {
    earl.expect(quotaCheck.computeAllowed(RULE)).toEqual(50);
  });

  test.it("counts requests that were both sent and run in a window", () => {
    const requests = [
      { team: "a", cost: 1, sentAt: 0, arrivedAt: 950 },
      { team: "a", cost: 2, sentAt: 900, arrivedAt: 1_100 },
      { team: "a", cost: 4, sentAt: 950, arrivedAt: 1_890 },
      { team: "a", cost: 8, sentAt: 960 },
    ];
    const use = { allowed: 50, worst: 6, from: 900 };
    earl.expect(quotaCheck.computeQuotaUse(RULE, requests)).toEqual(use);
    earl.expect(quotaCheck.computeQuotaUse(RULE, requests, 910).worst).toEqual(4);
  });
});
