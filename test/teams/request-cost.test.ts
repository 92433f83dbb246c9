import * as test from "node:test";
import * as earl from "earl";
import * as routing from "../../src/routing/types.js";
import * as requestCost from "../../src/teams/request-cost.js";

const TOKENS = { unit: routing.COST_UNIT.token, plainCost: 200 };
const REQUESTS = { unit: routing.COST_UNIT.request, plainCost: 200 };

test.describe("the cost of a request", () => {
  test.it("is the number of its tokens where the quota counts tokens", () => {
    earl.expect(requestCost.computeRequestCost(TOKENS, { statedTokens: 1_540 })).toEqual(1_540);
  });

  test.it("is that of a plain request if it states no tokens", () => {
    earl.expect(requestCost.computeRequestCost(TOKENS, {})).toEqual(200);
    earl.expect(requestCost.computeRequestCost(TOKENS, { statedTokens: undefined })).toEqual(200);
  });

  test.it("is one where the quota counts requests", () => {
    earl.expect(requestCost.computeRequestCost(REQUESTS, { statedTokens: 1_540 })).toEqual(1);
  });
});
