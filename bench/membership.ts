/**
 * Measures the cost of membership and configuration per node in an idle fleet, and the time in
 * which a new configuration document reaches all nodes. All nodes run in one process and are
 * connected by loopback TCP. Prints one JSON line per fleet size.
 */
import * as net from "node:net";
import * as clocks from "../src/kernel/clock.js";
import * as container from "../src/kernel/container.js";
import * as random from "../src/kernel/random.js";
import * as membership from "../src/membership/membership.js";
import * as configuration from "../src/configuration/configuration.js";
import type * as network from "../src/protocol/network.js";
import * as peerNetwork from "../src/protocol/peer-network.js";
import * as tcpTransport from "../src/protocol/tcp-transport.js";
import * as documents from "../test/membership/documents.js";
import * as fakePlatform from "../test/membership/fake-platform.js";
import * as metrics from "../src/telemetry/metrics.js";

const FLEET_SIZES = [8, 16, 32, 64] as const;
const WARM_UP_MS = 15_000;
const MEASURED_MS = 20_000;
const PROPAGATION_TIMEOUT_MS = 20_000;
const ZONES = ["zone-a", "zone-b", "zone-c"] as const;
const FRAME_HEADER_BYTES = 4;

interface Traffic {
  frames: number;
  bytes: number;
  connections: number;
}

/** Transport that counts connections, frames and bytes sent, without TCP headers. */
class CountingTransport implements network.Transport {
  readonly #inner = tcpTransport.createTcpTransport();
  readonly #traffic: Traffic;

  constructor(traffic: Traffic) {
    this.#traffic = traffic;
  }

  async connect(address: network.PeerAddress, signal: AbortSignal): Promise<network.FrameChannel> {
    const channel = await this.#inner.connect(address, signal);
    this.#traffic.connections += 1;
    return this.#createCountingChannel(channel);
  }

  listen(
    address: network.PeerAddress,
    onChannel: (channel: network.FrameChannel) => void,
  ): Promise<AsyncDisposable> {
    return this.#inner.listen(address, (channel) => {
      onChannel(this.#createCountingChannel(channel));
    });
  }

  #createCountingChannel(channel: network.FrameChannel): network.FrameChannel {
    const traffic = this.#traffic;
    return {
      send: (frame) => {
        traffic.frames += 1;
        traffic.bytes += frame.byteLength + FRAME_HEADER_BYTES;
        channel.send(frame);
      },
      receive: () => channel.receive(),
      get bufferedBytes() {
        return channel.bufferedBytes;
      },
      [Symbol.asyncDispose]: () => Promise.resolve(channel[Symbol.asyncDispose]()),
    };
  }
}

/** A fleet under measurement. */
interface BenchFleet {
  readonly kernels: readonly container.Kernel[];
  readonly traffic: Traffic;
  readonly platform: fakePlatform.FakePlatform;
}

async function findFreePorts(count: number): Promise<number[]> {
  const servers = Array.from({ length: count }, () => net.createServer());
  const ports: number[] = [];
  for (const server of servers) {
    await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
    ports.push((server.address() as net.AddressInfo).port);
  }
  await Promise.all(servers.map((server) => new Promise((resolve) => server.close(resolve))));
  return ports;
}

function createBenchKernel(port: number, index: number, fleet: BenchFleet): container.Kernel {
  const kernel = container.createKernel();
  const vm = `vm-${index}`;
  const zone = ZONES[index % ZONES.length] ?? ZONES[0];
  const location = { vm, region: "region-1", zone, host: "127.0.0.1" };
  fleet.platform.addVm({ ...location, callerPort: 1, peerPort: port, state: "live" });
  kernel.register("settings", () => ({
    ...location,
    callerPort: 1,
    peerPort: port,
    platformUrl: "",
    fleetKeys: ["key-1"],
    adminToken: undefined,
    logFormat: "json",
    logLevel: "error",
    otlpUrl: undefined,
    drainLimitMs: 1000,
  }));
  kernel.register("clock", () => clocks.createSystemClock());
  kernel.register("random", () => random.createSeededRandom(index));
  kernel.register("log", () => ({ write: () => undefined }));
  kernel.register("metrics", () => metrics.createMetrics());
  kernel.register("transport", () => new CountingTransport(fleet.traffic));
  kernel.register("platform", () => fleet.platform.createClient(vm));
  kernel.register("network", (services) => peerNetwork.createPeerNetwork(services));
  kernel.register("membership", (services) => membership.createMembership(services));
  kernel.register("configuration", (services) => configuration.createConfiguration(services));
  return kernel;
}

