/**
 * A soak run: injects faults into processes and the connections between them, and checks the
 * router's guarantees during the faults, after recovery, when callers abort streams, and at a
 * shutdown.
 */
import * as path from "node:path";
import * as callers from "./callers.js";
import * as children from "./children.js";
import * as crashingCallers from "./crashing-caller.js";
import * as faults from "./faults.js";
import * as guaranteeChecks from "./guarantee-checks.js";
import * as resumingCaller from "./resuming-caller.js";
import * as runnerLimits from "./runner-limits.js";
import * as runLog from "./run-log.js";
import * as soakCluster from "./soak-cluster.js";

const CLUSTER_SIZE: soakCluster.ClusterSize = { gateways: 3, prefill: 2, decode: 2, plain: 2 };
const CALLER_COUNT = 9;
/** Decode runners and first number of software versions of a cluster with several. */
const VERSIONED_DECODE_RUNNERS = 4;
const VERSION_COUNT = 2;
const RESUMING_CALLERS = 8;
const MS_PER_S = 1_000;
/** Retries per call while runners fail all requests; low, so that the calls do not hide what exceeds the slack. */
const LOW_RETRY_RATIO = 0.02;
/** Mean time between the starts of two faults. */
const FAULT_INTERVAL_MS = 500;
/** Time without faults after which the cluster must serve requests again. */
const RECOVERY_MS = 6_000;
/** Time for which callers then check that it does. */
const RECOVERY_CHECK_MS = 3_000;
/**
 * Least share of requests that must be served after recovery; below 1, since plain runners lose the
 * answers to 2 % of their calls.
 */
const MIN_SERVED_SHARE = 0.9;
/** Number of streams that callers abort, and that run while a gateway shuts down. */
const STREAM_COUNT = 5;
/** Time from sending requests until their callers abort them or their gateway shuts down. */
const INTERRUPT_AFTER_MS = 400;
/**
 * Time after which the run of an aborted stream must have been cancelled. Gateways cancel it within
 * 500 ms; the rest is margin for a busy machine.
 */
const CANCEL_TIMEOUT_MS = 1_500;
/** Time within which a gateway must exit after SIGTERM; `grace_s` in the gateways' settings. */
const SHUTDOWN_GRACE_MS = 8_000;
/** Time in which the last events of the runners arrive. */
const EVENT_DELIVERY_MS = 300;

/** The result of a soak run. */
export interface SoakResult {
  readonly seed: number;
  /** Number of requests during the faults and after recovery. */
  readonly requests: number;
  readonly faults: number;
  /** Share of requests served after recovery. */
  readonly servedShare: number;
  /** A line for each violation of a guarantee; empty if all held. */
  readonly violations: readonly string[];
}

function sleep(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}

/** What a soak run plays. */
export interface SoakOptions {
  readonly seed: number;
  /** Duration of the fault plan. */
  readonly seconds: number;
  /** Whether a caller sends a request that ends its runners. */
  readonly hasCrashingCaller?: boolean;
  /** Whether a caller sends requests with a prompt part that ends its runners, also while the recovery is checked. */
  readonly hasCrashingPart?: boolean;
  /** Whether runners fail all their requests for a time, and gateways start cut off from each other. */
  readonly hasFailingRunners?: boolean;
  /** Whether runners are of several software versions, and callers resume streams at any gateway. */
  readonly hasVersions?: boolean;
  /** Whether the platform's store comes back from a copy; it names no era in runs of even seeds. */
  readonly hasRestores?: boolean;
  /** Whether the runners of a role name a limit for a time. */
  readonly hasLimits?: boolean;
  /** Entry point of an older build, of which all gateways are until an upgrade replaces them in turn. */
  readonly olderScript?: string | undefined;
  /** Directory for the logs of a run that violates a guarantee; they are not kept without it. */
  readonly logDirectory?: string | undefined;
  /** Sizes that differ from `CLUSTER_SIZE`. */
  readonly size?: Partial<soakCluster.ClusterSize>;
}

