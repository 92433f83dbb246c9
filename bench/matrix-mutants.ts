/** Runs each deliberate fault of the router through the rows of one fault and prints the red cells. */
import * as process from "node:process";
import * as cells from "../standins/matrix/cells.js";
import * as mutants from "../standins/matrix/mutants.js";

async function run(): Promise<void> {
  let undetected = 0;
  let count = 0;
  const wanted = process.argv[2] ?? "";
  for (const { mutant, cell } of mutants.MUTANTS) {
    if (!mutant.name.includes(wanted)) continue;
    const red: cells.RealCell[] = [];
    let total = 0;
    const groups = cells.listCellGroups(cell.path);
    for (const group of groups.filter(({ fault }) => fault.name === cell.fault)) {
      const judged = await cells.runRealGroup(group, mutant);
      total += judged.length;
      red.push(...judged.filter(({ real }) => real.verdict === cells.VERDICT.failed));
    }
    count += 1;
    if (red.length === 0) undetected += 1;
    console.log(`${mutant.name}: ${red.length} of ${total} cells of "${cell.fault}" red`);
    for (const { fault, step, victim, topology, guarantee: promise, real } of red.slice(0, 5)) {
      console.log(
        `  ${fault.name} | ${step} | ${victim} | ${topology} | ${promise}: ${real.reason}`,
      );
    }
  }
  console.log(`${count} mutants: ${undetected} undetected`);
  if (undetected > 0) process.exit(1);
}

await run();