async function startFleet(size: number): Promise<BenchFleet> {
  const kernels: container.Kernel[] = [];
  const platform = new fakePlatform.FakePlatform(clocks.createSystemClock());
  platform.publish(documents.createDocument(1));
  const fleet = { kernels, platform, traffic: { frames: 0, bytes: 0, connections: 0 } };
  const ports = await findFreePorts(size);
  ports.forEach((port, index) => kernels.push(createBenchKernel(port, index, fleet)));
  for (const kernel of kernels) await kernel.use("network").start();
  await Promise.all(kernels.map((kernel) => kernel.use("membership").start()));
  await Promise.all(kernels.map((kernel) => kernel.use("configuration").start()));
  return fleet;
}

/** Returns the time until every node has applied a newly published document; -1 on time-out. */
async function measurePropagationMs(fleet: BenchFleet): Promise<number> {
  const clock = clocks.createSystemClock();
  const start = clock.now();
  fleet.platform.publish(documents.createDocument(2));
  const isAppliedEverywhere = (): boolean =>
    fleet.kernels.every((kernel) => kernel.use("configuration").current?.revision === 2);
  while (!isAppliedEverywhere() && clock.now() - start < PROPAGATION_TIMEOUT_MS)
    await clocks.sleep(clock, 5);
  return isAppliedEverywhere() ? Math.round(clock.now() - start) : -1;
}

async function measureFleet(size: number): Promise<void> {
  const clock = clocks.createSystemClock();
  const fleet = await startFleet(size);
  await clocks.sleep(clock, WARM_UP_MS);
  const trafficBefore = { ...fleet.traffic };
  const countsBefore = { ...fleet.platform.counts };
  const cpuUsageBefore = process.cpuUsage();
  await clocks.sleep(clock, MEASURED_MS);
  const cpuUsage = process.cpuUsage(cpuUsageBefore);
  const computePerNodeSecond = (value: number): number =>
    Math.round((value / size / (MEASURED_MS / 1000)) * 10) / 10;
  const computePerMinute = (value: number): number => Math.round((value * 60_000) / MEASURED_MS);
  const alive = fleet.kernels.map((kernel) => kernel.use("membership").listAlive().length);
  const result = {
    nodes: size,
    fewestAliveSeen: Math.min(...alive),
    framesPerSecondPerNode: computePerNodeSecond(fleet.traffic.frames - trafficBefore.frames),
    bytesPerSecondPerNode: computePerNodeSecond(fleet.traffic.bytes - trafficBefore.bytes),
    newConnectionsPerSecondPerNode: computePerNodeSecond(
      fleet.traffic.connections - trafficBefore.connections,
    ),
    processorMsPerSecondPerNode: computePerNodeSecond((cpuUsage.user + cpuUsage.system) / 1000),
    configurationCallsPerMinute: computePerMinute(
      fleet.platform.counts.configuration - countsBefore.configuration,
    ),
    listCallsPerMinute: computePerMinute(fleet.platform.counts.list - countsBefore.list),
    spreadMs: await measurePropagationMs(fleet),
  };
  process.stdout.write(`${JSON.stringify(result)}\n`);
  await Promise.all(fleet.kernels.map((kernel) => kernel[Symbol.asyncDispose]()));
}

for (const size of FLEET_SIZES) await measureFleet(size);
