/**
 * Prints the fault matrix: `npm run -s matrix [plain|model] [part of a fault's name]`. The cells run
 * in a few worker threads; the order of the table does not depend on them.
 */
import * as process from "node:process";
import * as threads from "node:worker_threads";
import * as cells from "../standins/matrix/cells.js";
import * as pairs from "../standins/matrix/pairs.js";

const WORKERS = 4;
const PATHS = ["plain", "model"] as const;
const PAIR_RUNS = { plain: 200, model: 100 } as const;
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
  const { promise, fault, step, victim, topology, real, naive } = cell;
  const verdicts = [formatVerdict(real), formatVerdict(naive)];
  return formatRow([promise, fault.name, step, victim, topology, ...verdicts]);
}

function listWanted(): readonly cells.CellGroup[] {
  const [path = "", wanted = ""] = process.argv.slice(2);
  const groups = PATHS.filter((name) => name.startsWith(path)).flatMap(cells.listCellGroups);
  return groups.filter(({ fault }) => fault.name.includes(wanted));
}

/** Runs every group whose turn it is for this worker. */
async function runWorker(worker: number): Promise<void> {
  for (const [index, group] of listWanted().entries()) {
    if (index % WORKERS !== worker) continue;
    const judged = await cells.runCellGroup(group);
    const result: GroupResult = {
      index,
      rows: judged.map(formatCell),
      real: judged.map(({ real }) => real.verdict),
      naive: judged.map(({ naive }) => naive.verdict),
    };
    threads.parentPort?.postMessage(result);
  }
}

function receiveResults(worker: number): Promise<readonly GroupResult[]> {
  return new Promise((resolve, reject) => {
    const results: GroupResult[] = [];
    const argv = process.argv.slice(2);
    const thread = new threads.Worker(new URL(import.meta.url), { workerData: worker, argv });
    thread.on("message", (result: GroupResult) => results.push(result));
    thread.on("error", reject);
    thread.on("exit", () => {
      resolve(results);
    });
  });
}

function countVerdicts(verdicts: readonly Verdict[]): string {
  const count = (wanted: Verdict): number =>
    verdicts.filter((verdict) => verdict === wanted).length;
  const { proved, failed, notProved } = cells.VERDICT;
  return `${count(proved)} proved, ${count(failed)} failed, ${count(notProved)} not proved`;
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
  const workers = Array.from({ length: WORKERS }, (_, worker) => receiveResults(worker));
  const results = (await Promise.all(workers)).flat();
  results.sort((first, second) => first.index - second.index);
  console.log(formatRow(["promise", "fault", "step", "victim", "caller", "real", "naive"]));
  for (const { rows } of results) for (const row of rows) console.log(row);
  const isHeld = await printPairs();
  const real = results.flatMap((result) => result.real);
  const naive = results.flatMap((result) => result.naive);
  const impossible = real.filter((verdict) => verdict === cells.VERDICT.cannotOccur).length;
  console.log(`naive router: ${countVerdicts(naive)}, the rest has no such step or victim`);
  console.log(`${impossible} combinations cannot occur`);
  console.log(`${real.length - impossible} cells: ${countVerdicts(real)}`);
  if (!isHeld || real.includes(cells.VERDICT.failed)) process.exit(1);
}

if (threads.isMainThread) await run();
else await runWorker(threads.workerData as number);
