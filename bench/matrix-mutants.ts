/**
 * Mutation test of the fault matrix: runs each mutant of the router through the cells of the fault
 * that its entry in `MUTANTS` names, and prints how many cells fail and up to five of them. The
 * first argument selects the mutants whose name contains it. Exits non-zero when no cell fails for
 * a mutant.
 */
import * as process from "node:process";
import * as cells from "../standins/matrix/cells.js";
import * as mutants from "../standins/matrix/mutants.js";

async function run(): Promise<void> {
  let undetected = 0;
  let count = 0;
  const nameFilter = process.argv[2] ?? "";
  for (const { mutant, cell } of mutants.MUTANTS) {
    if (!mutant.name.includes(nameFilter)) continue;
    const failedCells: cells.RealCell[] = [];
    let total = 0;
    const groups = cells.listCellGroups(cell.path);
    for (const group of groups.filter(({ fault }) => fault.name === cell.fault)) {
      const groupCells = await cells.runRealGroup(group, mutant);
      total += groupCells.length;
      failedCells.push(...groupCells.filter(({ real }) => real.verdict === cells.VERDICT.failed));
    }
    count += 1;
    if (failedCells.length === 0) undetected += 1;
    console.log(`${mutant.name}: ${failedCells.length} of ${total} cells of "${cell.fault}" red`);
    for (const { fault, step, victim, topology, guarantee, real } of failedCells.slice(0, 5)) {
      console.log(
        `  ${fault.name} | ${step} | ${victim} | ${topology} | ${guarantee}: ${real.reason}`,
      );
    }
  }
  console.log(`${count} mutants: ${undetected} undetected`);
  if (undetected > 0) process.exit(1);
}

await run();
