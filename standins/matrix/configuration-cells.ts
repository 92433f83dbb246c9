/**
 * The configuration rows of the fault matrix: a new document is published, and a fault is injected
 * while it propagates through the fleet.
 */
import * as cells from "./cells.js";
import * as configurationNodes from "./configuration-nodes.js";
import * as faults from "./faults.js";
import * as fixtures from "./fixtures.js";
import * as matrixCaller from "./matrix-caller.js";
import * as simulations from "./simulation.js";

/** Time within which a published document must be in force at every healthy node. */
const PROPAGATION_LIMIT_MS = 6000;
const SAMPLE_INTERVAL_MS = 50;
const OBSERVATION_MS = 45_000;
const OUTAGE_MS = 10_000;
const RESTART_INTERVAL_MS = 3000;
const SEED = 3;
const NEW_REVISION = 2;

/** How far the new document has propagated when the fault is injected. */
export const PROPAGATION_STEP = {
  published: "50 ms after publishing",
  first: "first node",
  half: "half of the nodes",
  all: "all nodes",
} as const;

/** One of the values of `PROPAGATION_STEP`. */
export type PropagationStep = (typeof PROPAGATION_STEP)[keyof typeof PROPAGATION_STEP];

/** Number of nodes with the new document from which a step counts as reached. */
const UPDATED_NODES_BY_STEP: Readonly<Record<PropagationStep, number>> = {
  [PROPAGATION_STEP.published]: 0,
  [PROPAGATION_STEP.first]: 1,
  [PROPAGATION_STEP.half]: 3,
  [PROPAGATION_STEP.all]: 6,
};

const GUARANTEE = {
  inForce: "configuration in force everywhere in 6 s",
  neverReverts: "configuration never reverts",
} as const;

/** One configuration cell, on both routers. */
export interface ConfigurationCell {
  readonly guarantee: string;
  readonly fault: string;
  readonly step: PropagationStep;
  readonly real: cells.Verdict;
  readonly naive: cells.Verdict;
}

/** A fault that is injected while a document propagates. */
export interface PropagationFault {
  readonly name: string;
  /**
   * Time from the injection until the fleet can converge; the propagation limit counts from then.
   */
  readonly endsAfterMs: number;
  /** @param reader - a node that has read the new document, or else the first healthy one. */
  inject(simulation: simulations.Simulation, reader: string): void;
}

/** The new document, and another one with the same revision. */
const UPDATED = { ...fixtures.DOCUMENT, revision: NEW_REVISION, operator: "first operator" };
const CONFLICTING = { ...UPDATED, operator: "second operator" };

const NO_REQUEST: matrixCaller.Workload = {
  path: "plain",
  body: "",
  deadlineMs: 1,
  isRepeatable: false,
};

/** Creates a fault that injects the named fault of plain requests into the reader. */
function createNodeFault(name: string, endsAfterMs: number): PropagationFault {
  const fault = faults.FAULTS.plain.find((each) => each.name === name);
  if (!fault) throw new Error(`no fault of plain requests is named "${name}"`);
  return {
    name: `${name}: reader`,
    endsAfterMs,
    inject: (simulation, reader) => {
      const caller = new matrixCaller.MatrixCaller(simulation, NO_REQUEST);
      fault.inject({
        simulation,
        name: reader,
        caller,
        entry: reader,
        allocator: reader,
        otherVms: [],
      });
    },
  };
}

/** Kills and replaces the nodes one by one, while the service returns the old document. */
function replaceAllNodes(simulation: simulations.Simulation): void {
  simulation.platform.publish(fixtures.DOCUMENT);
  for (const [index, vm] of fixtures.VMS.entries()) {
    simulation.clock.schedule((index + 1) * RESTART_INTERVAL_MS, () => {
      simulation.nodes.get(vm.vm)?.process.kill();
      simulation.network.kill(vm.host);
      void simulation.startNode(vm);
    });
  }
}

