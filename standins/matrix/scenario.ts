/** Runs one booking through a world with faults at steps, and collects the evidence. */
import * as matrixCaller from "./matrix-caller.js";
import * as faults from "./faults.js";
import type * as judges from "./judges.js";
import type * as observed from "./observed-network.js";
import type * as realNode from "./real-node.js";
import * as steps from "./steps.js";
import * as worlds from "./world.js";

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
/** Time after which engines hold nothing for a caller that is gone. */
const HELD_LIMIT_MS = 3000;
/** The same when a node failed too. */
const HELD_AFTER_FAILURE_MS = 5000;
const ECHO_LIMIT_MS = 60_000;
const LEAVING_LIMIT_MS = 3000;
const SETTLING_MS = 5000;

const NODE_VICTIMS: ReadonlySet<faults.Victim> = new Set([
  faults.VICTIM.entry,
  faults.VICTIM.owner,
  faults.VICTIM.backup,
  faults.VICTIM.allocator,
]);

/** Path of a request. */
export type Path = "plain" | "model";

/** Where the caller connects first. */
export const TOPOLOGY = { atOwner: "at owner", elsewhere: "elsewhere" } as const;

/** One of the values of `TOPOLOGY`. */
export type Topology = (typeof TOPOLOGY)[keyof typeof TOPOLOGY];

/** A fault that befalls a victim at a step. */
export interface Injection {
  readonly fault: faults.Fault;
  readonly victim: faults.Victim;
  readonly step: steps.Step;
}

/** What to run. */
export interface ScenarioOptions {
  readonly router: worlds.Router;
  readonly path: Path;
  readonly topology: Topology;
  readonly injections: readonly Injection[];
  readonly seed: number;
  readonly mutant?: observed.Mutant;
}

/** What a scenario showed. */
export interface ScenarioResult {
  readonly evidence: judges.Evidence;
  /** Why injections did not take place. */
  readonly missed: readonly string[];
}

interface Roles {
  readonly entry: string;
  readonly owner: string;
  readonly backup: string;
}

/** Runs a scenario to its end: the request, the healing, and every id once more at every node. */
export async function runScenario(options: ScenarioOptions): Promise<ScenarioResult> {
  const world = new worlds.World(options);
  await world.start();
  const caller = new matrixCaller.MatrixCaller(world, createWorkload(options));
  const roles = chooseRoles(world, options);
  const departures: DepartureWatch[] = [];
  const missed: string[] = [];
  for (const injection of options.injections) {
    world.onStep(injection.step, () => {
      const target = createTarget(world, caller, roles, injection.victim);
      if (injection.fault.isLeaving) departures.push(new DepartureWatch(world, target.name));
      if (injection.fault.inject(target) === faults.NOTHING_HIT) missed.push(faults.NOTHING_HIT);
    });
  }
  world.markStep(steps.STEP.asked);
  const request = caller.run(roles.entry, roles.session, roles.vms);
  if (!(await world.waitFor(request, REQUEST_LIMIT_MS))) throw new Error("request never ended");
  const held = await readHeld(world, options);
  if (options.path === "plain") await world.clock.advance(faults.LONGEST_FAULT_MS + SETTLING_MS);
  const hasIds = options.router === worlds.ROUTER.real;
  // Without ids, a request sent again is another request; a model request may run again anyhow.
  const isEchoed = hasIds && options.path === "plain";
  const echoes = isEchoed ? caller.sendEchoes(world.listHealthy()) : Promise.resolve();
  if (!(await world.waitFor(echoes, ECHO_LIMIT_MS))) throw new Error("echoes never ended");
  return {
    evidence: {
      attempts: caller.attempts,
      executions: world.service.executions,
      departure: departures[0]?.departure,
      hasIds,
      path: options.path,
      held,
      crashes: world.engines.countCrashes(),
    },
    missed: [...missed, ...listMissedSteps(world, options.injections)],
  };
}

function listMissedSteps(world: worlds.World, injections: readonly Injection[]): readonly string[] {
  const missed = injections.filter(({ step }) => !world.reached.has(step));
  return missed.map(() => "step not reached");
}

function createWorkload({ path, injections }: ScenarioOptions): matrixCaller.Workload {
  const workload = WORKLOADS[path];
  const poison = injections.map(({ fault }) => fault.poison ?? "").join("");
  return { ...workload, body: `${workload.body}${poison}` };
}

/** Returns what the engines hold after the limit; for nobody waits any more. */
async function readHeld(
  world: worlds.World,
  { path, injections }: ScenarioOptions,
): Promise<readonly string[]> {
  if (path === "plain") return [];
  const isNodeFault = injections.some(({ victim }) => NODE_VICTIMS.has(victim));
  await world.clock.advance(isNodeFault ? HELD_AFTER_FAILURE_MS : HELD_LIMIT_MS);
  return world.engines.listHeld();
}

/** Observes what the fleet says of a leaving node after the limit. */
class DepartureWatch {
  readonly #vm: string;
  readonly #at: number;
  #namedBy: readonly string[] = [];

  constructor(world: worlds.World, vm: string) {
    this.#vm = vm;
    this.#at = world.clock.now();
    world.clock.schedule(LEAVING_LIMIT_MS, () => {
      this.#namedBy = world.listHealthy().filter((other) => isNaming(world, other, vm));
    });
  }

  get departure(): judges.Departure {
    return { vm: this.#vm, at: this.#at, namedBy: this.#namedBy };
  }
}

function isNaming(world: worlds.World, by: string, vm: string): boolean {
  const node = world.nodes.get(by);
  if (!node) return false;
  const { vms, session } = node.handleAddressQuestion();
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

function findAllocator(world: worlds.World, runner: string): string {
  for (const vm of world.listHealthy()) {
    const node = world.nodes.get(vm);
    if (!node || !("kernel" in node)) continue;
    const { kernel } = node as realNode.RealNode;
    const found = kernel.use("capacity").findAllocator(runner);
    if (found !== undefined) return found;
  }
  return OWNER;
}

function chooseRoles(
  world: worlds.World,
  options: ScenarioOptions,
): Roles & { readonly session: string; readonly vms: readonly string[] } {
  const node = world.nodes.get(OWNER);
  if (!node) throw new Error("no owner");
  const { vms, session } = node.handleAddressQuestion();
  const backup = findSession(node, session)?.backup?.vm ?? "vm-b1";
  const other = vms.find((vm) => vm !== OWNER && vm !== backup) ?? OWNER;
  const entry = options.topology === TOPOLOGY.atOwner ? OWNER : other;
  return { entry, owner: OWNER, backup, session, vms };
}

function createTarget(
  world: worlds.World,
  caller: matrixCaller.MatrixCaller,
  roles: Roles & { readonly vms: readonly string[] },
  victim: faults.Victim,
): faults.Target {
  const others = roles.vms.filter((vm) => vm !== roles.entry);
  const busy = world.service.listBusy()[0] ?? "back-a";
  const runner = world.engines.listBusy()[0] ?? DEFAULT_RUNNER;
  const decodeRunner = runner.startsWith("decode") ? runner : DEFAULT_RUNNER;
  const allocator = findAllocator(world, decodeRunner);
  const names: Readonly<Record<faults.Victim, string>> = {
    entry: roles.entry,
    owner: roles.owner,
    backup: roles.backup,
    allocator,
    runner,
    service: busy,
    platform: "platform",
    caller: "caller",
  };
  return { world, name: names[victim], caller, entry: roles.entry, allocator, others };
}
