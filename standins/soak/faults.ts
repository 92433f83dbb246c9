/** The faults of a soak. What a fault stops, pauses or degrades is restored when it is over. */
import * as random from "../../src/kernel/random.js";
import * as relays from "../relay.js";
import * as failing from "../users-platform/failing-runner.js";
import * as store from "../users-platform/store.js";
import type * as runLog from "./run-log.js";
import * as soakCluster from "./soak-cluster.js";

/** Time from marking a runner as leaving until it is killed. */
const RUNNER_DRAIN_MS = 3_500;
const MAX_FAULT_MS = 3_000;
const MIN_FAULT_MS = 200;
const MAX_DELAY_MS = 250;
/** Time for which the store is away before it comes back from a copy. */
const RESTORE_MS = 1_000;
/** Time from SIGTERM until a gateway's process is killed; `grace_s` in the gateways' settings. */
const SHUTDOWN_GRACE_MS = 8_000;
/** Time from a gateway's start after which it handles SIGHUP; before, SIGHUP would end it. */
const SIGNAL_HANDLER_STARTUP_MS = 300;

/**
 * Injects a fault; resolves when the fault is over. Has no effect when no victim is available, but
 * may still wait for the fault's duration.
 */
type Fault = (cluster: soakCluster.SoakCluster, source: random.RandomSource) => Promise<void>;

function sleep(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}

function chooseDuration(source: random.RandomSource): number {
  return MIN_FAULT_MS + source.nextInteger(MAX_FAULT_MS - MIN_FAULT_MS);
}

function chooseItem<Item>(items: readonly Item[], source: random.RandomSource): Item | undefined {
  return items[source.nextInteger(Math.max(1, items.length))];
}

function chooseGateway(
  cluster: soakCluster.SoakCluster,
  source: random.RandomSource,
): soakCluster.Gateway | undefined {
  const up = cluster.gateways.filter(({ state }) => state === soakCluster.GATEWAY_STATE.up);
  return chooseItem(up, source);
}

function chooseRunner(
  cluster: soakCluster.SoakCluster,
  source: random.RandomSource,
): soakCluster.Runner | undefined {
  return chooseItem([...cluster.runners.values()], source);
}

/** Sends a gateway a signal that ends it, and restarts it when it has been down for `downMs`. */
async function stopAndRestartGateway(
  cluster: soakCluster.SoakCluster,
  gateway: soakCluster.Gateway | undefined,
  signal: NodeJS.Signals,
  downMs: number,
): Promise<void> {
  if (gateway === undefined) return;
  gateway.state = soakCluster.GATEWAY_STATE.down;
  gateway.process.sendSignal(signal);
  const kill = setTimeout(() => {
    gateway.process.sendSignal("SIGKILL");
  }, SHUTDOWN_GRACE_MS);
  await cluster.disturb([gateway], async () => {
    await gateway.process.exited;
    clearTimeout(kill);
    await sleep(downMs);
    await cluster.restartGateway(gateway);
  });
}

/** Starts a new runner with the role of the given one. */
async function replaceRunner(
  cluster: soakCluster.SoakCluster,
  runner: soakCluster.Runner,
): Promise<void> {
  await cluster.addRunner(runner.role);
}

async function releaseRunner(
  cluster: soakCluster.SoakCluster,
  runner: soakCluster.Runner,
): Promise<void> {
  cluster.markLeaving(runner);
  await replaceRunner(cluster, runner);
  await sleep(RUNNER_DRAIN_MS);
  await cluster.killRunner(runner);
}

/** Applies changes to a relay for the given time, then reverts them and resets its connections. */
async function degradeRelay(
  relay: relays.Relay,
  changes: Partial<Pick<relays.Relay, "delayMs" | "droppedDirection">>,
  durationMs: number,
): Promise<void> {
  Object.assign(relay, changes);
  await sleep(durationMs);
  relay.delayMs = 0;
  relay.droppedDirection = undefined;
  // Bytes dropped in the middle of a connection cannot be recovered, so open connections are reset.
  relay.reset();
}