/** All faults that are injected during propagation. */
export const PROPAGATION_FAULTS: readonly PropagationFault[] = [
  { name: "none", endsAfterMs: 0, inject: () => undefined },
  {
    name: "service down 10 s",
    endsAfterMs: OUTAGE_MS,
    inject: (simulation) => {
      simulation.platform.isDown = true;
      simulation.clock.schedule(OUTAGE_MS, () => {
        simulation.platform.isDown = false;
      });
    },
  },
  {
    name: "service answers the old revision 10 s",
    endsAfterMs: OUTAGE_MS,
    inject: (simulation) => {
      simulation.platform.publish(fixtures.DOCUMENT);
      simulation.clock.schedule(OUTAGE_MS, () => {
        simulation.platform.publish(UPDATED);
      });
    },
  },
  {
    name: "service reachable by one node",
    endsAfterMs: 0,
    inject: (simulation, reader) => {
      for (const { vm } of fixtures.VMS) if (vm !== reader) simulation.platform.blockedVms.add(vm);
    },
  },
  {
    name: "two operators publish at once",
    endsAfterMs: 0,
    inject: (simulation) => {
      simulation.platform.publishConflicting(UPDATED, CONFLICTING);
    },
  },
  createNodeFault("kill", 0),
  createNodeFault("pause 20 s, wake late", 20_000),
  createNodeFault("partition 8 s, healed", 8000),
  createNodeFault("open connections silent", 0),
  createNodeFault("messages 0.7 s late", 8000),
  createNodeFault("wall clock -15 min", 0),
  createNodeFault("leaving", 0),
  {
    name: "all replaced one by one, service stale",
    endsAfterMs: (fixtures.VMS.length + 1) * RESTART_INTERVAL_MS,
    inject: replaceAllNodes,
  },
];

/** Samples which document is in force at every healthy node. */
class ConfigurationMonitor {
  readonly #simulation: simulations.Simulation;
  readonly #naive: ReadonlyMap<string, configurationNodes.NaiveConfiguration> | undefined;
  readonly #highest = new Map<string, number>();
  /** The last reversion recorded. */
  reversion: string | undefined;

  constructor(
    simulation: simulations.Simulation,
    naive: ReadonlyMap<string, configurationNodes.NaiveConfiguration> | undefined,
  ) {
    this.#simulation = simulation;
    this.#naive = naive;
  }

  /** Returns the number of healthy nodes that have the new document in force. */
  countUpdated(): number {
    const { healthy } = this.#readHealthyNodes();
    return healthy.filter(({ inForce }) => inForce?.revision === NEW_REVISION).length;
  }

  /**
   * Returns why the new document is not in force at every healthy node, or that two are;
   * `undefined` when one is in force everywhere.
   */
  findDivergence(): string | undefined {
    const { healthy } = this.#readHealthyNodes();
    const outdatedNodes = healthy.filter(({ inForce }) => inForce?.revision !== NEW_REVISION);
    if (outdatedNodes.length > 0)
      return `not in force at ${outdatedNodes.map(({ vm }) => vm).join(", ")}`;
    const operators = new Set(healthy.map(({ inForce }) => inForce?.operator));
    return operators.size > 1 ? "two documents in force" : undefined;
  }

  /**
   * Records a healthy VM that is ready with a lower revision than the highest seen there so far.
   */
  recordReversions(): void {
    for (const { vm, inForce, isReady } of this.#readHealthyNodes().healthy) {
      const highest = this.#highest.get(vm) ?? 0;
      const revision = inForce?.revision ?? 0;
      if (isReady && revision < highest)
        this.reversion = `${vm} went from ${highest} to ${revision}`;
      this.#highest.set(vm, Math.max(highest, revision));
    }
  }

  #readHealthyNodes() {
    const healthy = this.#simulation.listHealthy().map((vm) => {
      const node = this.#simulation.nodes.get(vm);
      const naive = this.#naive?.get(vm);
      return {
        vm,
        inForce: this.#naive ? naive?.current : configurationNodes.findActiveConfiguration(node),
        isReady: this.#naive ? naive?.current !== undefined : configurationNodes.isReady(node),
      };
    });
    return { healthy };
  }
}

