/**
 * Prints the fault matrix: `npm run -s matrix [plain|model|configuration] [part of "fault, where the caller connects"]`. The cells run
 * in a few worker threads; the order of the table does not depend on them.
 */
import * as process from "node:process";
import * as threads from "node:worker_threads";
import * as cells from "../standins/matrix/cells.js";
import * as configurationCells from "../standins/matrix/configuration-cells.js";
import * as pairs from "../standins/matrix/pairs.js";

const WORKERS = 4;
/** Groups that one worker runs; a new one starts with empty memory. */
const GROUPS_PER_WORKER = 40;
const PATHS = ["plain", "model"] as const;
const PAIR_RUNS = { plain: 100, model: 40 } as const;
const PAIR_SEED = 20_261_203;
const COLUMNS = [46, 34, 20, 10, 10, 28] as const;

/** The rows of one group of cells. */
interface GroupResult {
  readonly index: number;
  readonly rows: readonly string[];
  readonly real: readonly Verdict[];
  readonly naive: readonly Verdict[];
}

type Verdict = cells.Verdict["verdict"];

function formatRow(texts: readonly string[]): string {
  const padded = texts.map((text, index) => text.padEnd(COLUMNS[index] ?? 0));
  return padded.join(" ").trimEnd();
}

function formatVerdict({ verdict, reason }: cells.Verdict): string {
  return reason === "" ? verdict : `${verdict}: ${reason}`;
}

function formatCell(cell: cells.Cell): string {
  const { guarantee: promise, fault, step, victim, topology, real, naive } = cell;
  const verdicts = [formatVerdict(real), formatVerdict(naive)];
  return formatRow([promise, fault.name, step, victim, topology, ...verdicts]);
}

function listWanted(): readonly cells.CellGroup[] {
  const [path = "", wanted = ""] = process.argv.slice(2);
  const groups = PATHS.filter((name) => name.startsWith(path)).flatMap(cells.listCellGroups);
  return groups.filter(({ fault, topology }) => `${fault.name}, ${topology}`.includes(wanted));
}

/** Runs one slice of the groups. */
async function runWorker(first: number): Promise<void> {
  const groups = listWanted().slice(first, first + GROUPS_PER_WORKER);
  for (const [offset, group] of groups.entries()) {
    const judged = await cells.runCellGroup(group);
    const result: GroupResult = {
      index: first + offset,
      rows: judged.map(formatCell),
      real: judged.map(({ real }) => real.verdict),
      naive: judged.map(({ naive }) => naive.verdict),
    };
    threads.parentPort?.postMessage(result);
  }
}

function receiveResults(first: number): Promise<readonly GroupResult[]> {
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

/** Runs all groups, a few slices at once. */
async function runGroups(): Promise<readonly GroupResult[]> {
  const results: GroupResult[] = [];
  const count = listWanted().length;
  let next = 0;
  const runSlices = async (): Promise<void> => {
    while (next < count) {
      const first = next;
      next += GROUPS_PER_WORKER;
      results.push(...(await receiveResults(first)));
    }
  };
  await Promise.all(Array.from({ length: WORKERS }, runSlices));
  return results.sort((first, second) => first.index - second.index);
}

function countVerdicts(verdicts: readonly Verdict[]): string {
  const count = (wanted: Verdict): number =>
    verdicts.filter((verdict) => verdict === wanted).length;
  const { proved, failed, notProved } = cells.VERDICT;
  return `${count(proved)} proved, ${count(failed)} failed, ${count(notProved)} not proved`;
}

/** Prints the rows of the configuration and returns the verdicts. */
async function printConfiguration(): Promise<readonly configurationCells.ConfigurationCell[]> {
  const [path = "", wanted = ""] = process.argv.slice(2);
  if (wanted !== "" || !"configuration".startsWith(path)) return [];
  const judged = await configurationCells.runConfigurationCells();
  for (const { guarantee: promise, fault, step, real, naive } of judged) {
    const verdicts = [formatVerdict(real), formatVerdict(naive)];
    console.log(formatRow([promise, fault, step, "platform", "none", ...verdicts]));
  }
  return judged;
}

/** Returns whether every pair held. */
async function printPairs(): Promise<boolean> {
  let isHeld = true;
  const [path = "", wanted = ""] = process.argv.slice(2);
  for (const name of wanted === "" ? PATHS.filter((each) => each.startsWith(path)) : []) {
    const { runs, seed, failure } = await pairs.runPairs(name, PAIR_RUNS[name], PAIR_SEED);
    console.log(`pairs of faults, ${name}: ${runs} run, seed ${seed}, ${failure ?? "all held"}`);
    isHeld &&= failure === undefined;
  }
  return isHeld;
}

async function run(): Promise<void> {
  const results = await runGroups();
  console.log(formatRow(["promise", "fault", "step", "victim", "caller", "real", "naive"]));
  for (const { rows } of results) for (const row of rows) console.log(row);
  const configured = await printConfiguration();
  const isHeld = await printPairs();
  const real = [
    ...results.flatMap((result) => result.real),
    ...configured.map((cell) => cell.real.verdict),
  ];
  const naive = [
    ...results.flatMap((result) => result.naive),
    ...configured.map((cell) => cell.naive.verdict),
  ];
  const impossible = real.filter((verdict) => verdict === cells.VERDICT.cannotOccur).length;
  console.log(`naive router: ${countVerdicts(naive)}, the rest has no such step or victim`);
  console.log(`${impossible} combinations cannot occur`);
  console.log(`${real.length - impossible} cells: ${countVerdicts(real)}`);
  if (!isHeld || real.includes(cells.VERDICT.failed)) process.exit(1);
}

if (threads.isMainThread) await run();
else await runWorker(threads.workerData as number);
