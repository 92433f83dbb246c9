import * as test from "node:test";
import * as earl from "earl";
import * as runnerTable from "../../src/runners/runner-table.js";
import type * as runners from "../../src/runners/types.js";
import * as versionHistory from "../../src/runners/version-history.js";
import * as fakeClock from "../../standins/fake-clock.js";
import * as raw from "./raw-runner.js";

const SERVICE = "plain";
const LIVED_MS = 14_000;

function createHistory() {
  const clock = fakeClock.createFakeClock();
  const table = new runnerTable.RunnerTable(clock, { write: () => undefined });
  const state: { since: number | undefined } = { since: clock.now() };
  const history = new versionHistory.VersionHistory({
    clock,
    runners: table,
    findContinuousSince: () => state.since,
  });
  const set = (id: string, changes: Partial<runners.Runner>): void => {
    table.setRunner(id, { ...raw.createRunner(id, 1), ...changes });
  };
  return { clock, table, state, history, set };
}

test.describe("VersionHistory", () => {
  test.it("tells the starts of one id apart, also after its entry is removed", () => {
    const { table, history, set } = createHistory();
    set("r", { bornAt: 1, softwareVersion: "v1" });
    set("r", { bornAt: 2, softwareVersion: "v2" });
    table.setRunner("r", undefined);
    const find = (bornAt: number) => history.findVersion({ id: "r", bornAt });
    earl.expect([find(1), find(2), find(3)]).toEqual(["v1", "v2", undefined]);
  });

  test.it(
    "knows a sole version only after a time without gaps in which no other was listed",
    async () => {
      const { clock, state, history, set } = createHistory();
      const findSole = () => history.findSoleVersion(SERVICE, LIVED_MS);
      set("old", { softwareVersion: "v1" });
      set("new", { softwareVersion: "v2" });
      await clock.advance(LIVED_MS);
      earl.expect(findSole()).toEqual(undefined);
      set("old", { softwareVersion: "v2", bornAt: 9 });
      await clock.advance(LIVED_MS - 1);
      earl.expect(findSole()).toEqual(undefined);
      await clock.advance(2);
      earl.expect(findSole()).toEqual("v2");
      state.since = clock.now();
      earl.expect(findSole()).toEqual(undefined);
      state.since = undefined;
      await clock.advance(LIVED_MS);
      earl.expect(findSole()).toEqual(undefined);
    },
  );
});