/** Runs every fault at every propagation step on both routers. */
export async function runConfigurationCells(): Promise<readonly ConfigurationCell[]> {
  const results: ConfigurationCell[] = [];
  for (const fault of PROPAGATION_FAULTS) {
    for (const step of Object.values(PROPAGATION_STEP))
      results.push(...(await runPropagationCell(fault, step)));
  }
  return results;
}

/** Runs one fault at one step on both routers. */
export async function runPropagationCell(
  fault: PropagationFault,
  step: PropagationStep,
): Promise<readonly ConfigurationCell[]> {
  const real = await checkPropagation(fault, step, simulations.ROUTER.real);
  const naive = await checkPropagation(fault, step, simulations.ROUTER.naive);
  return Object.values(GUARANTEE).map((guarantee) => ({
    guarantee,
    fault: fault.name,
    step,
    real: real(guarantee),
    naive: naive(guarantee),
  }));
}

/** Runs one fault at one step on one router; returns a function that checks a guarantee. */
async function checkPropagation(
  fault: PropagationFault,
  step: PropagationStep,
  router: simulations.Router,
): Promise<(guarantee: string) => cells.Verdict> {
  using simulation = new simulations.Simulation({ router, seed: SEED });
  await simulation.start();
  const naive =
    router === simulations.ROUTER.naive ? startNaiveConfigurations(simulation) : undefined;
  const monitor = new ConfigurationMonitor(simulation, naive);
  await simulation.clock.advance(PROPAGATION_LIMIT_MS);
  simulation.platform.publish(UPDATED);
  const progress = { injectedAt: -1, divergence: "not reached" as string | undefined };
  const startedAt = simulation.clock.now();
  while (simulation.clock.now() - startedAt < OBSERVATION_MS) {
    await simulation.clock.advance(SAMPLE_INTERVAL_MS);
    monitor.recordReversions();
    const isStepReached = monitor.countUpdated() >= UPDATED_NODES_BY_STEP[step];
    if (progress.injectedAt < 0 && isStepReached) {
      progress.injectedAt = simulation.clock.now();
      fault.inject(simulation, findReader(simulation));
    }
    const dueAt = progress.injectedAt + fault.endsAfterMs + PROPAGATION_LIMIT_MS;
    const isCheckDue = progress.injectedAt >= 0 && simulation.clock.now() >= dueAt;
    if (isCheckDue && progress.divergence === "not reached")
      progress.divergence = monitor.findDivergence();
  }
  const reasons: Readonly<Record<string, string | undefined>> = {
    [GUARANTEE.inForce]: progress.divergence,
    [GUARANTEE.neverReverts]: monitor.reversion,
  };
  return (guarantee) => createVerdict(reasons[guarantee]);
}

function createVerdict(reason: string | undefined): cells.Verdict {
  if (reason === undefined) return { verdict: cells.VERDICT.proved, reason: "" };
  return { verdict: cells.VERDICT.failed, reason };
}

/** Returns the first node that has the new document, or else the first healthy one. */
function findReader(simulation: simulations.Simulation): string {
  const healthy = simulation.listHealthy();
  const updated = healthy.find(
    (vm) =>
      configurationNodes.findActiveConfiguration(simulation.nodes.get(vm))?.revision ===
      NEW_REVISION,
  );
  return updated ?? healthy[0] ?? "vm-a1";
}

/** Starts a naive configuration for every node process, also for those that are started later. */
function startNaiveConfigurations(
  simulation: simulations.Simulation,
): ReadonlyMap<string, configurationNodes.NaiveConfiguration> {
  const configurations = new Map<string, configurationNodes.NaiveConfiguration>();
  const knownProcesses = new Set<unknown>();
  const startMissing = (): void => {
    for (const [vm, { process }] of simulation.nodes) {
      if (knownProcesses.has(process)) continue;
      knownProcesses.add(process);
      const configuration = new configurationNodes.NaiveConfiguration();
      configurations.set(vm, configuration);
      void configuration.run(process, simulation.platform.createClient(vm));
    }
    simulation.clock.schedule(SAMPLE_INTERVAL_MS, startMissing);
  };
  startMissing();
  return configurations;
}
