/**
 * A VM that stood still finds the requests and the closes of callers that have left side by side. Requests of callers that
 * are gone must not reach runners then.
 */
import * as http from "node:http";
import * as net from "node:net";
import * as test from "node:test";
import * as timers from "node:timers/promises";
import * as earl from "earl";
import * as soakCluster from "../../standins/soak/soak-cluster.js";
import * as examples from "../../standins/users-platform/examples.js";

const SIZE = { gateways: 1, prefill: 0, decode: 0, plain: 1 };
const CALLERS = 20;
/** Callers leave within this time, while the gateway stands still. */
const STALL_MS = 300;
/** Time in which requests would have reached the runner. */
const SETTLE_MS = 1_000;

function formatRequest(id: string): string {
  const head = ["GET /status/x HTTP/1.1", "host: api.example", `request-id: ${id}`];
  return [...head, "deadline-ms: 5000", "", ""].join("\r\n");
}

/** Sends a request and leaves. */
async function sendAndLeave(ip: string, id: string, hasReset: boolean): Promise<void> {
  const socket = net.connect({ host: ip, port: examples.PORTS.front });
  socket.on("error", () => undefined);
  await new Promise((resolve) => socket.once("connect", resolve));
  await new Promise((resolve) => socket.write(formatRequest(id), resolve));
  if (hasReset) socket.resetAndDestroy();
  else socket.end();
}

test.describe("gateway after a stall", () => {
  test.it("sends no request of a caller that left meanwhile to a runner", async () => {
    await using cluster = await soakCluster.SoakCluster.start(SIZE);
    const [gateway] = cluster.gateways;
    if (gateway === undefined) throw new Error("no gateway was started");
    await cluster.waitForReady(gateway);
    const headers = { host: "api.example", "request-id": "warm-up" };
    const target = { host: gateway.ip, port: examples.PORTS.front, path: "/status/x" };
    http.get({ ...target, headers, agent: false }, (response) => response.resume());
    await timers.setTimeout(SETTLE_MS);
    gateway.process.sendSignal("SIGSTOP");
    const ids = Array.from({ length: CALLERS }, (_, number) => `left-${number}`);
    await Promise.all(ids.map((id, index) => sendAndLeave(gateway.ip, id, index % 2 === 1)));
    await timers.setTimeout(STALL_MS);
    gateway.process.sendSignal("SIGCONT");
    await timers.setTimeout(SETTLE_MS);
    earl.expect(cluster.arrivals.some(({ call }) => call === "warm-up")).toEqual(true);
    const arrived = cluster.arrivals.map(({ call }) => call).filter((call) => ids.includes(call));
    earl.expect(arrived).toEqual([]);
  });
});
