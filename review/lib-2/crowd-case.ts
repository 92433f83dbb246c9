/**
 * A case in which ordinary callers send requests on kept connections while a crowd of one uncontrolled client opens connections to one
 * machine, as LETTER-16 describes it. A process that ends is started again, as the platform does.
 */
import * as crypto from "node:crypto";
import * as events from "node:events";
import * as fs from "node:fs";
import * as http from "node:http";
import * as net from "node:net";
import * as store from "../../standins/users-platform/store.js";
import * as records from "./case-record.js";
import * as fleets from "./fleet.js";

const HOST = "corr.example";
const SERVICE = "corr-api";
const MACHINES = ["a", "b", "c"] as const;
const CALLERS_PER_MACHINE = 12;
/** Machines that the crowd meets. */
const CROWDED = 2;
const WORK_MS = 86;
const DEADLINE_MS = 1_500;
/** The longest time of a route of the site. */
const LONG_TIMEOUT_MS = 14_000;
/** Limits of the configuration. */
export const LIMITS = {
  max_header_bytes: 16_384,
  max_body_bytes: 4_194_304,
  header_timeout_ms: 3_000,
  idle_timeout_ms: 15_000,
} as const;
const WARM_UP_MS = 3_000;
const CROWD_MS = 30_000;
/** Time after which clients of the crowd whose connections were closed come back. */
const RETURN_MS = 1_500;
const RESTART_MS = 500;
/** Requests that a machine may lose, by the rule. */
const MAX_LOST = 3;
/** By the rule, so many requests without an answer this long after the time limit of their route, if they are more than half. */
const MIN_LATE = 8;
const LATE_SLACK_MS = 500;
/** By the rule, the day counts 0 if processes of two machines end by themselves so often. */
const MAX_ENDS = 3;
const MAX_ENDING_MACHINES = 2;
const LIMIT_MS = 90_000;
/** Limit of the settings; the platform kills a process that exceeds it. */
const MEMORY_MB = 200;
const MEMORY_POLL_MS = 100;
const KB_PER_MB = 1024;
const HEAP_TEXT = "heap out of memory";
const RUNNER_PORT = 8080;

/** A connection of the crowd. */
export type CrowdMember = (socket: net.Socket, host: string) => Promise<void>;

/** What became of an ordinary request. */
interface OrdinaryRequest {
  readonly id: string;
  readonly gateway: string;
  /** Whether its connection had carried an answered request before. */
  isKept: boolean;
  readonly sentAt: number;
  /** `undefined` if the connection was closed without an answer, and until its end. */
  status: number | undefined;
  endedAt: number | undefined;
}

/** A crowd and the name of its case. */
export interface CrowdCase {
  readonly recordPath: string;
  /** Number of connections. */
  readonly size: number;
  readonly run: CrowdMember;
}

function createRoute(name: string, prefix: string, timeoutMs: number): unknown {
  return {
    name,
    host: HOST,
    path_prefix: prefix,
    kind: "unsafe",
    service: SERVICE,
    max_attempts: 1,
    timeout_ms: timeoutMs,
    target_latency_ms: 386,
    priority: 2,
  };
}

function createConfiguration(): Readonly<Record<string, unknown>> {
  return {
    version: 3,
    routes: [
      createRoute("rx-register", "/register/", DEADLINE_MS),
      createRoute("rx-archive", "/archive/", LONG_TIMEOUT_MS),
    ],
    services: [{ name: SERVICE, health_path: "/health", max_connections: 100 }],
    limits: LIMITS,
  };
}

/** Starts a sound runner; returns the ids of the requests that it began to run. */
async function startRunner(ip: string): Promise<ReadonlySet<string>> {
  const ran = new Set<string>();
  const server = http.createServer((request, response) => {
    request.resume();
    request.once("end", () => {
      if (request.method === "GET") {
        response.writeHead(404).end();
        return;
      }
      const id = String(request.headers["request-id"]);
      ran.add(id);
      response.setHeader("request-id", id).setHeader("response-stamp", `i-corr-1.${id}`);
      setTimeout(() => response.end("registered"), WORK_MS);
    });
  });
  server.listen(RUNNER_PORT, ip);
  await events.default.once(server, "listening");
  return ran;
}

