import * as fs from "node:fs/promises";
import * as test from "node:test";
import * as earl from "earl";
import * as world from "../../standins/soak/world.js";

const SIZE = { gateways: 1, prefill: 0, decode: 0, plain: 1 };
const POLL_MS = 2;
/** SIGHUP has number 1, which is the lowest bit of the mask. */
const SIGHUP_BIT = 1n;

/** Whether a process has a handler of SIGHUP, as the kernel lists it. */
async function hasHandler(pid: number): Promise<boolean> {
  const status = await fs.readFile(`/proc/${pid}/status`, "utf8").catch(() => "");
  const mask = /^SigCgt:\s*([0-9a-f]+)$/m.exec(status)?.[1] ?? "0";
  return (BigInt(`0x${mask}`) & SIGHUP_BIT) !== 0n;
}

test.describe("a gateway's process", () => {
  test.it("outlives a change of its settings that is told while it starts", async () => {
    await using target = await world.World.start(SIZE);
    const [gateway] = target.gateways;
    if (gateway === undefined) throw new Error("no gateway was started");
    gateway.process.send("SIGKILL");
    await target.restartGateway(gateway);
    while (!(await hasHandler(gateway.process.pid))) {
      await new Promise((resolve) => setTimeout(resolve, POLL_MS));
    }
    const hasStarted = gateway.process.lines.some((line) => line.includes('"event":1001'));
    earl.expect(hasStarted).toEqual(false);
    gateway.process.send("SIGHUP");
    await target.waitForReady(gateway);
  });
});
