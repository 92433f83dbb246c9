import * as fs from "node:fs/promises";
import * as test from "node:test";
import * as earl from "earl";
import * as soakCluster from "../../standins/soak/soak-cluster.js";
import * as examples from "../../standins/users-platform/examples.js";
import * as fixture from "../gateway/gateway-fixture.js";
import * as raw from "../runners/raw-runner.js";

const SIZE = { gateways: 1, prefill: 0, decode: 0, plain: 1 };
const POLL_INTERVAL_MS = 2;
const RUN_MS = 1_500;
const SETTLE_MS = 1_500;
const SIGNAL_PERIOD_MS = 300;
/** SIGHUP is signal 1, hence the lowest bit of the mask. */
const SIGHUP_BIT = 1n;

/** Whether a process has a SIGHUP handler, according to the mask of caught signals in `/proc`. */
async function hasSighupHandler(pid: number): Promise<boolean> {
  const status = await fs.readFile(`/proc/${pid}/status`, "utf8").catch(() => "");
  const mask = /^SigCgt:\s*([0-9a-f]+)$/m.exec(status)?.[1] ?? "0";
  return (BigInt(`0x${mask}`) & SIGHUP_BIT) !== 0n;
}

test.describe("gateway process", () => {
  // Without a handler SIGHUP terminates the process, so the handler must be installed before the
  // gateway has finished its start.
  test.it("survives a SIGHUP that arrives during startup", async () => {
    await using cluster = await soakCluster.SoakCluster.start(SIZE);
    const [gateway] = cluster.gateways;
    if (gateway === undefined) throw new Error("no gateway was started");
    gateway.process.sendSignal("SIGKILL");
    await cluster.restartGateway(gateway);
    while (!(await hasSighupHandler(gateway.process.pid))) {
      await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS));
    }
    const hasStarted = gateway.process.lines.some((line) => line.includes('"event":1001'));
    earl.expect(hasStarted).toEqual(false);
    gateway.process.sendSignal("SIGHUP");
    await cluster.waitForReady(gateway);
  });

  // The handler was removed by the first signal, and the second one ended the process and all calls in progress.
  test.it("answers its calls when SIGTERM comes twice", async () => {
    await using cluster = await soakCluster.SoakCluster.start({ ...SIZE, plain: 0 });
    const [gateway] = cluster.gateways;
    if (gateway === undefined) throw new Error("no gateway was started");
    await using runner = await raw.startRawRunner("slow", (socket, _count, head) => {
      const id = /request-id: (\w+)/i.exec(head)?.[1] ?? "";
      setTimeout(() => socket.write(raw.formatResponse(id, "booked")), RUN_MS);
    });
    const entry = examples.createRunnerEntry(`127.0.0.1:${runner.runner.port}`);
    cluster.sendStoreCommand({ kind: "set", key: "servers/slow", value: entry });
    await new Promise((resolve) => setTimeout(resolve, SETTLE_MS));
    const call = fixture.send(gateway.ip, "/book/x", { "request-id": "b1", "deadline-ms": "5000" });
    for (const afterMs of [SIGNAL_PERIOD_MS, SIGNAL_PERIOD_MS, SIGNAL_PERIOD_MS]) {
      await new Promise((resolve) => setTimeout(resolve, afterMs));
      gateway.process.sendSignal("SIGTERM");
    }
    const { status, body } = await call;
    earl.expect([status, body]).toEqual([200, "booked"]);
    earl.expect(await gateway.process.exited).toEqual(0);
  });
});