/** Sends one ordinary request after the other to a machine, on one kept connection. */
async function runCaller(
  record: records.CaseRecord,
  gateway: fleets.Gateway,
  requests: OrdinaryRequest[],
  state: { readonly isOpen: boolean },
): Promise<void> {
  const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
  let answered: net.Socket | undefined;
  while (state.isOpen) {
    const id = crypto.randomBytes(8).toString("hex");
    const request: OrdinaryRequest = {
      id,
      gateway: gateway.name,
      isKept: false,
      sentAt: record.now(),
      status: undefined,
      endedAt: undefined,
    };
    requests.push(request);
    const { status, socket } = await sendOrdinary(agent, gateway.ip, id);
    request.isKept = socket !== undefined && socket === answered;
    request.status = status;
    request.endedAt = record.now();
    answered = status === undefined ? undefined : socket;
    await records.sleep(status === undefined ? RESTART_MS / 2 : 1);
  }
  agent.destroy();
}

function sendOrdinary(
  agent: http.Agent,
  hostname: string,
  id: string,
): Promise<{ status: number | undefined; socket: net.Socket | undefined }> {
  const headers = {
    host: HOST,
    "request-id": id,
    "deadline-ms": String(DEADLINE_MS),
    "content-length": "8",
  };
  const target = { hostname, port: fleets.PORTS.front, method: "POST", path: "/register/r" };
  return new Promise((resolve) => {
    let socket: net.Socket | undefined;
    const request = http.request({ ...target, headers, agent }, (response) => {
      response.resume();
      response.on("error", () => undefined);
      response.once("close", () => {
        resolve({ status: response.complete ? response.statusCode : undefined, socket });
      });
    });
    request.once("socket", (used) => {
      socket = used;
    });
    request.once("error", () => {
      resolve({ status: undefined, socket });
    });
    request.end("receiver");
  });
}

/** Opens the connections of the crowd to a machine and leaves them open; opens them anew when all were closed. */
async function keepCrowd(
  record: records.CaseRecord,
  { size, run }: CrowdCase,
  ip: string,
  state: { readonly isOpen: boolean },
): Promise<void> {
  while (state.isOpen) {
    record.write(`${size} connections of the crowd to ${ip}`);
    const sockets = Array.from({ length: size }, () => net.connect(fleets.PORTS.front, ip));
    const closings = sockets.map((socket) => {
      socket.on("error", () => undefined);
      socket.resume();
      return events.default.once(socket, "close").catch(() => undefined);
    });
    for (const socket of sockets) void run(socket, HOST).catch(() => undefined);
    await Promise.all(closings);
    await records.sleep(RETURN_MS);
  }
}

/** Runs a case with a crowd, and exits with its verdict. */
export async function runCrowdCase(crowd: CrowdCase): Promise<never> {
  const record = new records.CaseRecord(crowd.recordPath);
  return await records.runCase(record, LIMIT_MS, () => runOnce(record, crowd));
}

