/**
 * A VM that stood still finds the requests and the closes of callers that have left side by side. Requests of callers that
 * are gone must not reach runners then.
 */
import * as net from "node:net";
import * as test from "node:test";
import * as timers from "node:timers/promises";
import * as earl from "earl";
import * as soakCluster from "../../standins/soak/soak-cluster.js";
import * as examples from "../../standins/users-platform/examples.js";

const SIZE = { gateways: 1, prefill: 0, decode: 0, plain: 1 };
const MODEL_SIZE = { gateways: 2, prefill: 1, decode: 1, plain: 0 };
const CALLERS = 20;
/** Time that a caller of a model waits before it leaves, less than the time after which a VM places without the scheduler. */
const LEAVE_AFTER_MS = 100;
const LONG_STALL_MS = 1_200;
/** Time after its caller left in which a request may still reach a runner. */
const ALLOWED_LATE_MS = 500;
/** Callers leave within this time, while the gateway stands still. */
const STALL_MS = 300;
/** Time in which requests would have reached the runner. */
const SETTLE_MS = 1_000;

const PART_BYTES = 200;
const BODY_PARTS = 3;
/** A caller that stays, whose request has to reach a runner. */
const STAYING = "stays";

function formatHead(method: string, path: string, id: string, fields: readonly string[]): string {
  const head = [`${method} ${path} HTTP/1.1`, "host: api.example", `request-id: ${id}`];
  return [...head, "deadline-ms: 5000", ...fields, "", ""].join("\r\n");
}

/** The parts of a request without a body. */
function formatRequest(id: string): readonly string[] {
  return [formatHead("GET", "/status/x", id, [])];
}

/** The parts of a request whose body comes in chunks. */
function formatChunkedRequest(id: string): readonly string[] {
  const chunk = `${PART_BYTES.toString(16)}\r\n${"x".repeat(PART_BYTES)}\r\n`;
  const chunks = Array.from({ length: BODY_PARTS }, () => chunk);
  const head = formatHead("POST", "/status/x", id, ["transfer-encoding: chunked"]);
  return [head, ...chunks, "0\r\n\r\n"];
}

/** The parts of a request to a model. */
function formatPrompt(id: string): readonly string[] {
  const fields = ["model: m", "token-count: 100,800", `prompt-prefix: ${id}:100`];
  return [formatHead("POST", "/notes/x", id, [...fields, "content-length: 0"])];
}

/** Sends a request in parts and leaves. */
async function sendAndLeave(
  ip: string,
  parts: readonly string[],
  hasReset: boolean,
  waitMs = 0,
): Promise<void> {
  const socket = net.connect({ host: ip, port: examples.PORTS.front });
  socket.on("error", () => undefined);
  await new Promise((resolve) => socket.once("connect", resolve));
  for (const part of parts) await new Promise((resolve) => socket.write(part, resolve));
  await timers.setTimeout(waitMs);
  if (hasReset) socket.resetAndDestroy();
  else socket.end();
}

/** Stalls the only gateway of a cluster while callers send and leave; returns the ids that reached the runner. */
async function playStall(format: (id: string) => readonly string[]): Promise<readonly string[]> {
  await using cluster = await soakCluster.SoakCluster.start(SIZE);
  const [gateway] = cluster.gateways;
  if (gateway === undefined) throw new Error("no gateway was started");
  await cluster.waitForReady(gateway);
  await timers.setTimeout(SETTLE_MS);
  gateway.process.sendSignal("SIGSTOP");
  const ids = Array.from({ length: CALLERS }, (_, number) => `left-${number}`);
  await Promise.all(ids.map((id, index) => sendAndLeave(gateway.ip, format(id), index % 2 === 1)));
  await timers.setTimeout(STALL_MS);
  gateway.process.sendSignal("SIGCONT");
  await sendAndLeave(gateway.ip, format(STAYING), false, SETTLE_MS);
  earl.expect(cluster.arrivals.some(({ call }) => call === STAYING)).toEqual(true);
  return cluster.arrivals.map(({ call }) => call).filter((call) => ids.includes(call));
}

test.describe("gateway after a stall", () => {
  test.it("sends no request of a caller that left meanwhile to a runner", async () => {
    earl.expect(await playStall(formatRequest)).toEqual([]);
  });

  test.it("sends no request whose body came in parts of a caller that left meanwhile", async () => {
    earl.expect(await playStall(formatChunkedRequest)).toEqual([]);
  });

  // The gateway that is stalled is the scheduler of the model in one of the two plays.
  for (const stalled of [0, 1])
    test.it(
      `starts no prompt of a caller that left while gateway ${stalled} stood still`,
      async () => {
        await using cluster = await soakCluster.SoakCluster.start(MODEL_SIZE);
        for (const gateway of cluster.gateways) await cluster.waitForReady(gateway);
        const other = cluster.gateways[1 - stalled];
        await timers.setTimeout(SETTLE_MS);
        cluster.gateways[stalled]?.process.sendSignal("SIGSTOP");
        const ids = Array.from({ length: CALLERS }, (_, number) => `left-${number}`);
        await Promise.all(
          ids.map((id, index) =>
            sendAndLeave(other?.ip ?? "", formatPrompt(id), index % 2 === 1, LEAVE_AFTER_MS),
          ),
        );
        const leftAt = performance.now();
        await timers.setTimeout(LONG_STALL_MS);
        cluster.gateways[stalled]?.process.sendSignal("SIGCONT");
        await timers.setTimeout(SETTLE_MS);
        const late = cluster.arrivals.filter(({ at }) => at > leftAt + ALLOWED_LATE_MS);
        earl.expect(late.map(({ call }) => call).filter((call) => ids.includes(call))).toEqual([]);
      },
    );
});
