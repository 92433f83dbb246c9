/** Runs one booking through a world with faults at steps, and collects the evidence. */
import * as bookingCaller from "./booking-caller.js";
import * as faults from "./faults.js";
import type * as judges from "./judges.js";
import type * as observed from "./observed-network.js";
import type * as realNode from "./real-node.js";
import * as steps from "./steps.js";
import * as worlds from "./world.js";

const OWNER = "vm-a1";
const BODY = "booking 4711";
const BOOKING_LIMIT_MS = 90_000;
const ECHO_LIMIT_MS = 60_000;
const LEAVING_LIMIT_MS = 3000;
const SETTLING_MS = 5000;

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
  readonly topology: Topology;
  readonly injections: readonly Injection[];
  readonly seed: number;
  readonly mutant?: observed.Mutant;
}

/** What a scenario showed. */
export interface ScenarioResult {
  readonly evidence: judges.Evidence;
  /** Steps of injections that were never reached. */
  readonly missedSteps: readonly steps.Step[];
}

interface Roles {
  readonly entry: string;
  readonly owner: string;
  readonly backup: string;
}

/** Runs a scenario to its end: the booking, the healing, and every id once more at every node. */
export async function runScenario(options: ScenarioOptions): Promise<ScenarioResult> {
  const world = new worlds.World(options);
  await world.start();
  const caller = new bookingCaller.BookingCaller(world, BODY);
  const roles = chooseRoles(world, options);
  const departures: DepartureWatch[] = [];
  for (const injection of options.injections) {
    world.onStep(injection.step, () => {
      const target = createTarget(world, caller, roles, injection.victim);
      if (injection.fault.isLeaving) departures.push(new DepartureWatch(world, target.name));
      injection.fault.inject(target);
    });
  }
  world.markStep(steps.STEP.asked);
  const booking = caller.book(roles.entry, roles.session, roles.vms);
  if (!(await world.waitFor(booking, BOOKING_LIMIT_MS))) throw new Error("booking never ended");
  await world.clock.advance(faults.LONGEST_FAULT_MS + SETTLING_MS);
  const hasIds = options.router === worlds.ROUTER.real;
  // Without ids, a request sent again is another request.
  const echoes = hasIds ? caller.sendEchoes(world.listHealthy()) : Promise.resolve();
  if (!(await world.waitFor(echoes, ECHO_LIMIT_MS))) throw new Error("echoes never ended");
  return {
    evidence: {
      attempts: caller.attempts,
      executions: world.service.executions,
      departure: departures[0]?.departure,
      hasIds,
    },
    missedSteps: options.injections
      .map(({ step }) => step)
      .filter((step) => !world.reached.has(step)),
  };
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
  caller: bookingCaller.BookingCaller,
  roles: Roles & { readonly vms: readonly string[] },
  victim: faults.Victim,
): faults.Target {
  const others = roles.vms.filter((vm) => vm !== roles.entry);
  const busy = world.service.listBusy()[0] ?? "back-a";
  const names: Readonly<Record<faults.Victim, string>> = {
    entry: roles.entry,
    owner: roles.owner,
    backup: roles.backup,
    service: busy,
    platform: "platform",
    caller: "caller",
  };
  return { world, name: names[victim], caller, entry: roles.entry, others };
}