async function runOnce(record: records.CaseRecord, crowd: CrowdCase): Promise<records.Verdict> {
  const platform = new store.StoreStandIn();
  await platform.start();
  platform.set("op/config", createConfiguration());
  const network = await fleets.chooseNetwork(MACHINES.map((_, index) => index + 1));
  const runnerIp = `${network}.101`;
  const ran = await startRunner(runnerIp);
  platform.set("servers/i-corr-1", {
    service: SERVICE,
    address: `${runnerIp}:${RUNNER_PORT}`,
    zone: "ikeja",
    version: "v1",
    slots: 64,
    state: "ready",
    cold_remaining_ms: 0,
    sequence: 1,
    born: Date.now(),
  });
  const fleet = new fleets.Fleet({ record, getStoreAddress: () => platform.address });
  const formatIp = (index: number): string => `${network}.${index + 1}`;
  const seeds = MACHINES.map((_, index) => `${formatIp(index)}:${fleets.PORTS.control}`);
  const gateways = MACHINES.map((name, index) => fleet.add(name, formatIp(index), { seeds }));
  await Promise.all(gateways.map((gateway) => fleet.waitForReady(gateway)));

  const state = { isOpen: true };
  const ends = new Map<string, number>();
  for (const gateway of gateways) void restartWhenEnded(record, fleet, gateway, state, ends);
  void watchMemory(record, gateways, state);
  const requests: OrdinaryRequest[] = [];
  for (const gateway of gateways)
    for (let count = 0; count < CALLERS_PER_MACHINE; count += 1)
      void runCaller(record, gateway, requests, state);
  await records.sleep(WARM_UP_MS);
  if (records.HAS_TROUBLE)
    for (let index = 0; index < CROWDED; index += 1)
      void keepCrowd(record, crowd, formatIp(index), state);
  await records.sleep(CROWD_MS);
  state.isOpen = false;
  await records.sleep(DEADLINE_MS);
  await fleet.close();

  const served = requests.filter(({ status }) => status === 200).length;
  record.write(`${requests.length} ordinary requests, ${served} served`);
  let isBroken = false;
  for (const { name } of gateways) {
    const own = requests.filter(({ gateway }) => gateway === name);
    const closed = own.filter(({ status }) => status === undefined);
    const lost = closed.filter(({ id, isKept }) => isKept && ran.has(id));
    const overdue = own.filter((request) => isOverdue(record, request, 0));
    const late = overdue.filter((request) => isOverdue(record, request, LATE_SLACK_MS));
    if (lost.length > MAX_LOST) isBroken = true;
    if (late.length >= MIN_LATE && late.length * 2 > overdue.length) isBroken = true;
    record.write(
      `${name}: ended by itself ${ends.get(name) ?? 0} times; ${own.length} ordinary requests, ${closed.length} closed without an ` +
        `answer, ${lost.length} of them from kept connections and run; ${overdue.length} unanswered at the time limit, ` +
        `${late.length} of them ${LATE_SLACK_MS} ms later`,
    );
  }
  if (served === 0) return records.VERDICT.notRun;
  const ending = [...ends.values()].filter((count) => count >= MAX_ENDS);
  if (ending.length >= MAX_ENDING_MACHINES) isBroken = true;
  return isBroken ? records.VERDICT.broken : records.VERDICT.held;
}

/** Whether a request had no answer some time after the time limit of its route. */
function isOverdue(record: records.CaseRecord, request: OrdinaryRequest, slackMs: number): boolean {
  const isWaiting = (request.endedAt ?? record.now()) - request.sentAt > DEADLINE_MS + slackMs;
  const wasWaiting = (request.endedAt ?? record.now()) - request.sentAt > DEADLINE_MS;
  return isWaiting || (wasWaiting && request.status === undefined);
}

/** Ends the processes that exceed the memory of their machine, as the platform does, and records the largest size of each. */
async function watchMemory(
  record: records.CaseRecord,
  gateways: readonly fleets.Gateway[],
  state: { readonly isOpen: boolean },
): Promise<void> {
  const peaks = new Map<string, number>();
  while (state.isOpen) {
    for (const { name, process } of gateways) {
      const size = readMemory(process.pid);
      peaks.set(name, Math.max(peaks.get(name) ?? 0, size));
      if (size <= MEMORY_MB) continue;
      record.write(`${name} exceeds its memory with ${Math.round(size)} MB`);
      process.sendSignal("SIGKILL");
    }
    await records.sleep(MEMORY_POLL_MS);
  }
  for (const [name, size] of peaks) record.write(`${name}: at most ${Math.round(size)} MB`);
}

/** Returns the resident memory of a process in MB. */
function readMemory(pid: number | undefined): number {
  try {
    const status = fs.readFileSync(`/proc/${String(pid)}/status`, "utf8");
    return Number(/VmRSS:\s+(?<size>\d+)/.exec(status)?.groups?.size ?? 0) / KB_PER_MB;
  } catch {
    return 0;
  }
}

/** Starts the process of a gateway again each time that it has ended by itself. */
async function restartWhenEnded(
  record: records.CaseRecord,
  fleet: fleets.Fleet,
  gateway: fleets.Gateway,
  state: { readonly isOpen: boolean },
  ends: Map<string, number>,
): Promise<void> {
  for (;;) {
    await gateway.process.exited;
    if (state.isOpen) {
      ends.set(gateway.name, (ends.get(gateway.name) ?? 0) + 1);
      const reason = gateway.process.lines.find((line) => line.includes(HEAP_TEXT));
      record.write(`${gateway.name} ended by itself: ${reason ?? "no reason in its log"}`);
    }
    await records.sleep(RESTART_MS);
    if (!state.isOpen) return;
    fleet.restart(gateway);
  }
}
