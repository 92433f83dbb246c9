/** The rows of the configuration: a document is published, and a fault befalls its spread. */
import * as cells from "./cells.js";
import * as configurationNodes from "./configuration-nodes.js";
import * as faults from "./faults.js";
import * as fixtures from "./fixtures.js";
import * as matrixCaller from "./matrix-caller.js";
import * as worlds from "./world.js";

/** Bound of "within seconds", fleet-wide. */
const SPREAD_LIMIT_MS = 6000;
const SAMPLE_MS = 50;
const OBSERVED_MS = 45_000;
const OUTAGE_MS = 10_000;
const RESTART_PERIOD_MS = 3000;
const SEED = 3;
const NEW_REVISION = 2;

/** How far the new document has spread when the fault comes. */
export const SPREAD_STEP = {
  published: "50 ms after publishing",
  first: "first node",
  half: "half of the nodes",
  all: "all nodes",
} as const;

/** One of the values of `SPREAD_STEP`. */
export type SpreadStep = (typeof SPREAD_STEP)[keyof typeof SPREAD_STEP];

const NODES_BY_STEP: Readonly<Record<SpreadStep, number>> = {
  [SPREAD_STEP.published]: 0,
  [SPREAD_STEP.first]: 1,
  [SPREAD_STEP.half]: 3,
  [SPREAD_STEP.all]: 6,
};

const PROMISE = {
  inForce: "configuration in force everywhere in 6 s",
  neverReverts: "configuration never reverts",
} as const;

/** One cell of the configuration. */
export interface ConfigurationCell {
  readonly promise: string;
  readonly fault: string;
  readonly step: SpreadStep;
  readonly real: cells.Verdict;
  readonly naive: cells.Verdict;
}

/** A fault of the spread. */
export interface SpreadFault {
  readonly name: string;
  /** Time from the fault until the fleet can converge again; the bound counts from there. */
  readonly endsAfterMs: number;
  inject(world: worlds.World, reader: string): void;
}

const UPDATED = { ...fixtures.DOCUMENT, revision: NEW_REVISION, operator: "first operator" };
const RIVAL = { ...UPDATED, operator: "second operator" };

const NO_REQUEST: matrixCaller.Workload = {
  path: "plain",
  body: "",
  deadlineMs: 1,
  isRepeatable: false,
};

/** Uses a fault of nodes on the first node that has the document. */
function createNodeFault(name: string, endsAfterMs: number): SpreadFault {
  const fault = faults.FAULTS.plain.find((each) => each.name === name);
  if (!fault) throw new Error(`no fault ${name}`);
  return {
    name: `${name}: reader`,
    endsAfterMs,
    inject: (world, reader) => {
      const caller = new matrixCaller.MatrixCaller(world, NO_REQUEST);
      fault.inject({ world, name: reader, caller, entry: reader, allocator: reader, others: [] });
    },
  };
}

/** Kills and starts every node, one by one, while the service answers the old document. */
function replaceAll(world: worlds.World): void {
  world.platform.publish(fixtures.DOCUMENT);
  for (const [index, vm] of fixtures.VMS.entries()) {
    world.clock.schedule((index + 1) * RESTART_PERIOD_MS, () => {
      world.nodes.get(vm.vm)?.process.kill();
      world.net.kill(vm.host);
      void world.startNode(vm);
    });
  }
}

/** All faults of the spread. */
export const SPREAD_FAULTS: readonly SpreadFault[] = [
  { name: "none", endsAfterMs: 0, inject: () => undefined },
  {
    name: "service down 10 s",
    endsAfterMs: OUTAGE_MS,
    inject: (world) => {
      world.platform.isDown = true;
      world.clock.schedule(OUTAGE_MS, () => {
        world.platform.isDown = false;
      });
    },
  },
  {
    name: "service answers the old revision 10 s",
    endsAfterMs: OUTAGE_MS,
    inject: (world) => {
      world.platform.publish(fixtures.DOCUMENT);
      world.clock.schedule(OUTAGE_MS, () => {
        world.platform.publish(UPDATED);
      });
    },
  },
  {
    name: "service reachable by one node",
    endsAfterMs: 0,
    inject: (world, reader) => {
      for (const { vm } of fixtures.VMS) if (vm !== reader) world.platform.blocked.add(vm);
    },
  },
  {
    name: "two operators publish at once",
    endsAfterMs: 0,
    inject: (world) => {
      world.platform.publishTwo(UPDATED, RIVAL);
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
    endsAfterMs: (fixtures.VMS.length + 1) * RESTART_PERIOD_MS,
    inject: replaceAll,
  },
];

/** Watches what is in force at every node, from outside. */
class ConfigurationJudge {
  readonly #world: worlds.World;
  readonly #naive: ReadonlyMap<string, configurationNodes.NaiveConfiguration> | undefined;
  readonly #highest = new Map<string, number>();
  reverted: string | undefined;

  constructor(
    world: worlds.World,
    naive: ReadonlyMap<string, configurationNodes.NaiveConfiguration> | undefined,
  ) {
    this.#world = world;
    this.#naive = naive;
  }

  /** Nodes that have the new document. */
  countUpdated(): number {
    const { healthy } = this.#listInForce();
    return healthy.filter(({ inForce }) => inForce?.revision === NEW_REVISION).length;
  }

  /** Returns why the document is not in force everywhere; nothing when it is. */
  findLagging(): string | undefined {
    const { healthy } = this.#listInForce();
    const lagging = healthy.filter(({ inForce }) => inForce?.revision !== NEW_REVISION);
    if (lagging.length > 0) return `not in force at ${lagging.map(({ vm }) => vm).join(", ")}`;
    const operators = new Set(healthy.map(({ inForce }) => inForce?.operator));
    return operators.size > 1 ? "two documents in force" : undefined;
  }

  /** Compares with the highest revision that was in force on each VM. */
  checkReverts(): void {
    for (const { vm, inForce, isReady } of this.#listInForce().healthy) {
      const highest = this.#highest.get(vm) ?? 0;
      const revision = inForce?.revision ?? 0;
      if (isReady && revision < highest)
        this.reverted = `${vm} went from ${highest} to ${revision}`;
      this.#highest.set(vm, Math.max(highest, revision));
    }
  }

  #listInForce() {
    const healthy = this.#world.listHealthy().map((vm) => {
      const node = this.#world.nodes.get(vm);
      const naive = this.#naive?.get(vm);
      return {
        vm,
        inForce: this.#naive ? naive?.current : configurationNodes.findInForce(node),
        isReady: this.#naive ? naive?.current !== undefined : configurationNodes.isReady(node),
      };
    });
    return { healthy };
  }
}