/** All faults by name. */
export const FAULTS: Readonly<Record<string, Fault>> = {
  killGateway: (cluster, source) =>
    stopAndRestartGateway(
      cluster,
      chooseGateway(cluster, source),
      "SIGKILL",
      chooseDuration(source),
    ),
  stopGateway: (cluster, source) =>
    stopAndRestartGateway(
      cluster,
      chooseGateway(cluster, source),
      "SIGTERM",
      chooseDuration(source),
    ),
  killAllGateways: async (cluster, source) => {
    const downMs = chooseDuration(source);
    const up = cluster.gateways.filter(({ state }) => state === soakCluster.GATEWAY_STATE.up);
    await Promise.all(
      up.map((gateway) => stopAndRestartGateway(cluster, gateway, "SIGKILL", downMs)),
    );
  },
  pauseGateway: async (cluster, source) => {
    const gateway = chooseGateway(cluster, source);
    if (gateway === undefined) return;
    gateway.state = soakCluster.GATEWAY_STATE.paused;
    await cluster.disturb([gateway], async () => {
      gateway.process.sendSignal("SIGSTOP");
      await sleep(chooseDuration(source));
      gateway.process.sendSignal("SIGCONT");
    });
    gateway.state = soakCluster.GATEWAY_STATE.up;
  },
  changeSettings: async (cluster, source) => {
    const gateway = chooseGateway(cluster, source);
    if (gateway === undefined) return;
    await cluster.writeSettings(gateway, [cluster.formatSeed(1 + source.nextInteger(3))]);
    if (source.nextInteger(2) === 0) {
      await sleep(Math.max(0, SIGNAL_HANDLER_STARTUP_MS - (performance.now() - gateway.startedAt)));
      gateway.process.sendSignal("SIGHUP");
    }
  },
  changeConfiguration: async (cluster, source) => {
    for (let remaining = 1 + source.nextInteger(3); remaining > 0; remaining -= 1) {
      cluster.publishConfiguration();
      await sleep(100);
    }
  },
  killRunner: async (cluster, source) => {
    const runner = chooseRunner(cluster, source);
    if (runner === undefined) return;
    await cluster.killRunner(runner);
    await sleep(chooseDuration(source));
    await replaceRunner(cluster, runner);
  },
  /** Drains a runner, starts its replacement, and then kills it. */
  releaseRunner: async (cluster, source) => {
    const runner = chooseRunner(cluster, source);
    if (runner === undefined) return;
    await releaseRunner(cluster, runner);
  },
  pauseRunner: async (cluster, source) => {
    const runner = chooseRunner(cluster, source);
    if (runner === undefined) return;
    runner.child.process.sendSignal("SIGSTOP");
    await sleep(chooseDuration(source));
    runner.child.process.sendSignal("SIGCONT");
  },
  silenceRunner: async (cluster, source) => {
    chooseRunner(cluster, source)?.relay.silence();
    await sleep(chooseDuration(source));
  },
  resetRunner: async (cluster, source) => {
    chooseRunner(cluster, source)?.relay.reset();
    await sleep(chooseDuration(source));
  },
  cutRunnerOneWay: async (cluster, source) => {
    const runner = chooseRunner(cluster, source);
    const droppedDirection =
      source.nextInteger(2) === 0 ? relays.DIRECTION.near : relays.DIRECTION.far;
    if (runner !== undefined)
      await degradeRelay(runner.relay, { droppedDirection }, chooseDuration(source));
  },
  delayRunner: async (cluster, source) => {
    const runner = chooseRunner(cluster, source);
    const delayMs = source.nextInteger(MAX_DELAY_MS);
    if (runner !== undefined) await degradeRelay(runner.relay, { delayMs }, chooseDuration(source));
  },
  resetCallers: async (cluster, source) => {
    const gateway = chooseGateway(cluster, source);
    gateway?.front.reset();
    await cluster.disturb(gateway === undefined ? [] : [gateway], () =>
      sleep(chooseDuration(source)),
    );
  },
  silenceStore: async (cluster, source) => {
    const gateway = chooseGateway(cluster, source);
    gateway?.store.silence();
    await cluster.disturb(gateway === undefined ? [] : [gateway], () =>
      sleep(chooseDuration(source)),
    );
  },
  cutStoreOneWay: async (cluster, source) => {
    const gateway = chooseGateway(cluster, source);
    const droppedDirection = relays.DIRECTION.near;
    if (gateway === undefined) return;
    const durationMs = chooseDuration(source);
    await cluster.disturb([gateway], () =>
      degradeRelay(gateway.store, { droppedDirection }, durationMs),
    );
  },
  /** Makes the store unavailable: it returns 503 or does not respond. */
  stopStore: async (cluster, source) => {
    const { busy, silent, sound } = store.STORE_MODE;
    const mode = source.nextInteger(2) === 0 ? busy : silent;
    cluster.sendStoreCommand({ kind: "mode", mode });
    await cluster.disturb(cluster.gateways, () => sleep(chooseDuration(source)));
    cluster.sendStoreCommand({ kind: "mode", mode: sound });
  },
  compactStore: async (cluster, source) => {
    cluster.sendStoreCommand({ kind: "compact" });
    await sleep(chooseDuration(source));
  },
};

