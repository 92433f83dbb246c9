/**
 * Runs one request in a simulation with faults injected at steps, and collects the observations.
 */
import * as matrixCaller from "./matrix-caller.js";
import * as faults from "./faults.js";
import type * as guaranteeChecks from "./guarantee-checks.js";
import type * as observed from "./observed-network.js";
import type * as realNode from "./real-node.js";
import * as steps from "./steps.js";
import * as simulations from "./simulation.js";

const OWNER = "vm-a1";
const DEFAULT_RUNNER = "decode-0";
const WORKLOADS: Readonly<Record<Path, matrixCaller.Workload>> = {
  plain: { path: "plain", body: "booking 4711", deadlineMs: 5000, isRepeatable: false },
  model: {
    path: "model",
    body: `${"scintillation log ".repeat(400)}#tokens=400`,
    deadlineMs: 30_000,
    isRepeatable: true,
  },
};
const REQUEST_LIMIT_MS = 200_000;
/** Time within which engines release the work of a caller that is gone. */
const RELEASE_LIMIT_MS = 3000;
/** The same when a fault also hit a node. */
const RELEASE_AFTER_NODE_FAULT_LIMIT_MS = 5000;
const DUPLICATES_LIMIT_MS = 60_000;
const LEAVING_LIMIT_MS = 3000;
const SETTLE_MS = 5000;

const NODE_VICTIMS: ReadonlySet<faults.Victim> = new Set([
  faults.VICTIM.entry,
  faults.VICTIM.owner,
  faults.VICTIM.backup,
  faults.VICTIM.allocator,
]);

/** Path of a request: a plain service call or a model request. */
export type Path = "plain" | "model";

/** The node to which the caller connects first. */
export const TOPOLOGY = { atOwner: "at owner", elsewhere: "elsewhere" } as const;

/** One of the values of `TOPOLOGY`. */
export type Topology = (typeof TOPOLOGY)[keyof typeof TOPOLOGY];

/** A fault that is injected into a victim at a step. */
export interface Injection {
  readonly fault: faults.Fault;
  readonly victim: faults.Victim;
  readonly step: steps.Step;
}

/** Options of a scenario. */
export interface ScenarioOptions {
  readonly router: simulations.Router;
  readonly path: Path;
  readonly topology: Topology;
  readonly injections: readonly Injection[];
  readonly seed: number;
  readonly mutant?: observed.Mutant;
}

/** Result of a scenario. */
export interface ScenarioResult {
  readonly observations: guaranteeChecks.Observations;
  /** Reasons why injections did not take place or had no effect; empty when all did. */
  readonly skipped: readonly string[];
}

interface Roles {
  readonly entry: string;
  readonly owner: string;
  readonly backup: string;
}

/**
 * Runs a scenario: sends the request and injects the faults. For a plain request it then waits
 * until all faults have ended, and on the real router sends every request id once more to each
 * healthy node.
 *
 * @throws Error when the request or the duplicates do not end in time.
 */
export async function runScenario(options: ScenarioOptions): Promise<ScenarioResult> {
  using simulation = new simulations.Simulation(options);
  await simulation.start();
  const caller = new matrixCaller.MatrixCaller(simulation, createWorkload(options));
  const roles = chooseRoles(simulation, options);
  const shutdownObservers: ShutdownObserver[] = [];
  const skipped: string[] = [];
  for (const injection of options.injections) {
    simulation.onStep(injection.step, () => {
      const context = createContext(simulation, caller, roles, injection.victim);
      if (injection.fault.isGracefulShutdown)
        shutdownObservers.push(new ShutdownObserver(simulation, context.name));
      if (injection.fault.inject(context) === faults.NO_OPEN_CONNECTION)
        skipped.push(faults.NO_OPEN_CONNECTION);
    });
  }
  simulation.markStep(steps.STEP.asked);
  const request = caller.run(roles.entry, roles.session, roles.vms);
  if (!(await simulation.waitFor(request, REQUEST_LIMIT_MS)))
    throw new Error(`request did not end within ${REQUEST_LIMIT_MS} ms`);
  const heldResources = await readHeldResources(simulation, options);
  if (options.path === "plain") await simulation.clock.advance(faults.LONGEST_FAULT_MS + SETTLE_MS);
  const hasIds = options.router === simulations.ROUTER.real;
  // A router without ids takes a duplicate for a new request, and a model request may be run again.
  const hasDuplicates = hasIds && options.path === "plain";
  const duplicates = hasDuplicates
    ? caller.sendDuplicates(simulation.listHealthy())
    : Promise.resolve();
  if (!(await simulation.waitFor(duplicates, DUPLICATES_LIMIT_MS)))
    throw new Error(`duplicates did not end within ${DUPLICATES_LIMIT_MS} ms`);
  return {
    observations: {
      attempts: caller.attempts,
      executions: simulation.service.executions,
      gracefulShutdown: shutdownObservers[0]?.gracefulShutdown,
      hasIds,
      path: options.path,
      heldResources,
      crashes: simulation.engines.countCrashes(),
    },
    skipped: [...skipped, ...listUnreachedSteps(simulation, options.injections)],
  };
}

