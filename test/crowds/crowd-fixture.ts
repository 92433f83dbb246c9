/** A gateway in a process of its own that a crowd of clients uses without regard for anybody else. */
import * as events from "node:events";
import * as fs from "node:fs/promises";
import * as net from "node:net";
import * as crashing from "../../standins/users-platform/crashing-runner.js";
import * as examples from "../../standins/users-platform/examples.js";
import * as failing from "../../standins/users-platform/failing-runner.js";
import * as store from "../../standins/users-platform/store.js";
import * as deployed from "../gateway/deployed-gateway.js";
import * as fixture from "../gateway/gateway-fixture.js";

/** Flags of `deploy/system.toml` with less heap, so that a small crowd is enough. */
const NODE_FLAGS = ["--max-old-space-size=48", "--max-semi-space-size=4"] as const;
/** Time for which a crowd stays. */
const CROWD_MS = 8_000;
const MEMORY_POLL_MS = 50;
const ANSWER_ATTEMPTS = 20;
const ANSWER_DEADLINE_MS = 5_000;
const HTTP_OK = 200;

/** Memory and descriptors of the machine. */
export const MEMORY_MB = 178;
export const MAX_DESCRIPTORS = 1_000;
/** Limits of the configuration. */
const LIMITS = {
  max_header_bytes: 16_384,
  max_body_bytes: 4_194_304,
  header_timeout_ms: 3_000,
  idle_timeout_ms: 15_000,
} as const;

/** What one client of a crowd does with its connection. */
export type CrowdMember = (socket: net.Socket, index: number) => Promise<void>;

/** A crowd and how many connections it has. */
export interface Crowd {
  /** Second byte of the gateway's loopback address. */
  readonly net: number;
  readonly connections: number;
  readonly run: CrowdMember;
  /** Whether clients whose connections were closed open new ones. */
  readonly returns?: boolean;
}

/** What is known of the process afterwards. */
export interface CrowdResult {
  readonly isRunning: boolean;
  readonly fitsMemory: boolean;
  readonly fitsDescriptors: boolean;
  readonly answersAfterwards: boolean;
  readonly peakMb: number;
  readonly peakDescriptors: number;
  /** Last lines of the output of a process that has ended. */
  readonly output: string;
}

/** Returns the head of a chunked request. */
export function formatChunkedHead(id: string, lines: readonly string[] = []): string {
  const head = [
    "POST /book/x HTTP/1.1",
    "Host: api.example",
    `Request-Id: ${id}`,
    "Deadline-Ms: 3000",
    "Transfer-Encoding: chunked",
    ...lines,
  ];
  return `${head.join("\r\n")}\r\n\r\n`;
}

/** Sends bytes, and waits while the peer does not read them. */
export async function sendBytes(socket: net.Socket, bytes: string): Promise<void> {
  if (socket.destroyed) throw new Error("connection closed");
  if (socket.write(bytes)) return;
  await Promise.race([events.default.once(socket, "drain"), events.default.once(socket, "close")]);
}

/** Plays a crowd against a gateway that starts for it. */
export async function playCrowd(crowd: Crowd): Promise<CrowdResult> {
  await using platform = new store.StoreStandIn();
  await platform.start();
  platform.set("op/config", { ...examples.createConfiguration(7), limits: LIMITS });
  const behaviour = { failure: failing.FAILURE.none, every: 1 };
  await using runner = new failing.FailingRunner("r-1", crashing.RUNNER_ROLE.plain, behaviour, []);
  await runner.start(platform);
  const settings = { platform: platform.address, memoryMb: MEMORY_MB, maxFds: MAX_DESCRIPTORS };
  await using gateway = await deployed.DeployedGateway.start(crowd.net, settings, NODE_FLAGS);
  return await runCrowd(crowd, gateway);
}

async function runCrowd(
  { connections, run, returns = false }: Crowd,
  gateway: deployed.DeployedGateway,
): Promise<CrowdResult> {
  const { ip, process: child } = gateway;
  const state = { isRunning: true, isOver: false, peakDescriptors: 0 };
  void child.exited.then(() => {
    state.isRunning = false;
  });
  const sockets = new Set<net.Socket>();
  const keepMember = async (index: number): Promise<void> => {
    do {
      const socket = net.connect(examples.PORTS.front, ip);
      sockets.add(socket);
      socket.on("error", () => undefined);
      const closed = new Promise((resolve) => socket.once("close", resolve));
      await run(socket, index).catch(() => undefined);
      await closed;
      sockets.delete(socket);
    } while (returns && !state.isOver && state.isRunning);
  };
  const watched = watchDescriptors(child.pid, state);
  const members = Array.from({ length: connections }, (_, index) => keepMember(index));
  await Promise.race([sleep(CROWD_MS), child.exited]);
  state.isOver = true;
  // The process may end at any moment.
  const peakMb = await gateway.readStatusMb("VmHWM").catch(() => Infinity);
  for (const socket of sockets) socket.destroy();
  await Promise.all(members);
  await watched;
  const answersAfterwards = await isAnswered(ip);
  return {
    isRunning: state.isRunning,
    fitsMemory: peakMb <= MEMORY_MB,
    fitsDescriptors: state.peakDescriptors <= MAX_DESCRIPTORS,
    answersAfterwards,
    peakMb: Math.round(peakMb),
    peakDescriptors: state.peakDescriptors,
    output: state.isRunning ? "" : findReason(child.lines),
  };
}

/** Returns the line in which Node.js says why it ended. */
function findReason(lines: readonly string[]): string {
  return lines.find((line) => line.includes("FATAL ERROR")) ?? lines.slice(-3).join("\n");
}

async function watchDescriptors(
  pid: number,
  state: { readonly isOver: boolean; readonly isRunning: boolean; peakDescriptors: number },
): Promise<void> {
  while (!state.isOver && state.isRunning) {
    const names = await fs.readdir(`/proc/${pid}/fd`).catch(() => []);
    state.peakDescriptors = Math.max(state.peakDescriptors, names.length);
    await sleep(MEMORY_POLL_MS);
  }
}

/** Whether an ordinary request is answered, on one of several tries, as a caller would repeat it. */
async function isAnswered(ip: string): Promise<boolean> {
  for (let attempt = 0; attempt < ANSWER_ATTEMPTS; attempt += 1) {
    const headers = { "request-id": `ordinary-${attempt}` };
    const limit = AbortSignal.timeout(ANSWER_DEADLINE_MS);
    const answer = await fixture
      .send(ip, "/status/x", headers, "body", limit)
      .catch(() => undefined);
    if (answer?.status === HTTP_OK) return true;
    await sleep(500);
  }
  return false;
}

function sleep(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}