/** Kills all gateways and starts them again, with keys of their own if they are to be cut off from each other. */
async function restartAll(cluster: soakCluster.SoakCluster, isCutOff: boolean): Promise<void> {
  for (const gateway of cluster.gateways)
    gateway.fleetKey = isCutOff
      ? `${soakCluster.FLEET_KEY} of ${gateway.name}`
      : soakCluster.FLEET_KEY;
  await Promise.all(
    cluster.gateways.map(async (gateway) => {
      while (gateway.state === soakCluster.GATEWAY_STATE.paused) await sleep(MIN_FAULT_MS);
      // A gateway that is down is started with the new key by the fault that ended it.
      if (gateway.state === soakCluster.GATEWAY_STATE.up)
        await stopAndRestartGateway(cluster, gateway, "SIGKILL", MIN_FAULT_MS);
    }),
  );
}

/** Faults at which runners fail all their requests and gateways lose sight of each other, by name. */
const BUDGET_FAULTS: Readonly<Record<string, Fault>> = {
  failRunners: (cluster, source) =>
    failRunners(cluster, source, () => sleep(chooseDuration(source))),
  /** Kills all gateways three times while runners fail. */
  failAndKillAll: (cluster, source) =>
    failRunners(cluster, source, async () => {
      for (let time = 0; time < 3; time += 1) {
        await restartAll(cluster, false);
        await sleep(chooseDuration(source) / 2);
      }
    }),
  /** Starts all gateways cut off from each other while runners fail. */
  failAndCutOff: (cluster, source) =>
    failRunners(cluster, source, async () => {
      await restartAll(cluster, true);
      await sleep(MAX_FAULT_MS + chooseDuration(source));
      await restartAll(cluster, false);
    }),
};

/** Faults of clusters with runners of several software versions, by name. */
const VERSION_FAULTS: Readonly<Record<string, Fault>> = {
  /** Replaces decode runners in turn, every second one by a runner of a new version. */
  rollVersion: async (cluster, source) => {
    cluster.startVersion();
    const decode = [...cluster.runners.values()].filter(({ role }) => role === "decode");
    const rolled: Promise<void>[] = [];
    for (const runner of decode) {
      if (!cluster.runners.has(runner.id)) continue;
      rolled.push(releaseRunner(cluster, runner));
      await sleep(chooseDuration(source) / 2);
    }
    await Promise.all(rolled);
  },
};

/** Faults of stores that come back from a copy, by name. */
const RESTORE_FAULTS: Readonly<Record<string, Fault>> = {
  /** Restores the store from a copy, after changes that it loses; their owners then write them again. */
  restoreStore: async (cluster, source) => {
    cluster.sendStoreCommand({ kind: "copy" });
    cluster.publishConfiguration();
    await sleep(chooseDuration(source));
    const { busy, sound } = store.STORE_MODE;
    cluster.sendStoreCommand({ kind: "mode", mode: busy });
    await cluster.disturb(cluster.gateways, () => sleep(RESTORE_MS));
    cluster.sendStoreCommand({ kind: "restore" });
    cluster.sendStoreCommand({ kind: "mode", mode: sound });
    await sleep(MIN_FAULT_MS);
    cluster.rewriteEntries();
  },
};