function listUnreachedSteps(
  simulation: simulations.Simulation,
  injections: readonly Injection[],
): readonly string[] {
  const skipped = injections.filter(({ step }) => !simulation.reachedSteps.has(step));
  return skipped.map(() => "step not reached");
}

function createWorkload({ path, injections }: ScenarioOptions): matrixCaller.Workload {
  const workload = WORKLOADS[path];
  const poison = injections.map(({ fault }) => fault.poison ?? "").join("");
  return { ...workload, body: `${workload.body}${poison}` };
}

/**
 * Returns what engines still hold or queue after the release limit, when no caller waits any more.
 */
async function readHeldResources(
  simulation: simulations.Simulation,
  { path, injections }: ScenarioOptions,
): Promise<readonly string[]> {
  if (path === "plain") return [];
  const isNodeFault = injections.some(({ victim }) => NODE_VICTIMS.has(victim));
  await simulation.clock.advance(
    isNodeFault ? RELEASE_AFTER_NODE_FAULT_LIMIT_MS : RELEASE_LIMIT_MS,
  );
  return simulation.engines.listHeld();
}

/**
 * Records which nodes still refer to a node that shuts down, `LEAVING_LIMIT_MS` after its start.
 */
class ShutdownObserver {
  readonly #vm: string;
  readonly #at: number;
  #referencedBy: readonly string[] = [];

  constructor(simulation: simulations.Simulation, vm: string) {
    this.#vm = vm;
    this.#at = simulation.clock.now();
    simulation.clock.schedule(LEAVING_LIMIT_MS, () => {
      this.#referencedBy = simulation
        .listHealthy()
        .filter((other) => isReferencedBy(simulation, other, vm));
    });
  }

  get gracefulShutdown(): guaranteeChecks.GracefulShutdown {
    return { vm: this.#vm, startedAt: this.#at, referencedBy: this.#referencedBy };
  }
}

/** Whether `by` offers `vm` to callers in an address answer, or as the owner of a new session. */
function isReferencedBy(simulation: simulations.Simulation, by: string, vm: string): boolean {
  const node = simulation.nodes.get(by);
  if (!node) return false;
  const { vms, session } = node.handleAddressRequest();
  return vms.includes(vm) || findOwner(node, session) === vm;
}

function findOwner(node: object, session: string): string | undefined {
  return findSession(node, session)?.owner.vm;
}

function findSession(node: object, session: string) {
  if (!("kernel" in node)) return undefined;
  const { kernel } = node as realNode.RealNode;
  return kernel.use("sessions").parse(`${session}.0`, "cranes").session;
}

/** Returns the allocator of a runner as the first healthy node that has one sees it, or `OWNER`. */
function findAllocator(simulation: simulations.Simulation, runner: string): string {
  for (const vm of simulation.listHealthy()) {
    const node = simulation.nodes.get(vm);
    if (!node || !("kernel" in node)) continue;
    const { kernel } = node as realNode.RealNode;
    const allocator = kernel.use("capacity").findAllocator(runner);
    if (allocator !== undefined) return allocator;
  }
  return OWNER;
}

function chooseRoles(
  simulation: simulations.Simulation,
  options: ScenarioOptions,
): Roles & { readonly session: string; readonly vms: readonly string[] } {
  const node = simulation.nodes.get(OWNER);
  if (!node) throw new Error(`no node runs on ${OWNER}, the owner`);
  const { vms, session } = node.handleAddressRequest();
  const backup = findSession(node, session)?.backup?.vm ?? "vm-b1";
  const other = vms.find((vm) => vm !== OWNER && vm !== backup) ?? OWNER;
  const entry = options.topology === TOPOLOGY.atOwner ? OWNER : other;
  return { entry, owner: OWNER, backup, session, vms };
}

function createContext(
  simulation: simulations.Simulation,
  caller: matrixCaller.MatrixCaller,
  roles: Roles & { readonly vms: readonly string[] },
  victim: faults.Victim,
): faults.InjectionContext {
  const otherVms = roles.vms.filter((vm) => vm !== roles.entry);
  const backend = simulation.service.listActiveBackends()[0] ?? "back-a";
  const runner = simulation.engines.listActiveRunners()[0] ?? DEFAULT_RUNNER;
  const decodeRunner = runner.startsWith("decode") ? runner : DEFAULT_RUNNER;
  const allocator = findAllocator(simulation, decodeRunner);
  const names: Readonly<Record<faults.Victim, string>> = {
    entry: roles.entry,
    owner: roles.owner,
    backup: roles.backup,
    allocator,
    runner,
    service: backend,
    platform: "platform",
    caller: "caller",
  };
  return { simulation, name: names[victim], caller, entry: roles.entry, allocator, otherVms };
}
