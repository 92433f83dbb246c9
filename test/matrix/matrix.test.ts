import * as test from "node:test";
import * as earl from "earl";
import * as cells from "../../standins/matrix/cells.js";
import * as faults from "../../standins/matrix/faults.js";
import type * as judges from "../../standins/matrix/judges.js";
import * as mutants from "../../standins/matrix/mutants.js";
import * as pairs from "../../standins/matrix/pairs.js";
import * as scenarios from "../../standins/matrix/scenario.js";
import * as steps from "../../standins/matrix/steps.js";

const FAST_FAULTS = ["kill", "pause 20 s, wake late", "partition 8 s, healed", "leaving"];
const FAST_STEPS: readonly steps.Step[] = [
  steps.STEP.accepted,
  steps.STEP.intentAcknowledged,
  steps.STEP.ran,
];
const PAIR_RUNS = 15;
const PAIR_SEED = 4711;

function listGroups(isWanted: (group: cells.CellGroup) => boolean): readonly cells.CellGroup[] {
  return cells
    .listCellGroups("plain")
    .filter(({ topology }) => topology === scenarios.TOPOLOGY.elsewhere)
    .filter(isWanted);
}

function findGroup(fault: string, step: steps.Step, victim: faults.Victim): cells.CellGroup {
  const [group] = listGroups(
    (entry) => entry.fault.name === fault && entry.step === step && entry.victim === victim,
  );
  if (!group) throw new Error(`no group ${fault} ${step} ${victim}`);
  return group;
}

function listRed(judged: readonly cells.RealCell[]): readonly judges.Promised[] {
  const red = judged.filter(({ real }) => real.verdict === cells.VERDICT.failed);
  return red.map(({ promise }) => promise);
}

test.describe("fault matrix", () => {
  for (const fault of FAST_FAULTS) {
    test.it(`keeps every promise: ${fault} of owner and backup`, async () => {
      const groups = listGroups(
        (group) =>
          group.fault.name === fault &&
          group.victim !== faults.VICTIM.entry &&
          FAST_STEPS.includes(group.step),
      );
      earl.expect(groups.length).toEqual(6);
      for (const group of groups) {
        for (const { real, step, victim } of await cells.runRealGroup(group)) {
          earl.expect({ step, victim, ...real }).toEqual({
            step,
            victim,
            verdict: cells.VERDICT.proved,
            reason: "",
          });
        }
      }
    });
  }

  test.it("sees the naive router run a booking twice", async () => {
    const group = findGroup("reply lost", steps.STEP.ran, faults.VICTIM.service);
    const judged = await cells.runCellGroup(group);
    const naive = judged.filter((cell) => cell.naive.verdict === cells.VERDICT.failed);
    earl.expect(naive.map(({ promise }) => promise)).toEqual(["non-idempotent runs at most once"]);
  });

  for (const { mutant, cell } of mutants.MUTANTS) {
    test.it(`sees a router that ${mutant.name}`, async () => {
      const group = findGroup(cell.fault, cell.step, cell.victim);
      earl.expect(listRed(await cells.runRealGroup(group, mutant)).length).toBeGreaterThan(0);
    });
  }

  test.it("keeps every promise under pairs of faults", async () => {
    const { failure } = await pairs.runPairs("plain", PAIR_RUNS, PAIR_SEED);
    earl.expect(failure).toEqual(undefined);
  });
});
