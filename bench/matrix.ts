/**
 * Prints the fault matrix.
 *
 * Run: `npm run -s matrix [plain|model|configuration] [filter]`. The filter is a substring of
 * "fault, topology", where the topology says to which node the caller connects. The cells run in
 * worker threads; the order of the rows does not depend on the scheduling of the threads. Exits
 * non-zero when a guarantee fails on the real router.
 */
import * as process from "node:process";
import * as threads from "node:worker_threads";
import * as cells from "../standins/matrix/cells.js";
import * as configurationCells from "../standins/matrix/configuration-cells.js";
import * as pairs from "../standins/matrix/pairs.js";

const WORKER_COUNT = 4;
/** Groups per worker thread. A fresh thread for each slice bounds the growth of its heap. */
const GROUPS_PER_WORKER = 40;
const PATHS = ["plain", "model"] as const;
const PAIR_RUN_COUNTS = { plain: 100, model: 40 } as const;
const PAIR_SEED = 20_261_203;
const COLUMN_WIDTHS = [46, 34, 20, 10, 10, 28] as const;

/** Rows and verdicts of one group of cells. */
interface GroupResult {
  readonly index: number;
  readonly rows: readonly string[];
  readonly real: readonly Verdict[];
  readonly naive: readonly Verdict[];
}

type Verdict = cells.Verdict["verdict"];

function formatRow(texts: readonly string[]): string {
  const padded = texts.map((text, index) => text.padEnd(COLUMN_WIDTHS[index] ?? 0));
  return padded.join(" ").trimEnd();
}

function formatVerdict({ verdict, reason }: cells.Verdict): string {
  return reason === "" ? verdict : `${verdict}: ${reason}`;
}

function formatCell(cell: cells.Cell): string {
  const { guarantee, fault, step, victim, topology, real, naive } = cell;
  const verdicts = [formatVerdict(real), formatVerdict(naive)];
  return formatRow([guarantee, fault.name, step, victim, topology, ...verdicts]);
}

function listSelectedGroups(): readonly cells.CellGroup[] {
  const [path = "", filter = ""] = process.argv.slice(2);
  const groups = PATHS.filter((name) => name.startsWith(path)).flatMap(cells.listCellGroups);
  return groups.filter(({ fault, topology }) => `${fault.name}, ${topology}`.includes(filter));
}

/** Runs a slice of the groups in a worker thread and posts each group's result. */
async function runWorker(first: number): Promise<void> {
  const groups = listSelectedGroups().slice(first, first + GROUPS_PER_WORKER);
  for (const [offset, group] of groups.entries()) {
    const groupCells = await cells.runCellGroup(group);
    const result: GroupResult = {
      index: first + offset,
      rows: groupCells.map(formatCell),
      real: groupCells.map(({ real }) => real.verdict),
      naive: groupCells.map(({ naive }) => naive.verdict),
    };
    threads.parentPort?.postMessage(result);
  }
}

/** Starts a worker thread for a slice of the groups and collects its results. */
function collectResults(first: number): Promise<readonly GroupResult[]> {
  return new Promise((resolve, reject) => {
    const results: GroupResult[] = [];
    const argv = process.argv.slice(2);
    const thread = new threads.Worker(new URL(import.meta.url), { workerData: first, argv });
    thread.on("message", (result: GroupResult) => results.push(result));
    thread.on("error", reject);
    thread.on("exit", () => {
      resolve(results);
    });
  });
}

/** Runs all selected groups in a bounded number of worker threads. */
async function runGroups(): Promise<readonly GroupResult[]> {
  const results: GroupResult[] = [];
  const count = listSelectedGroups().length;
  let next = 0;
  const runSlices = async (): Promise<void> => {
    while (next < count) {
      const first = next;
      next += GROUPS_PER_WORKER;
      results.push(...(await collectResults(first)));
    }
  };
  await Promise.all(Array.from({ length: WORKER_COUNT }, runSlices));
  return results.sort((first, second) => first.index - second.index);
}

function countVerdicts(verdicts: readonly Verdict[]): string {
  const count = (expected: Verdict): number =>
    verdicts.filter((verdict) => verdict === expected).length;
  const { proved, failed, notProved } = cells.VERDICT;
  return `${count(proved)} proved, ${count(failed)} failed, ${count(notProved)} not proved`;
}

/**
 * Runs the configuration cells, prints their rows and returns the cells; none when the arguments
 * select other rows.
 */
async function printConfiguration(): Promise<readonly configurationCells.ConfigurationCell[]> {
  const [path = "", filter = ""] = process.argv.slice(2);
  if (filter !== "" || !"configuration".startsWith(path)) return [];
  const configurationResults = await configurationCells.runConfigurationCells();
  for (const { guarantee, fault, step, real, naive } of configurationResults) {
    const verdicts = [formatVerdict(real), formatVerdict(naive)];
    console.log(formatRow([guarantee, fault, step, "platform", "none", ...verdicts]));
  }
  return configurationResults;
}

/** Runs and prints the pairs of faults; returns whether none of them failed. */
async function printPairs(): Promise<boolean> {
  let allPassed = true;
  const [path = "", filter = ""] = process.argv.slice(2);
  for (const name of filter === "" ? PATHS.filter((pathName) => pathName.startsWith(path)) : []) {
    const { runs, seed, failure } = await pairs.runPairs(name, PAIR_RUN_COUNTS[name], PAIR_SEED);
    console.log(`pairs of faults, ${name}: ${runs} run, seed ${seed}, ${failure ?? "all held"}`);
    allPassed &&= failure === undefined;
  }
  return allPassed;
}

async function run(): Promise<void> {
  const results = await runGroups();
  console.log(formatRow(["promise", "fault", "step", "victim", "caller", "real", "naive"]));
  for (const { rows } of results) for (const row of rows) console.log(row);
  const configurationResults = await printConfiguration();
  const pairsPassed = await printPairs();
  const real = [
    ...results.flatMap((result) => result.real),
    ...configurationResults.map((cell) => cell.real.verdict),
  ];
  const naive = [
    ...results.flatMap((result) => result.naive),
    ...configurationResults.map((cell) => cell.naive.verdict),
  ];
  const impossible = real.filter((verdict) => verdict === cells.VERDICT.cannotOccur).length;
  console.log(`naive router: ${countVerdicts(naive)}, the rest has no such step or victim`);
  console.log(`${impossible} combinations cannot occur`);
  console.log(`${real.length - impossible} cells: ${countVerdicts(real)}`);
  if (!pairsPassed || real.includes(cells.VERDICT.failed)) process.exit(1);
}

if (threads.isMainThread) await run();
else await runWorker(threads.workerData as number);
