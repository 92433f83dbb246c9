/** Service containers with only a peer network and its dependencies, for tests over loopback TCP. */
import * as net from "node:net";
import * as clocks from "../../src/kernel/clock.js";
import * as container from "../../src/kernel/container.js";
import * as random from "../../src/kernel/random.js";
import * as peerNetwork from "../../src/protocol/peer-network.js";
import * as tcpTransport from "../../src/protocol/tcp-transport.js";
import type * as network from "../../src/protocol/network.js";
import type * as nodeSettings from "../../src/settings/node-settings.js";
import type * as logEvents from "../../src/telemetry/log-events.js";
import * as inertMetrics from "../telemetry/inert-metrics.js";

/** A log event with its fields. */
export interface WrittenEvent {
  readonly event: logEvents.LogEvent;
  readonly fields: Readonly<Record<string, unknown>> | undefined;
}

/** A node that consists of a peer network only. */
export interface TestPeer extends AsyncDisposable {
  readonly vm: string;
  readonly address: network.PeerAddress;
  readonly network: network.PeerNetwork;
  readonly events: readonly WrittenEvent[];
}

/** Returns a loopback port that was free at the time of the call. */
export async function findFreePort(): Promise<number> {
  const server = net.createServer();
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as net.AddressInfo;
  await new Promise((resolve) => server.close(resolve));
  return port;
}

/** Returns settings of a node on loopback. */
export function createSettings(
  vm: string,
  peerPort: number,
  fleetKeys: readonly string[] = ["key-1"],
): nodeSettings.NodeSettings {
  return {
    vm,
    region: "region-1",
    zone: "zone-a",
    host: "127.0.0.1",
    callerPort: 1,
    peerPort,
    platformUrl: "http://127.0.0.1:1",
    fleetKeys,
    adminToken: undefined,
    logFormat: "json",
    logLevel: "error",
    otlpUrl: undefined,
    drainLimitMs: 1000,
  };
}

/** Starts a peer over loopback TCP. */
export async function startTestPeer(vm: string, fleetKeys?: readonly string[]): Promise<TestPeer> {
  const port = await findFreePort();
  const kernel = container.createKernel();
  const events: WrittenEvent[] = [];
  kernel.register("settings", () => createSettings(vm, port, fleetKeys));
  kernel.register("clock", () => clocks.createSystemClock());
  kernel.register("random", () => random.createSeededRandom(1));
  kernel.register("log", () => ({ write: (event, fields) => events.push({ event, fields }) }));
  kernel.register("metrics", inertMetrics.createInertMetrics);
  kernel.register("transport", () => tcpTransport.createTcpTransport());
  kernel.register("network", (services) => peerNetwork.createPeerNetwork(services));
  const peers = kernel.use("network");
  await peers.start();
  return {
    vm,
    address: { host: "127.0.0.1", port },
    network: peers,
    events,
    [Symbol.asyncDispose]: () => Promise.resolve(kernel[Symbol.asyncDispose]()),
  };
}
