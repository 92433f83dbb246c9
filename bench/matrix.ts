/** Prints the fault matrix: `npm run -s matrix`. */
import * as process from "node:process";
import * as cells from "../standins/matrix/cells.js";

const COLUMNS = [36, 26, 20, 9, 10, 28] as const;

function formatRow(texts: readonly string[]): string {
  return texts
    .map((text, index) => text.padEnd(COLUMNS[index] ?? 0))
    .join(" ")
    .trimEnd();
}

function formatVerdict({ verdict, reason }: cells.Verdict): string {
  return reason === "" ? verdict : `${verdict}: ${reason}`;
}

function formatCell(cell: cells.Cell): string {
  const { promise, fault, step, victim, topology, real, naive } = cell;
  const verdicts = [formatVerdict(real), formatVerdict(naive)];
  return formatRow([promise, fault.name, step, victim, topology, ...verdicts]);
}

async function run(): Promise<void> {
  const counts = { proved: 0, failed: 0, "not proved": 0 };
  const naiveCounts = { proved: 0, failed: 0, "not proved": 0 };
  const wanted = process.argv[2] ?? "";
  console.log(formatRow(["promise", "fault", "step", "victim", "caller", "real", "naive"]));
  for (const group of cells.listCellGroups()) {
    if (!`${group.fault.name}|${group.step}|${group.victim}`.includes(wanted)) continue;
    for (const cell of await cells.runCellGroup(group)) {
      console.log(formatCell(cell));
      counts[cell.real.verdict] += 1;
      naiveCounts[cell.naive.verdict] += 1;
    }
  }
  const total = counts.proved + counts.failed + counts["not proved"];
  console.log(
    `naive: ${naiveCounts.failed} failed, ${naiveCounts.proved} kept, rest without the step`,
  );
  console.log(
    `${total} cells: ${counts.proved} proved, ${counts.failed} failed, ${counts["not proved"]} not proved`,
  );
  if (counts.failed > 0) process.exit(1);
}

await run();