/** Runs every fault at every step on both routers. */
export async function runConfigurationCells(): Promise<readonly ConfigurationCell[]> {
  const judged: ConfigurationCell[] = [];
  for (const fault of SPREAD_FAULTS) {
    for (const step of Object.values(SPREAD_STEP)) judged.push(...(await runSpread(fault, step)));
  }
  return judged;
}

/** Runs one fault at one step on both routers. */
export async function runSpread(
  fault: SpreadFault,
  step: SpreadStep,
): Promise<readonly ConfigurationCell[]> {
  const real = await judgeSpread(fault, step, worlds.ROUTER.real);
  const naive = await judgeSpread(fault, step, worlds.ROUTER.naive);
  return Object.values(PROMISE).map((promise) => ({
    promise,
    fault: fault.name,
    step,
    real: real(promise),
    naive: naive(promise),
  }));
}

async function judgeSpread(
  fault: SpreadFault,
  step: SpreadStep,
  router: worlds.Router,
): Promise<(promise: string) => cells.Verdict> {
  using world = new worlds.World({ router, seed: SEED });
  await world.start();
  const naive = router === worlds.ROUTER.naive ? startNaive(world) : undefined;
  const judge = new ConfigurationJudge(world, naive);
  await world.clock.advance(SPREAD_LIMIT_MS);
  world.platform.publish(UPDATED);
  const progress = { injectedAt: -1, late: "not reached" as string | undefined };
  const startedAt = world.clock.now();
  while (world.clock.now() - startedAt < OBSERVED_MS) {
    await world.clock.advance(SAMPLE_MS);
    judge.checkReverts();
    const isDue = judge.countUpdated() >= NODES_BY_STEP[step];
    if (progress.injectedAt < 0 && isDue) {
      progress.injectedAt = world.clock.now();
      fault.inject(world, findReader(world));
    }
    const dueAt = progress.injectedAt + fault.endsAfterMs + SPREAD_LIMIT_MS;
    const isJudged = progress.injectedAt >= 0 && world.clock.now() >= dueAt;
    if (isJudged && progress.late === "not reached") progress.late = judge.findLagging();
  }
  const reasons: Readonly<Record<string, string | undefined>> = {
    [PROMISE.inForce]: progress.late,
    [PROMISE.neverReverts]: judge.reverted,
  };
  return (promise) => createVerdict(reasons[promise]);
}

function createVerdict(reason: string | undefined): cells.Verdict {
  if (reason === undefined) return { verdict: cells.VERDICT.proved, reason: "" };
  return { verdict: cells.VERDICT.failed, reason };
}

/** The first node that has the new document, else any that runs. */
function findReader(world: worlds.World): string {
  const healthy = world.listHealthy();
  const updated = healthy.find(
    (vm) => configurationNodes.findInForce(world.nodes.get(vm))?.revision === NEW_REVISION,
  );
  return updated ?? healthy[0] ?? "vm-a1";
}

/** Starts the naive configuration of every node, and of those that are started later. */
function startNaive(
  world: worlds.World,
): ReadonlyMap<string, configurationNodes.NaiveConfiguration> {
  const started = new Map<string, configurationNodes.NaiveConfiguration>();
  const known = new Set<unknown>();
  const startMissing = (): void => {
    for (const [vm, { process }] of world.nodes) {
      if (known.has(process)) continue;
      known.add(process);
      const configuration = new configurationNodes.NaiveConfiguration();
      started.set(vm, configuration);
      void configuration.run(process, world.platform.createClient(vm));
    }
    world.clock.schedule(SAMPLE_MS, startMissing);
  };
  startMissing();
  return started;
}
