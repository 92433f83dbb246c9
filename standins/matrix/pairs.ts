/**
 * Seeded random pairs of faults: two faults are injected into one request, each with
 * its own victim and step.
 */
import * as fastCheck from "fast-check";
import * as cells from "./cells.js";
import * as guaranteeChecks from "./guarantee-checks.js";
import * as scenarios from "./scenario.js";
import * as simulations from "./simulation.js";

/** Result of `runPairs`. */
export interface PairReport {
  readonly runs: number;
  readonly seed: number;
  /**
   * The first failing pair, with the seed and the path by which fast-check finds it again;
   * `undefined` when all pairs passed.
   */
  readonly failure: string | undefined;
}

/**
 * Runs `runs` pairs drawn from `seed` on the real router, checks the guarantees that apply to each,
 * and stops without shrinking at the first pair that violates one.
 */
export async function runPairs(
  path: scenarios.Path,
  runs: number,
  seed: number,
): Promise<PairReport> {
  const cellGroups = cells.listCellGroups(path);
  const groupArbitrary = fastCheck.constantFrom(...cellGroups);
  const property = fastCheck.asyncProperty(
    groupArbitrary,
    groupArbitrary,
    async (first, second) => {
      const violations = await checkPair(first, second, seed);
      if (violations.length > 0) throw new Error(violations.join("; "));
    },
  );
  const details = await fastCheck.check(property, { numRuns: runs, seed, endOnFailure: true });
  if (!details.failed) return { runs, seed, failure: undefined };
  const pair = details.counterexample ?? [];
  const counterexamplePath = details.counterexamplePath ?? "";
  const reason = String(details.errorInstance);
  const failure = `seed ${seed}, fast-check path ${counterexamplePath}: ${pair.map(formatGroup).join(" and ")}: ${reason}`;
  return { runs: details.numRuns, seed, failure };
}

/** Runs one pair, in the topology of the first fault; returns the violated guarantees. */
async function checkPair(
  first: cells.CellGroup,
  second: cells.CellGroup,
  seed: number,
): Promise<readonly string[]> {
  const { observations } = await scenarios.runScenario({
    router: simulations.ROUTER.real,
    path: first.path,
    topology: first.topology,
    injections: [first, second],
    seed,
  });
  // Combined with any other fault, a shutdown may cut off requests and need not be graceful.
  const isGracefulShutdown =
    first.fault.isGracefulShutdown === true && second.fault.isGracefulShutdown === true;
  const hasPoison = (first.fault.poison ?? second.fault.poison) !== undefined;
  const guarantees = guaranteeChecks.listGuarantees(first.path, isGracefulShutdown, hasPoison);
  const violations: string[] = [];
  for (const guarantee of guarantees) {
    const { reason } = cells.checkGuarantee(guarantee, observations);
    if (reason !== "") violations.push(`${guarantee}: ${reason}`);
  }
  return violations;
}

function formatGroup({ fault, step, victim, topology }: cells.CellGroup): string {
  return `[${fault.name} | ${step} | ${victim} | ${topology}]`;
}
