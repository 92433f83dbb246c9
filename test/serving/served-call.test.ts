/**
 * A VM that had heard of a newer configuration and not yet received it answered 404 on the routes that the configuration adds, which
 * callers take as final.
 */
import * as test from "node:test";
import * as earl from "earl";
import type * as gateway from "../../src/gateway/types.js";
import * as resultCodes from "../../src/protocol/result-codes.js";
import * as routeTable from "../../src/routing/route-table.js";
import * as servedCall from "../../src/serving/served-call.js";
import * as fixture from "../routing/routing-fixture.js";

const TABLE = new routeTable.RouteTable(
  fixture.createTable(3, [fixture.createRoute("known", { pathPrefix: "/known/" })]),
);

/** Returns the result code, whether the call ran, and the retry time of a call; its route if it is created. */
function createCall(path: string, isOutdated: boolean): readonly unknown[] {
  const options = {
    routing: { current: TABLE },
    isReady: () => true,
    isOutdated: () => isOutdated,
    grace: { checkTaken: () => undefined, computeDeadline: (deadlineAt: number) => deadlineAt },
  };
  const head = { id: "1", host: "api.example", path, deadlineMs: 500 } as gateway.CallHead;
  const context = { arrivedAt: 0 } as servedCall.CallContext;
  try {
    return [servedCall.createServedCall(options, head, context).route.name];
  } catch (error) {
    const { code, ran, retryAfterMs } = error as resultCodes.RequestError;
    return [code.status, ran, retryAfterMs];
  }
}

test.describe("a call on a VM that knows of a newer configuration than it has", () => {
  test.it("is refused as not run, to be sent again soon, if no route is known for it", () => {
    earl.expect(createCall("/new/x", true)).toEqual([503, "no", 100]);
  });

  test.it("is served if its route is known", () => {
    earl.expect(createCall("/known/x", true)).toEqual(["known"]);
  });

  test.it("gets 404 without a route once the VM has the newest configuration", () => {
    earl.expect(createCall("/new/x", false)).toEqual([404, "no", undefined]);
  });
});
