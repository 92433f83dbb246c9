import * as test from "node:test";
import * as earl from "earl";
import * as membership from "../../src/membership/types.js";
import * as leavingRunners from "../../src/runners/leaving-runners.js";
import * as runnerTable from "../../src/runners/runner-table.js";
import type * as runners from "../../src/runners/types.js";
import * as fakes from "../request/fake-fleet.js";
import * as raw from "./raw-runner.js";

const DRAIN_MS = 2_000;
const MESSAGE_MS = 50;

function createRunner(bornAt = 1): runners.Runner {
  return { ...raw.createRunner("r1", 1), bornAt };
}

/** Adds a VM that lists one runner. */
function addNode(fleet: fakes.FakeFleet, vm: string) {
  const { kernel } = fleet.add(vm, "zone-a");
  const events: object[] = [];
  const log = { write: (_event: unknown, fields: object) => events.push(fields) } as never;
  const table = new runnerTable.RunnerTable(kernel.use("clock"), log, DRAIN_MS);
  table.setRunner("r1", createRunner());
  const leaving = new leavingRunners.LeavingRunners({
    clock: kernel.use("clock"),
    log,
    metrics: { count: () => undefined, set: () => undefined } as never,
    network: kernel.use("network"),
    membership: kernel.use("membership"),
    runners: table,
  });
  const isUsable = (): boolean => table.listUsable("plain").length > 0;
  return { table, leaving, events, isUsable };
}

// Guards against DRAIN: each VM found out by a request of its own that a runner leaves.
test.describe("LeavingRunners", () => {
  test.it("tells the other VMs, with the age of the notice", async () => {
    const fleet = new fakes.FakeFleet();
    const nodes = ["a", "b", "c"].map((vm) => addNode(fleet, vm));
    nodes[0]?.leaving.recordAnswer(createRunner(), { kind: "leaving" });
    await fleet.clock.advance(MESSAGE_MS);
    earl.expect(nodes.map(({ isUsable }) => isUsable())).toEqual([false, false, false]);
    earl
      .expect(nodes[1]?.events.at(-1))
      .toEqual(earl.expect.subset({ runner: "r1", path: "peer", bornAt: 1 }));
    await fleet.clock.advance(DRAIN_MS - MESSAGE_MS);
    earl.expect(nodes.map(({ table }) => table.hasDrained("r1"))).toEqual([true, true, true]);
  });

  test.it("tells a VM that starts or comes back of earlier notices", async () => {
    const fleet = new fakes.FakeFleet();
    const known = ["a", "b", "c"].map((vm) => addNode(fleet, vm));
    known[1]?.leaving.recordAnswer(createRunner(), { kind: "leaving" });
    await fleet.clock.advance(DRAIN_MS);
    const started = addNode(fleet, "d");
    fleet.setState("d", membership.MEMBER_STATE.alive);
    await fleet.clock.advance(MESSAGE_MS);
    earl.expect([started.isUsable(), started.table.hasDrained("r1")]).toEqual([false, true]);
    started.table.setRunner("r1", createRunner(2));
    earl.expect(started.isUsable()).toEqual(true);
  });

  test.it("ignores and logs a value once that it does not know", () => {
    const { leaving, events, isUsable } = addNode(new fakes.FakeFleet(), "a");
    for (let count = 0; count < 3; count += 1)
      leaving.recordAnswer(createRunner(), { kind: "unreadable", text: "yes" });
    earl
      .expect([isUsable(), events.length, events.at(-1)])
      .toEqual([true, 2, { runner: "r1", value: "yes" }]);
  });
});
