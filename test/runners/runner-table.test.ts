import * as test from "node:test";
import * as earl from "earl";
import * as runnerTable from "../../src/runners/runner-table.js";
import * as runners from "../../src/runners/types.js";
import * as fakeClock from "../../standins/fake-clock.js";
import * as raw from "./raw-runner.js";

const PORT = 8_080;

const DRAIN_LIMIT_MS = 2_000;

function createTable() {
  const clock = fakeClock.createFakeClock();
  const table = new runnerTable.RunnerTable(clock, { write: () => undefined }, DRAIN_LIMIT_MS);
  const set = (id: string, changes: Partial<runners.Runner> = {}): void => {
    table.setRunner(id, { ...raw.createRunner(id, PORT), ...changes });
  };
  const list = (): string[] => table.listUsable("plain").map(({ runner }) => runner.id);
  return { clock, table, set, list };
}

test.describe("RunnerTable", () => {
  // The registry entry of a crashed process remains until it expires, although a newer process may
  // already listen at the address. A call to the entry would reach the wrong process.
  test.it("does not use a runner whose address belongs to a newer process", () => {
    const { table, set, list } = createTable();
    set("crashed", { bornAt: 1 });
    set("restarted", { bornAt: 2 });
    earl.expect(list()).toEqual(["restarted"]);
    table.setRunner("restarted", undefined);
    earl.expect(list()).toEqual(["crashed"]);
  });

  test.it(
    "does not use a runner whose address belongs to a newer process of another service",
    () => {
      const { set, list } = createTable();
      set("gone", { bornAt: 1 });
      set("other", { bornAt: 2, service: "model" });
      earl.expect(list()).toEqual([]);
    },
  );

  test.it(
    "lists a runner that leaves for a part of the time that the platform allows",
    async () => {
      const { clock, table, set } = createTable();
      const listDraining = (): string[] =>
        table.listDraining("plain").map(({ runner }) => runner.id);
      set("known", {});
      set("known", { leaving: true });
      // Nobody knows since when it leaves.
      set("found", { leaving: true });
      earl.expect(listDraining()).toEqual(["known"]);
      earl.expect([table.hasDrained("known"), table.hasDrained("found")]).toEqual([false, true]);
      await clock.advance(DRAIN_LIMIT_MS / 2);
      earl.expect([listDraining(), table.hasDrained("known")]).toEqual([[], false]);
      await clock.advance(DRAIN_LIMIT_MS / 2);
      earl.expect(table.hasDrained("known")).toEqual(true);
    },
  );

  test.it("applies a reported stage only when the runner's registry entry is old", async () => {
    const { clock, table, set } = createTable();
    set("r", { stage: "prefill" });
    table.recordReportedStage("r", "decode");
    // The report may be older than the registry entry.
    earl.expect(table.find("r")?.runner.stage).toEqual("prefill");
    await clock.advance(2_000);
    table.recordReportedStage("r", "decode");
    earl.expect(table.find("r")?.runner.stage).toEqual("decode");
  });

  test.it("notifies listeners once of a newly reported stage", async () => {
    const { clock, table, set } = createTable();
    set("r", { stage: "prefill" });
    const notifiedStages: (runners.Stage | undefined)[] = [];
    table.onChange((_id, runner) => notifiedStages.push(runner?.stage));
    await clock.advance(2_000);
    table.recordReportedStage("r", "decode");
    table.recordReportedStage("r", "decode");
    earl.expect(notifiedStages).toEqual(["decode"]);
  });

  // Guards against DRAIN: of two notices, the earlier one was dropped if it arrived later.
  test.it("counts the drain time from the earliest notice", async () => {
    const { clock, table, set } = createTable();
    set("r", { bornAt: 7 });
    const firstAt = clock.now();
    await clock.advance(DRAIN_LIMIT_MS / 2);
    table.recordLeaving({ id: "r", bornAt: 7 }, clock.now(), runners.LEAVING_PATH.answer);
    table.recordLeaving({ id: "r", bornAt: 7 }, firstAt, runners.LEAVING_PATH.peer);
    await clock.advance(DRAIN_LIMIT_MS / 2);
    earl.expect(table.hasDrained("r")).toEqual(true);
  });

  // Guards against DRAIN: what a runner said in its answers was forgotten when its entry was written or listed again.
  test.it(
    "treats a start that said that it leaves as leaving until another is listed",
    async () => {
      const { clock, table, set, list } = createTable();
      set("r", { bornAt: 7 });
      const { answer, peer } = runners.LEAVING_PATH;
      earl.expect(table.recordLeaving({ id: "r", bornAt: 6 }, clock.now(), answer)).toEqual(true);
      earl.expect(list()).toEqual(["r"]);
      earl.expect(table.recordLeaving({ id: "r", bornAt: 7 }, clock.now(), answer)).toEqual(true);
      earl.expect(table.recordLeaving({ id: "r", bornAt: 7 }, clock.now(), peer)).toEqual(false);
      earl.expect([list(), table.listDraining("plain").length]).toEqual([[], 1]);
      await clock.advance(DRAIN_LIMIT_MS);
      set("r", { bornAt: 7 });
      earl.expect([list(), table.hasDrained("r")]).toEqual([[], true]);
      table.setRunner("r", undefined);
      set("r", { bornAt: 7 });
      earl.expect([list(), table.hasDrained("r")]).toEqual([[], true]);
      set("r", { bornAt: 8 });
      earl.expect(list()).toEqual(["r"]);
    },
  );

  // Guards against a runner that states no start and is never used again.
  test.it(
    "forgets the notice of a runner without a start some time after it was repeated",
    async () => {
      const { clock, table, set, list } = createTable();
      for (const id of ["kept", "removed"]) {
        set(id, { bornAt: 0 });
        table.recordLeaving({ id, bornAt: 0 }, clock.now(), runners.LEAVING_PATH.answer);
      }
      table.setRunner("removed", undefined);
      set("removed", { bornAt: 0 });
      await clock.advance(20_000);
      table.recordLeaving({ id: "kept", bornAt: 0 }, clock.now(), runners.LEAVING_PATH.answer);
      await clock.advance(20_000);
      set("kept", { bornAt: 0 });
      earl.expect(list()).toEqual(["removed"]);
      await clock.advance(20_000);
      set("kept", { bornAt: 0 });
      earl.expect(list()).toEqual(["kept", "removed"]);
    },
  );

  // Guards against DRAIN: a request that was placed before a runner left and is sent long after.
  test.it("refuses requests to a start that left for longer than the drain time", async () => {
    const { clock, table, set } = createTable();
    const canReceive = (id: string, bornAt = 1) => table.canReceive({ id, bornAt });
    for (const id of ["leaves", "removed", "replaced", "removed later"]) set(id);
    set("leaves", { leaving: true });
    set("removed later", { leaving: true });
    table.setRunner("removed", undefined);
    set("replaced", { bornAt: 2 });
    const listStates = () => [
      canReceive("leaves"),
      canReceive("removed"),
      canReceive("replaced"),
      canReceive("removed later"),
    ];
    await clock.advance(DRAIN_LIMIT_MS / 2);
    table.setRunner("removed later", undefined);
    earl.expect(listStates()).toEqual([true, true, true, true]);
    await clock.advance(DRAIN_LIMIT_MS / 2);
    earl.expect(listStates()).toEqual([false, false, false, false]);
    earl.expect([canReceive("replaced", 2), canReceive("never listed")]).toEqual([true, true]);
    set("removed");
    earl.expect(canReceive("removed")).toEqual(true);
  });

  // Guards against DRAIN: a VM that learned late counted the drain time from then.
  test.it(
    "counts the drain time from when the entry changed, not from when it learned",
    async () => {
      const { clock, table, set } = createTable();
      const ids = ["leaves", "removed"];
      for (const id of ids) set(id);
      const leaving = { ...raw.createRunner("leaves", PORT), leaving: true };
      table.setRunner("leaves", leaving, DRAIN_LIMIT_MS / 2);
      table.setRunner("removed", undefined, DRAIN_LIMIT_MS / 2);
      const listReceiving = () => ids.filter((id) => table.canReceive({ id, bornAt: 1 }));
      earl.expect([table.listDraining("plain").length, listReceiving()]).toEqual([0, ids]);
      await clock.advance(DRAIN_LIMIT_MS / 2);
      earl.expect(listReceiving()).toEqual([]);
    },
  );
});
