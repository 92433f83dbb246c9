/**
 * Benchmarks the routing policies under load and faults. Prints one JSON line per fault case, load
 * and policy.
 *
 * `bound` is the arrival rate or the request rate that the decode slots can serve, whichever is
 * lower. The latter is slots / (mean output tokens x step time) for the generated requests, reduced
 * by the decode runners that the fault case takes away and by the callers that disconnect.
 * `shareOfBound` is goodput divided by `bound`.
 */
import * as cmd from "cmd-ts";
import * as scenario from "./scenario.js";
import * as simulation from "./simulation.js";

const LOADS = [0.5, 0.7, 0.9, 1.0, 1.2, 1.5, 2.0];
const FAULT_LOADS = [0.9, 1.2];
const SEEDS = [1, 2, 3];
const QUICK_LOADS = [0.9, 1.5];
const CONTROL_NODES = [8, 16, 32, 64];
const QUICK_MEASURED_MS = 20_000;

const POLICIES: readonly simulation.PolicyChoice[] = [
  { name: "naive", kind: "naive", overrides: {} },
  { name: "strong", kind: "strong", overrides: {} },
  { name: "ours", kind: "ours", overrides: {} },
];

/** The leased policy, unchanged and with one term disabled or changed per entry. */
const ABLATIONS: readonly simulation.PolicyChoice[] = [
  { name: "ours", kind: "ours", overrides: {} },
  { name: "no leasing ahead", kind: "ours", overrides: { leaseAhead: false } },
  { name: "no extra leases", kind: "ours", overrides: { extraLeases: 0 } },
  { name: "three extra leases", kind: "ours", overrides: { extraLeases: 3 } },
  { name: "one choice", kind: "ours", overrides: { sampleSize: 1 } },
  { name: "best of all", kind: "ours", overrides: { sampleSize: 100 } },
  { name: "one runner asked", kind: "ours", overrides: { maxRunnersAsked: 1 } },
  { name: "all runners asked", kind: "ours", overrides: { maxRunnersAsked: 5 } },
  { name: "no prefix affinity", kind: "ours", overrides: { prefixAffinity: false } },
  { name: "no link term", kind: "ours", overrides: { transferCost: false } },
  { name: "no shares", kind: "ours", overrides: { shares: false } },
  { name: "short queue", kind: "ours", overrides: { queueFraction: 0.2 } },
  { name: "long queue", kind: "ours", overrides: { queueFraction: 0.9 } },
];

type Figure = keyof simulation.RunFigures;

/** Runs to execute: every combination of its fault cases, loads, policies and seeds. */
interface BenchPlan {
  readonly policies: readonly simulation.PolicyChoice[];
  readonly cases: readonly scenario.FaultCase[];
  /** Arrival rates as multiples of the capacity bound. */
  readonly loads: readonly number[];
  readonly seeds: readonly number[];
  readonly measuredMs: number;
  readonly nodes?: number;
}

/** Executes a plan and prints one line, the medians over the seeds, per case, load and policy. */
async function runPlan(plan: BenchPlan): Promise<void> {
  for (const faultCase of plan.cases) {
    for (const load of plan.loads) {
      for (const policy of plan.policies) {
        const runs: simulation.RunFigures[] = [];
        for (const seed of plan.seeds) {
          const { measuredMs, nodes } = plan;
          const options = { policy, load, faultCase, seed, measuredMs, nodes };
          runs.push(await simulation.runSimulation(options));
        }
        printLine({ case: faultCase.name, policy: policy.name, load, nodes: plan.nodes }, runs);
      }
    }
  }
}

/**
 * Measures the control traffic of the leased policy without faults: more nodes, the same arrival
 * rate.
 */
async function runControlCost(): Promise<void> {
  for (const nodes of CONTROL_NODES) {
    await runPlan({
      policies: POLICIES.filter(({ kind }) => kind === "ours"),
      cases: scenario.FAULT_CASES.slice(0, 1),
      loads: [0.9],
      seeds: SEEDS.slice(0, 1),
      measuredMs: QUICK_MEASURED_MS,
      nodes,
    });
  }
}

function printLine(
  names: Readonly<Record<string, unknown>>,
  runs: readonly simulation.RunFigures[],
): void {
  const line: Record<string, unknown> = { ...names };
  for (const figure of Object.keys(runs[0] ?? {}) as Figure[]) {
    line[figure] = computeMedian(runs.map((run) => run[figure]));
  }
  const shares = runs.map((run) => run.shareOfBound);
  line.shareOfBoundSpread = formatNumber(Math.max(...shares) - Math.min(...shares));
  line.seeds = runs.length;
  console.log(JSON.stringify(line));
}

function computeMedian(values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right);
  return formatNumber(sorted[Math.floor(sorted.length / 2)] ?? 0);
}

function formatNumber(value: number): number {
  return Number(value.toFixed(value >= 100 ? 0 : 4));
}

const bench = cmd.command({
  name: "bench",
  args: {
    quick: cmd.flag({ long: "quick", description: "few loads, one seed, a short time" }),
    ablation: cmd.flag({ long: "ablation", description: "our policy without one term each" }),
    control: cmd.flag({ long: "control", description: "cost of control by number of nodes" }),
    only: cmd.option({
      long: "only",
      type: cmd.optional(cmd.string),
      description: "only this case",
    }),
    policy: cmd.option({
      long: "policy",
      type: cmd.optional(cmd.string),
      description: "only this policy",
    }),
  },
  handler: async ({ quick, ablation, control, only, policy }) => {
    if (control) {
      await runControlCost();
      return;
    }
    const policies = (ablation ? ABLATIONS : POLICIES).filter(
      ({ name }) => policy === undefined || name === policy,
    );
    const seeds = quick ? SEEDS.slice(0, 1) : SEEDS;
    const measuredMs = quick ? QUICK_MEASURED_MS : scenario.PHASE_DURATIONS.measuredMs;
    const cases = scenario.FAULT_CASES.filter(({ name }) => only === undefined || name === only);
    const faultFreeCases = cases.filter(({ name }) => name === "none");
    const faultCases = cases.filter(({ name }) => name !== "none");
    const shared = { policies, seeds, measuredMs };
    await runPlan({
      ...shared,
      cases: faultFreeCases,
      loads: quick || ablation ? QUICK_LOADS : LOADS,
    });
    if (ablation && only === undefined) return;
    await runPlan({ ...shared, cases: faultCases, loads: quick ? [0.9] : FAULT_LOADS });
  },
});

await cmd.run(bench, process.argv.slice(2));
