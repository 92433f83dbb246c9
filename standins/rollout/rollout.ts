/**
 * Plays changes of a grown configuration on real gateways under traffic, and measures how long after its acknowledgement each
 * was in force at each gateway. Every gateway is asked for the newest route meanwhile.
 */
import * as http from "node:http";
import * as examples from "../users-platform/examples.js";
import * as clusters from "./cluster.js";
import * as timelines from "./timeline.js";

const PROBE_PERIOD_MS = 500;
const PROBE_LIMIT_MS = 3_000;
const FIRST_VERSION = 4;
const WARM_UP_MS = 5_000;

/** One change of the configuration, and the traffic from then on. */
export interface RolloutStep {
  /** Routes that are added, of which the last one is asked for. */
  readonly routes: number;
  /** Requests per VM and second from 2 s before the change on. */
  readonly rate: number;
}

/** Options of a rollout. */
export interface RolloutOptions extends clusters.ClusterOptions {
  readonly steps: readonly RolloutStep[];
  /** Time from one change to the next. */
  readonly gapMs: number;
  /** Time after the acknowledgement by which a change has to be in force. */
  readonly limitMs: number;
}

/** What was seen of one change. */
export interface StepResult extends RolloutStep {
  /** Times from the acknowledgement to being in force, one for each gateway that applied the change. */
  readonly inForceMs: readonly number[];
  /** Time from the acknowledgement to this gateway's first knowledge, and further parts, as the log names them. */
  readonly parts: Readonly<Record<string, readonly number[]>>;
  /** Gateways on which it was not in force at the end of the step. */
  readonly missing: number;
  /** Answers to requests for the newest route that were sent after the limit. */
  readonly late: Readonly<Record<string, number>>;
  readonly outcomes: Readonly<Record<string, number>>;
  readonly events: Readonly<Record<string, number>>;
  readonly maxDelayMs: number;
  readonly meanCpuMs: number;
  readonly droppedDatagrams: number | undefined;
}

interface PlayedStep extends RolloutStep {
  readonly version: number;
  readonly ackAt: number;
  readonly endAt: number;
  readonly late: Readonly<Record<string, number>>;
  readonly outcomes: Readonly<Record<string, number>>;
  readonly droppedDatagrams: number | undefined;
}

/** Plays the steps one after another. */
export async function runRollout(options: RolloutOptions): Promise<readonly StepResult[]> {
  await using cluster = await clusters.Cluster.start(
    options,
    createConfiguration(FIRST_VERSION, 0),
  );
  const played: PlayedStep[] = [];
  let routes = 0;
  cluster.setRate(options.steps[0]?.rate ?? 0);
  await wait(WARM_UP_MS);
  for (const [index, step] of options.steps.entries()) {
    routes += step.routes;
    cluster.setRate(step.rate);
    await wait(2_000);
    cluster.takeOutcomes();
    const version = FIRST_VERSION + 1 + index;
    cluster.store.set("op/config", createConfiguration(version, routes));
    const ackAt = Date.now();
    const late = await probeGateways(cluster, options, `/${formatRoute(routes - 1)}/x`, ackAt);
    const outcomes = cluster.takeOutcomes();
    const droppedDatagrams = await cluster.readDroppedDatagrams();
    played.push({ ...step, version, ackAt, endAt: Date.now(), late, outcomes, droppedDatagrams });
  }
  const logs = cluster.gateways.map(({ name, logPath }) => timelines.readTimeline(name, logPath));
  return played.map((step) => summarizeStep(step, logs));
}

/** Asks every gateway for a route until the step ends; returns the answers to requests that were sent after the limit. */
async function probeGateways(
  cluster: clusters.Cluster,
  { gapMs, limitMs }: RolloutOptions,
  path: string,
  ackAt: number,
): Promise<Readonly<Record<string, number>>> {
  const late: Record<string, number> = {};
  const probes = cluster.gateways.map(async ({ name, ip }, index) => {
    await wait((PROBE_PERIOD_MS * index) / cluster.gateways.length);
    const agent = new http.Agent({ keepAlive: true });
    for (let number = 0; Date.now() < ackAt + gapMs; number += 1) {
      const sentAt = Date.now();
      const status = await sendProbe(agent, ip, path, `probe-${name}-${ackAt}-${number}`);
      if (sentAt > ackAt + limitMs) late[status] = (late[status] ?? 0) + 1;
      await wait(PROBE_PERIOD_MS - (Date.now() - sentAt));
    }
    agent.destroy();
  });
  await Promise.all(probes);
  return late;
}

function sendProbe(agent: http.Agent, host: string, path: string, call: string): Promise<string> {
  return new Promise((resolve) => {
    const headers = { host: "api.example", "request-id": call, "deadline-ms": "2000" };
    const port = examples.PORTS.front;
    const request = http.request({ host, port, agent, method: "POST", path, headers });
    const timer = setTimeout(() => request.destroy(), PROBE_LIMIT_MS);
    let status = "unanswered";
    request.on("response", (response) => {
      status = String(response.statusCode);
      response.resume();
      response.on("error", () => undefined);
    });
    request.on("error", () => undefined);
    request.on("close", () => {
      clearTimeout(timer);
      resolve(status);
    });
    request.end("body");
  });
}

function summarizeStep(
  { version, ackAt, endAt, ...step }: PlayedStep,
  logs: readonly timelines.GatewayTimeline[],
): StepResult {
  const applied = logs.flatMap(
    ({ applications }) => applications.find((one) => one.version >= version) ?? [],
  );
  const inForceMs = applied.map(({ at }) => at - ackAt);
  const isInStep = ({ at }: { readonly at: number }): boolean => at >= ackAt && at < endAt;
  const events: Record<string, number> = {};
  for (const { name } of logs.flatMap((log) => log.events.filter(isInStep)))
    events[name] = (events[name] ?? 0) + 1;
  const loads = logs.flatMap((log) => log.loads.filter(isInStep));
  const cpu = loads.reduce((sum, { cpuMs }) => sum + cpuMs, 0);
  return {
    ...step,
    inForceMs,
    parts: listParts(applied),
    missing: logs.length - inForceMs.filter((tookMs) => tookMs <= endAt - ackAt).length,
    events,
    maxDelayMs: Math.max(0, ...loads.map(({ delayMs }) => delayMs)),
    meanCpuMs: Math.round(cpu / Math.max(1, loads.length)),
  };
}

/** Returns the parts of the time that the lines name: fields that end in `Ms`, by way. */
function listParts(
  applied: readonly timelines.Application[],
): Readonly<Record<string, readonly number[]>> {
  const parts: Record<string, number[]> = {};
  for (const { line } of applied)
    for (const [field, value] of Object.entries(line))
      if (field.endsWith("Ms") && field !== "answeredMs" && typeof value === "number")
        (parts[`${String(line.path)} ${field}`] ??= []).push(value);
  return parts;
}

function formatRoute(number: number): string {
  return number < 0 ? "status" : `step-${String(number).padStart(6, "0")}`;
}

function createConfiguration(version: number, routes: number): unknown {
  const base = examples.createConfiguration(version) as { routes: Record<string, unknown>[] };
  const [, status] = base.routes;
  const added = Array.from({ length: routes }, (_, number) => {
    const name = formatRoute(number);
    return { ...status, name, path_prefix: `/${name}/` };
  });
  return { ...base, routes: [...base.routes, ...added] };
}

function wait(delayMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, Math.max(0, delayMs)));
}
