/** One soak: faults from outside the processes, and checks of what callers and runners saw. */
import * as callers from "./callers.js";
import * as faults from "./faults.js";
import * as guaranteeChecks from "./guarantee-checks.js";
import * as soakCluster from "./soak-cluster.js";

const CLUSTER_SIZE: soakCluster.ClusterSize = { gateways: 3, prefill: 2, decode: 2, plain: 2 };
const CALLER_COUNT = 9;
/** Mean time between two faults. */
const FAULT_INTERVAL_MS = 500;
/** After this time without a fault everything is served again. */
const RECOVERY_MS = 6_000;
const RECOVERY_CHECK_MS = 3_000;
/** Two in a hundred plain answers are lost at their runners. */
const MIN_SERVED_SHARE = 0.9;
/** Streams that leave, or run while a gateway leaves. */
const STREAM_COUNT = 5;
const INTERRUPT_AFTER_MS = 400;
/** A runner's work ends within half a second of its caller; the rest is for a busy machine. */
const CANCEL_TIMEOUT_MS = 1_500;
/** Time from SIGTERM to the end that the settings allow. */
const SHUTDOWN_GRACE_MS = 8_000;
const EVENT_DELIVERY_MS = 300;

/** What came of a soak. */
export interface SoakResult {
  readonly seed: number;
  readonly requests: number;
  readonly faults: number;
  /** Share served once all is calm. */
  readonly servedShare: number;
  /** Broken promises; empty when all were kept. */
  readonly violations: readonly string[];
}

function sleep(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}

/** Runs one seed. */
export async function runSoak(seed: number, durationMs: number): Promise<SoakResult> {
  await using cluster = await soakCluster.SoakCluster.start(CLUSTER_SIZE);
  const plan = faults.createPlan(seed, durationMs, FAULT_INTERVAL_MS);
  const duringFaults = new callers.Callers(cluster, CALLER_COUNT, seed);
  await faults.runPlan(cluster, plan);
  await duringFaults.stop();
  await sleep(RECOVERY_MS);
  const afterwards = new callers.Callers(cluster, CALLER_COUNT, seed);
  await sleep(RECOVERY_CHECK_MS);
  await afterwards.stop();
  const violations = [...(await checkCancelledStreams(cluster)), ...(await checkDrain(cluster))];
  // What runners told last is still on its way.
  await sleep(EVENT_DELIVERY_MS);
  const records = [...duringFaults.records, ...afterwards.records];
  violations.push(...guaranteeChecks.listViolations({ records, runs: cluster.runs }));
  const servedShare = guaranteeChecks.computeServedShare(afterwards.records);
  if (servedShare < MIN_SERVED_SHARE)
    violations.push(`RECOVER: ${servedShare.toFixed(3)} served when calm`);
  return { seed, requests: records.length, faults: plan.length, servedShare, violations };
}

/** Callers that leave end the runs of their streams. */
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
  const ran = records.filter(({ id }) => cluster.runs.has(id));
  if (ran.length === 0) return ["GONE: no stream ran whose caller could leave"];
  const running = ran.filter(({ id }) => !cluster.cancelled.has(id));
  return running.map(({ id }) => `GONE: ${id} still runs after its caller has left`);
}

/** A gateway that leaves ends in time and cuts off nothing. */
async function checkDrain(cluster: soakCluster.SoakCluster): Promise<string[]> {
  const gateway = cluster.gateways.at(-1);
  if (gateway === undefined) return [];
  const { notes, book } = callers.CALL_KIND;
  const kinds = [...Array.from({ length: STREAM_COUNT }, () => notes), book];
  const answers = kinds.map((kind) => callers.sendCall(gateway, kind, false));
  await sleep(INTERRUPT_AFTER_MS);
  const startedAt = performance.now();
  gateway.process.sendSignal("SIGTERM");
  const records = await Promise.all(answers);
  const code = await gateway.process.exited;
  const tookMs = performance.now() - startedAt;
  gateway.state = soakCluster.GATEWAY_STATE.down;
  // All were sent before the gateway left, so each has a whole answer of some kind.
  const cut = records.filter(({ isComplete }) => !isComplete);
  const violations = cut.map(({ id }) => `LOST: ${id} was cut off by a gateway that left`);
  const isInTime = code === 0 && tookMs < SHUTDOWN_GRACE_MS;
  if (!isInTime) violations.push(`LOST: gateway ended with ${String(code)} after ${tookMs} ms`);
  return violations;
}
