/** Runs deliberate faults of the router through the matrix and prints the cells that turn red. */
import * as process from "node:process";
import * as cells from "../standins/matrix/cells.js";
import * as mutants from "../standins/matrix/mutants.js";

async function run(): Promise<void> {
  let undetected = 0;
  for (const { mutant, cell } of mutants.MUTANTS) {
    const red: cells.RealCell[] = [];
    let total = 0;
    const groups = cells.listCellGroups(cell.path);
    // Model requests take longer to emulate: only the fault that the mutant is weak against.
    const isRun = (group: cells.CellGroup): boolean =>
      cell.path === "plain" || group.fault.name === cell.fault;
    for (const group of groups.filter(isRun)) {
      const judged = await cells.runRealGroup(group, mutant);
      total += judged.length;
      red.push(...judged.filter(({ real }) => real.verdict === cells.VERDICT.failed));
    }
    if (red.length === 0) undetected += 1;
    console.log(`${mutant.name}: ${red.length} of ${total} cells red`);
    for (const { fault, step, victim, topology, promise, real } of red.slice(0, 5)) {
      console.log(
        `  ${fault.name} | ${step} | ${victim} | ${topology} | ${promise}: ${real.reason}`,
      );
    }
  }
  console.log(`${mutants.MUTANTS.length} mutants: ${undetected} undetected`);
  if (undetected > 0) process.exit(1);
}

await run();