/** Name of the fault that replaces gateways of an older build. */
export const UPGRADE_FAULT = "upgradeGateways";

const UPGRADE_FAULTS: Readonly<Record<string, Fault>> = {
  /** Replaces one gateway after the other by this build, as a rolling upgrade does. */
  [UPGRADE_FAULT]: async (cluster, source) => {
    for (const gateway of cluster.gateways) {
      await sleep(chooseDuration(source));
      gateway.script = soakCluster.GATEWAY_SCRIPT;
      while (gateway.state === soakCluster.GATEWAY_STATE.paused) await sleep(MIN_FAULT_MS);
      // A gateway that is down is started with the new build by the fault that ended it.
      if (gateway.state === soakCluster.GATEWAY_STATE.up)
        await stopAndRestartGateway(cluster, gateway, "SIGTERM", MIN_FAULT_MS);
    }
  },
};

const ALL_FAULTS = {
  ...FAULTS,
  ...BUDGET_FAULTS,
  ...VERSION_FAULTS,
  ...RESTORE_FAULTS,
  ...UPGRADE_FAULTS,
};

/** Makes all runners of a role reject or reset their requests for as long as `during` takes. */
async function failRunners(
  cluster: soakCluster.SoakCluster,
  source: random.RandomSource,
  during: () => Promise<void>,
): Promise<void> {
  const role = chooseItem(["plain", "prefill", "decode"] as const, source) ?? "plain";
  const { reject, reset, none } = failing.FAILURE;
  cluster.setFailure(role, source.nextInteger(2) === 0 ? reject : reset);
  await during();
  cluster.setFailure(role, none);
}

/** A fault and the time at which it is injected. */
export interface PlannedFault {
  readonly kind: string;
  /** Milliseconds from the start of traffic. */
  readonly atMs: number;
  /** Seed of the fault's random choices. */
  readonly seed: number;
}

/**
 * Creates the fault plan of a seed, with starts `meanIntervalMs` apart on average. Faults can
 * overlap.
 *
 * @param hasFailingRunners - whether the faults include those of `BUDGET_FAULTS`.
 * @param hasVersions - whether the faults include those of `VERSION_FAULTS`.
 * @param hasRestores - whether the faults include those of `RESTORE_FAULTS`.
 */
export function createPlan(
  seed: number,
  durationMs: number,
  meanIntervalMs: number,
  hasFailingRunners = false,
  hasVersions = false,
  hasRestores = false,
): PlannedFault[] {
  const source = random.createSeededRandom(seed);
  const kinds = Object.keys({
    ...FAULTS,
    ...(hasFailingRunners ? BUDGET_FAULTS : {}),
    ...(hasVersions ? VERSION_FAULTS : {}),
    ...(hasRestores ? RESTORE_FAULTS : {}),
  });
  const plan: PlannedFault[] = [];
  let atMs = 0;
  while (atMs < durationMs) {
    const kind = chooseItem(kinds, source) ?? "";
    plan.push({ kind, atMs: Math.round(atMs), seed: source.nextInteger(2 ** 31) });
    atMs += source.nextFloat() * 2 * meanIntervalMs;
  }
  return plan;
}

/** Runs a plan; resolves with its timeline when all its faults are over. */
export async function runPlan(
  cluster: soakCluster.SoakCluster,
  plan: readonly PlannedFault[],
): Promise<readonly runLog.TimelineEntry[]> {
  const timeline: runLog.TimelineEntry[] = [];
  await Promise.all(
    plan.map(async ({ kind, atMs, seed }) => {
      await sleep(atMs);
      timeline.push({ at: performance.now(), text: `${kind} begins` });
      await ALL_FAULTS[kind]?.(cluster, random.createSeededRandom(seed));
      timeline.push({ at: performance.now(), text: `${kind} ends` });
    }),
  );
  return timeline;
}
