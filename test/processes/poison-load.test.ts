/**
 * Guards against a poison prompt that crashes one decode engine after another, and against requests
 * that fail because they share an engine with it.
 */
import * as test from "node:test";
import * as earl from "earl";
import type * as processFleet from "../../standins/process-fleet.js";
import * as fixture from "./fleet-fixture.js";
import * as modelTestClient from "./model-test-client.js";

test.describe("poison prompt under concurrent load", () => {
  let fleet: processFleet.ProcessFleet;
  let client: modelTestClient.ModelTestClient;

  test.before(async () => {
    fleet = await fixture.startFleet();
    client = new modelTestClient.ModelTestClient(fleet);
  });

  test.after(async () => {
    await fleet[Symbol.asyncDispose]();
  });

  test.it("quarantines a prompt that crashes decode and answers concurrent requests", async () => {
    const load = client.sendLoad("beside decode");
    const crashed = await client.sendPoisonPrompt("poison beside others #crash-decode");
    earl.expect(await load).toEqual(Array<string>(modelTestClient.LOAD_REQUESTS).fill("whole"));
    earl.expect(crashed).toBeGreaterThan(0);
    earl.expect(crashed).toBeLessThanOrEqual(2);
  });
});
