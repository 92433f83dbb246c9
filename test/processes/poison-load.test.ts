import * as test from "node:test";
import * as earl from "earl";
import type * as processFleet from "../../standins/process-fleet.js";
import * as fixture from "./fleet-fixture.js";
import * as modelCells from "./model-cells.js";

test.describe("poison beside innocent load", () => {
  let fleet: processFleet.ProcessFleet;
  let cells: modelCells.ModelCells;

  test.before(async () => {
    fleet = await fixture.startFleet();
    cells = new modelCells.ModelCells(fleet);
  });

  test.after(async () => {
    await fleet[Symbol.asyncDispose]();
  });

  test.it("gives up a prompt poisonous to decode and answers its neighbours", async () => {
    const innocent = cells.sendLoad("beside decode");
    const crashed = await cells.sendPoison("poison beside others #crash-decode");
    earl.expect(await innocent).toEqual(Array<string>(modelCells.LOAD_REQUESTS).fill("whole"));
    earl.expect(crashed).toBeGreaterThan(0);
    earl.expect(crashed).toBeLessThanOrEqual(2);
  });
});
