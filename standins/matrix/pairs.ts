/** Pairs of faults, drawn from a seed: two faults befall one booking, at any steps and victims. */
import * as fastCheck from "fast-check";
import * as cells from "./cells.js";
import * as judges from "./judges.js";
import * as scenarios from "./scenario.js";
import * as worlds from "./world.js";

/** What a run of pairs showed. */
export interface PairReport {
  readonly runs: number;
  readonly seed: number;
  /** Description of the smallest failing pair, with its seed and path; nothing when all held. */
  readonly failure: string | undefined;
}

/** Runs `runs` pairs drawn from `seed` on the real router and judges every promise. */
export async function runPairs(
  path: scenarios.Path,
  runs: number,
  seed: number,
): Promise<PairReport> {
  const groups = cells.listCellGroups(path);
  const group = fastCheck.constantFrom(...groups);
  const property = fastCheck.asyncProperty(group, group, async (first, second) => {
    const faultsFound = await judgePair(first, second, seed);
    if (faultsFound.length > 0) throw new Error(faultsFound.join("; "));
  });
  const details = await fastCheck.check(property, { numRuns: runs, seed, endOnFailure: true });
  if (!details.failed) return { runs, seed, failure: undefined };
  const pair = details.counterexample ?? [];
  const shrinkPath = details.counterexamplePath ?? "";
  const reason = String(details.errorInstance);
  const failure = `seed ${seed}, path ${shrinkPath}: ${pair.map(formatGroup).join(" and ")}: ${reason}`;
  return { runs: details.numRuns, seed, failure };
}

async function judgePair(
  first: cells.CellGroup,
  second: cells.CellGroup,
  seed: number,
): Promise<readonly string[]> {
  const { evidence } = await scenarios.runScenario({
    router: worlds.ROUTER.real,
    path: first.path,
    topology: first.topology,
    injections: [first, second],
    seed,
  });
  // A departure together with another fault is no clean shutdown any more.
  const hasDeparture = first.fault.isLeaving === true && second.fault.isLeaving === true;
  const hasPoison = (first.fault.poison ?? second.fault.poison) !== undefined;
  const promises = judges.listPromises(first.path, hasDeparture, hasPoison);
  const found: string[] = [];
  for (const promise of promises) {
    const { reason } = cells.judgeEvidence(promise, evidence);
    if (reason !== "") found.push(`${promise}: ${reason}`);
  }
  return found;
}

function formatGroup({ fault, step, victim, topology }: cells.CellGroup): string {
  return `[${fault.name} | ${step} | ${victim} | ${topology}]`;
}
