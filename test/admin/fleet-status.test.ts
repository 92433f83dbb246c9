import * as test from "node:test";
import * as earl from "earl";
import * as fleetStatus from "../../src/admin/fleet-status.js";
import * as status from "../../src/admin/status.js";
import * as statusCommand from "../../src/cli/status-command.js";
import * as fakeKernel from "./fake-kernel.js";

function createAnswer(
  node: string,
  revision: number,
  digest: string,
): fleetStatus.NodeStatusResult {
  const one = status.createNodeStatus(fakeKernel.createFakeKernel(undefined));
  return { node, status: { ...one, configuration: { ready: true, revision, digest } } };
}

test.describe("computeFleetStatus", () => {
  test.it("tells that every node is on the newest document", () => {
    const answers = [createAnswer("a", 3, "x"), createAnswer("b", 3, "x")];
    earl.expect(fleetStatus.computeFleetStatus(answers).isUniform).toEqual(true);
  });

  test.it("tells an old revision, two documents of one revision, and a silent node", () => {
    const old = [createAnswer("a", 3, "x"), createAnswer("b", 2, "w")];
    const conflict = [createAnswer("a", 3, "x"), createAnswer("b", 3, "y")];
    const silent = [createAnswer("a", 3, "x"), { node: "b", error: "no answer" }];
    for (const answers of [old, conflict, silent, []]) {
      earl.expect(fleetStatus.computeFleetStatus(answers).isUniform).toEqual(false);
    }
    earl.expect(fleetStatus.computeFleetStatus(conflict).newestDigests).toEqual(["x", "y"]);
  });

  test.it("sums what each runner's leases hold", () => {
    const fleet = fleetStatus.computeFleetStatus([createAnswer("a", 3, "x")]);
    const use = fleet.runners.find((one) => one.runner === "iono-d1");
    earl.expect(use?.pieces).toEqual(40);
    earl.expect(use?.drift).toEqual("paced");
    earl.expect(use?.callers).toEqual(["surveyors"]);
  });
});

test.describe("formatFleet", () => {
  test.it("names the refused document with its faults", () => {
    const one = status.createNodeStatus(fakeKernel.createFakeKernel(undefined));
    const fleet = fleetStatus.computeFleetStatus([{ node: "a", status: one }]);
    const text = statusCommand.formatFleet(fleet).join("\n");
    earl.expect(text).toInclude("a refused revision 2:\n  runners[0].zone: unknown zone");
    earl.expect(text).toInclude("every node is on revision 1");
    earl.expect(text).toInclude("two documents were published as revision 1");
  });
});
