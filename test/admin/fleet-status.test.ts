import * as test from "node:test";
import * as earl from "earl";
import * as fleetStatus from "../../src/admin/fleet-status.js";
import * as status from "../../src/admin/status.js";
import * as statusCommand from "../../src/cli/status-command.js";
import * as fakeKernel from "./fake-kernel.js";

function createStatusResult(
  node: string,
  revision: number,
  digest: string,
): fleetStatus.NodeStatusResult {
  const nodeStatus = status.createNodeStatus(fakeKernel.createFakeKernel(undefined));
  return { node, status: { ...nodeStatus, configuration: { ready: true, revision, digest } } };
}

test.describe("computeFleetStatus", () => {
  test.it("reports a uniform fleet if every node has the newest document", () => {
    const results = [createStatusResult("a", 3, "x"), createStatusResult("b", 3, "x")];
    earl.expect(fleetStatus.computeFleetStatus(results).isUniform).toEqual(true);
  });

  test.it(
    "reports a non-uniform fleet for an old revision, a conflict, an unreachable node or no node",
    () => {
      const old = [createStatusResult("a", 3, "x"), createStatusResult("b", 2, "w")];
      const conflict = [createStatusResult("a", 3, "x"), createStatusResult("b", 3, "y")];
      const unreachable = [createStatusResult("a", 3, "x"), { node: "b", error: "no answer" }];
      for (const results of [old, conflict, unreachable, []]) {
        earl.expect(fleetStatus.computeFleetStatus(results).isUniform).toEqual(false);
      }
      earl.expect(fleetStatus.computeFleetStatus(conflict).newestDigests).toEqual(["x", "y"]);
    },
  );

  test.it("sums the leases of each runner", () => {
    const fleet = fleetStatus.computeFleetStatus([createStatusResult("a", 3, "x")]);
    const usage = fleet.runners.find((candidate) => candidate.runner === "iono-d1");
    earl.expect(usage?.pieces).toEqual(40);
    earl.expect(usage?.drift).toEqual("paced");
    earl.expect(usage?.callers).toEqual(["surveyors"]);
  });
});

test.describe("formatFleet", () => {
  test.it("shows refused documents with their faults, the newest revision and conflicts", () => {
    const nodeStatus = status.createNodeStatus(fakeKernel.createFakeKernel(undefined));
    const fleet = fleetStatus.computeFleetStatus([{ node: "a", status: nodeStatus }]);
    const text = statusCommand.formatFleet(fleet).join("\n");
    earl.expect(text).toInclude("a refused revision 2:\n  runners[0].zone: unknown zone");
    earl.expect(text).toInclude("every node is on revision 1");
    earl.expect(text).toInclude("two documents were published as revision 1");
  });
});