/** Runs the soak of one seed. */
export async function runSoak(options: SoakOptions): Promise<SoakResult> {
  const { seed, seconds, hasCrashingCaller = false, hasFailingRunners = false } = options;
  const { hasVersions = false } = options;
  const { bytes, part } = children.CRASH_CAUSE;
  const versioned = hasVersions ? { decode: VERSIONED_DECODE_RUNNERS } : {};
  const size = { ...CLUSTER_SIZE, ...versioned, ...options.size };
  const retryRatio = hasFailingRunners ? LOW_RETRY_RATIO : undefined;
  const versionCount = hasVersions ? VERSION_COUNT : 0;
  await using cluster = await soakCluster.SoakCluster.start(
    size,
    retryRatio,
    versionCount,
    options.olderScript,
    options.hasRestores !== true || seed % 2 === 1,
  );
  const plan = faults.createPlan(
    seed,
    seconds * MS_PER_S,
    FAULT_INTERVAL_MS,
    hasFailingRunners,
    hasVersions,
    options.hasRestores,
  );
  if (options.olderScript !== undefined) plan.push({ kind: faults.UPGRADE_FAULT, atMs: 0, seed });
  const faultPhaseCallers = new callers.Callers(cluster, CALLER_COUNT, seed);
  const crashingCaller = hasCrashingCaller
    ? new crashingCallers.CrashingCaller(cluster, bytes, seed)
    : undefined;
  const partCaller =
    options.hasCrashingPart === true
      ? new crashingCallers.CrashingCaller(cluster, part, seed)
      : undefined;
  const limits =
    options.hasLimits === true ? new runnerLimits.LimitingRunners(cluster, seed) : undefined;
  const resumingCount = hasVersions ? RESUMING_CALLERS : 0;
  const faultPhaseStreams = new resumingCaller.ResumingCaller(cluster, resumingCount, seed);
  const timeline = await faults.runPlan(cluster, plan);
  await faultPhaseCallers.stop();
  await faultPhaseStreams.stop();
  await crashingCaller?.stop();
  await limits?.stop();
  await sleep(RECOVERY_MS);
  const recoveryPhaseCallers = new callers.Callers(cluster, CALLER_COUNT, seed);
  const calmStreams = new resumingCaller.ResumingCaller(cluster, resumingCount, seed);
  await sleep(RECOVERY_CHECK_MS);
  await recoveryPhaseCallers.stop();
  await calmStreams.stop();
  await partCaller?.stop();
  const violations = [...(await checkCancelledStreams(cluster)), ...(await checkDrain(cluster))];
  // The last events of the runners may still be in flight to this process.
  await sleep(EVENT_DELIVERY_MS);
  const records = [...faultPhaseCallers.records, ...recoveryPhaseCallers.records];
  violations.push(...guaranteeChecks.listViolations({ records, runs: cluster.runs }));
  for (const caller of [crashingCaller, partCaller])
    violations.push(...(caller?.listViolations() ?? []));
  violations.push(...(limits?.listViolations() ?? []));
  violations.push(...guaranteeChecks.listBudgetViolations(cluster));
  for (const streams of [faultPhaseStreams, calmStreams])
    violations.push(...streams.listOrderViolations());
  violations.push(...calmStreams.listLostViolations());
  const servedShare = guaranteeChecks.computeServedShare(recoveryPhaseCallers.records);
  if (servedShare < MIN_SERVED_SHARE)
    violations.push(`RECOVER: share ${servedShare.toFixed(3)} served after recovery`);
  if (violations.length > 0 && options.logDirectory !== undefined)
    await runLog.writeRunLog(path.join(options.logDirectory, String(seed)), cluster, timeline);
  return { seed, requests: records.length, faults: plan.length, servedShare, violations };
}

/** Checks that a stream's run is cancelled when its caller disconnects; returns the violations. */
async function checkCancelledStreams(cluster: soakCluster.SoakCluster): Promise<string[]> {
  const [gateway] = cluster.gateways;
  if (gateway === undefined) return [];
  const { notes } = callers.CALL_KIND;
  const records = await Promise.all(
    Array.from({ length: STREAM_COUNT }, () =>
      callers.sendCall(gateway, notes, false, INTERRUPT_AFTER_MS),
    ),
  );
  await sleep(CANCEL_TIMEOUT_MS);
  const startedRecords = records.filter(({ id }) => cluster.runs.has(id));
  if (startedRecords.length === 0)
    return ["GONE: no stream ran, so cancellation could not be checked"];
  const uncancelledRecords = startedRecords.filter(({ id }) => !cluster.cancelled.has(id));
  return uncancelledRecords.map(
    ({ id }) => `GONE: ${id} still runs after its caller closed the connection`,
  );
}

/**
 * Checks that a gateway shuts down in time after SIGTERM without breaking off requests; returns the
 * violations.
 */
async function checkDrain(cluster: soakCluster.SoakCluster): Promise<string[]> {
  const gateway = cluster.gateways.at(-1);
  if (gateway === undefined) return [];
  const { notes, book } = callers.CALL_KIND;
  const kinds = [...Array.from({ length: STREAM_COUNT }, () => notes), book];
  const pendingRecords = kinds.map((kind) => callers.sendCall(gateway, kind, false));
  await sleep(INTERRUPT_AFTER_MS);
  const startedAt = performance.now();
  gateway.process.sendSignal("SIGTERM");
  const records = await Promise.all(pendingRecords);
  const code = await gateway.process.exited;
  const tookMs = performance.now() - startedAt;
  gateway.state = soakCluster.GATEWAY_STATE.down;
  // All requests were sent before the shutdown, so each must get a complete response.
  const incompleteRecords = records.filter(({ isComplete }) => !isComplete);
  const violations = incompleteRecords.map(
    ({ id }) => `LOST: ${id} was broken off by a gateway that shut down`,
  );
  const isInTime = code === 0 && tookMs < SHUTDOWN_GRACE_MS;
  if (!isInTime)
    violations.push(`LOST: gateway exited with code ${String(code)} after ${tookMs} ms`);
  return violations;
}
