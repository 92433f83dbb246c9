/**
 * Measures the overhead of the router compared with calling the runners directly, in the same run:
 * time to first token. Also measures requests and tokens per second of a node's CPU time, memory
 * per live stream and per idle caller connection, and the CPU time and memory of an idle node.
 * Prints one JSON line per measure.
 */
import * as fs from "node:fs/promises";
import * as net from "node:net";
import * as path from "node:path";
import * as url from "node:url";
import * as hdr from "hdr-histogram-js";
import * as clocks from "../src/kernel/clock.js";
import * as container from "../src/kernel/container.js";
import * as documents from "../src/settings/document.js";
import * as engineClient from "../src/upstream/engine-client.js";
import * as processFleet from "../standins/process-fleet.js";

const HOST = "127.0.0.1";
const CALLER = "surveyors";
const SAMPLE_COUNT = 150;
const WARM_UP_SAMPLE_COUNT = 30;
const LIVE_STREAM_COUNT = 54;
const STREAM_TOKENS = 400;
const SHORT_REQUEST_COUNT = 600;
const SHORT_TOKENS = 1;
const CONCURRENCY = 30;
const IDLE_CALLER_COUNT = 1_000;
const STEP_MS = 10;
/**
 * Time from sending the streams until their memory is measured; an idle node is measured for ten
 * times that.
 */
const SETTLE_MS = 1_000;
/** Clock ticks per second in `/proc/<pid>/stat` on Linux. */
const TICKS_PER_SECOND = 100;
const PAGE_BYTES = 4_096;
const MICROSECONDS_PER_MS = 1_000;
const DIST_DIRECTORY = path.resolve(path.dirname(url.fileURLToPath(import.meta.url)), "..");

/** CPU time used so far and resident memory of a process. */
interface ResourceUsage {
  readonly cpuSeconds: number;
  readonly residentBytes: number;
}

/** Sends a prompt and returns the time to its first token in milliseconds. */
type MeasureFirstToken = (prompt: string) => Promise<number>;

async function readResourceUsage(pid: number): Promise<ResourceUsage> {
  const text = await fs.readFile(`/proc/${pid}/stat`, "utf8");
  const fields = text.slice(text.lastIndexOf(")") + 2).split(" ");
  const [userTicks, systemTicks, pages] = [fields[11], fields[12], fields[21]].map(Number);
  return {
    cpuSeconds: ((userTicks ?? 0) + (systemTicks ?? 0)) / TICKS_PER_SECOND,
    residentBytes: (pages ?? 0) * PAGE_BYTES,
  };
}

function sleep(delayMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, delayMs));
}

function printMeasure(measure: string, values: Readonly<Record<string, number>>): void {
  process.stdout.write(`${JSON.stringify({ measure, ...values })}\n`);
}

/**
 * Sends a streaming request to a node and reads the whole stream; returns the time to first token.
 */
async function sendToNode(
  fleet: processFleet.ProcessFleet,
  prompt: string,
  maxTokens: number,
): Promise<number> {
  const startedAt = performance.now();
  const port = fleet.nodeAddresses[0]?.callerPort ?? 0;
  const response = await fetch(`http://${HOST}:${port}/v1/completions`, {
    method: "POST",
    headers: { authorization: `Bearer demo-${CALLER}`, "content-type": "application/json" },
    body: JSON.stringify({ model: "iono-llm", prompt, max_tokens: maxTokens, stream: true }),
  });
  if (!response.ok || response.body === null)
    throw new Error(`HTTP status ${response.status}: ${await response.text()}`);
  let firstAt: number | undefined;
  for await (const chunk of response.body as unknown as AsyncIterable<Uint8Array>) {
    if (chunk.byteLength > 0) firstAt ??= performance.now();
  }
  return (firstAt ?? Infinity) - startedAt;
}

/** Creates a sender that calls the first two runners, prefill and decode, without the router. */
function createDirectSender(fleet: processFleet.ProcessFleet): MeasureFirstToken {
  const kernel = container.createKernel();
  kernel.register("clock", () => clocks.createSystemClock());
  const client = engineClient.createEngineClient(kernel);
  const [prefill, decode] = fleet.document.runners;
  if (prefill === undefined || decode === undefined)
    throw new Error(`two runners are needed: got ${fleet.document.runners.length}`);
  const signal = new AbortController().signal;
  let number = 0;
  return async (prompt) => {
    const startedAt = performance.now();
    const shared = { id: `straight-${number++}`, attempt: 1, model: "iono-llm", priority: 1 };
    const order = { ...shared, prompt, continuation: "", deadlineMs: 10_000 };
    const result = await client.prefill(prefill, order, signal);
    const command = { ...shared, source: prefill, handle: result.handle, offset: 0, maxTokens: 4 };
    let firstAt: number | undefined;
    for await (const event of client.decode(decode, { ...command, deadlineMs: 10_000 }, signal)) {
      if (event.type === "token") firstAt ??= performance.now();
    }
    return (firstAt ?? Infinity) - startedAt;
  };
}

async function measureFirstToken(fleet: processFleet.ProcessFleet): Promise<void> {
  const senders: Readonly<Record<string, MeasureFirstToken>> = {
    straight: createDirectSender(fleet),
    routed: (prompt) => sendToNode(fleet, prompt, 4),
  };
  const histograms = new Map(Object.keys(senders).map((name) => [name, hdr.build()]));
  for (let sample = -WARM_UP_SAMPLE_COUNT; sample < SAMPLE_COUNT; sample += 1) {
    for (const [name, send] of Object.entries(senders)) {
      const elapsedMs = await send(`sample ${name} ${sample} #tokens=4`);
      if (sample >= 0) histograms.get(name)?.recordValue(elapsedMs * MICROSECONDS_PER_MS);
    }
  }
  const values = Object.fromEntries(
    [...histograms].flatMap(([name, histogram]) =>
      [50, 99].map((quantile) => [
        `${name}P${quantile}Ms`,
        histogram.getValueAtPercentile(quantile) / MICROSECONDS_PER_MS,
      ]),
    ),
  ) as Record<string, number>;
  const computeAddedMs = (quantile: number): number =>
    (values[`routedP${quantile}Ms`] ?? 0) - (values[`straightP${quantile}Ms`] ?? 0);
  printMeasure("first-token", {
    ...values,
    addedP50Ms: computeAddedMs(50),
    addedP99Ms: computeAddedMs(99),
  });
}

async function measureTokens(fleet: processFleet.ProcessFleet, pid: number): Promise<void> {
  const before = await readResourceUsage(pid);
  const streams = Array.from({ length: LIVE_STREAM_COUNT }, (_, index) =>
    sendToNode(fleet, `stream ${index} #tokens=${STREAM_TOKENS}`, STREAM_TOKENS),
  );
  await sleep(SETTLE_MS);
  const live = await readResourceUsage(pid);
  await Promise.all(streams);
  const after = await readResourceUsage(pid);
  const cpuSeconds = after.cpuSeconds - before.cpuSeconds;
  printMeasure("streams", {
    tokensPerCpuSecond: Math.round((LIVE_STREAM_COUNT * STREAM_TOKENS) / cpuSeconds),
    residentBytesPerLiveStream: Math.round(
      (live.residentBytes - before.residentBytes) / LIVE_STREAM_COUNT,
    ),
  });
}

async function measureRequests(fleet: processFleet.ProcessFleet, pid: number): Promise<void> {
  const before = await readResourceUsage(pid);
  let number = 0;
  const sendSequentially = async (): Promise<void> => {
    while (number < SHORT_REQUEST_COUNT) {
      number += 1;
      await sendToNode(fleet, `short ${number} #tokens=${SHORT_TOKENS}`, SHORT_TOKENS);
    }
  };
  await Promise.all(Array.from({ length: CONCURRENCY }, sendSequentially));
  const after = await readResourceUsage(pid);
  const cpuSeconds = after.cpuSeconds - before.cpuSeconds;
  printMeasure("requests", {
    requestsPerCpuSecond: Math.round(SHORT_REQUEST_COUNT / cpuSeconds),
    cpuMsPerRequest: (cpuSeconds * 1000) / SHORT_REQUEST_COUNT,
  });
}

async function measureIdleCallers(fleet: processFleet.ProcessFleet, pid: number): Promise<void> {
  const before = await readResourceUsage(pid);
  const port = fleet.nodeAddresses[0]?.callerPort ?? 0;
  const sockets = await Promise.all(
    Array.from({ length: IDLE_CALLER_COUNT }, async () => {
      const socket = net.connect(port, HOST);
      socket.on("error", () => undefined);
      await new Promise((resolve) => socket.once("connect", resolve));
      socket.write("GET /healthz HTTP/1.1\r\nhost: node\r\n\r\n");
      await new Promise((resolve) => socket.once("data", resolve));
      return socket;
    }),
  );
  const after = await readResourceUsage(pid);
  for (const socket of sockets) socket.destroy();
  printMeasure("idle-callers", {
    residentBytesPerIdleCaller: Math.round(
      (after.residentBytes - before.residentBytes) / IDLE_CALLER_COUNT,
    ),
  });
}

async function measureIdleNode(pid: number): Promise<void> {
  const before = await readResourceUsage(pid);
  await sleep(10 * SETTLE_MS);
  const after = await readResourceUsage(pid);
  printMeasure("quiet-node", {
    cpuShare: (after.cpuSeconds - before.cpuSeconds) / 10,
    residentBytes: after.residentBytes,
  });
}

const example = path.resolve(DIST_DIRECTORY, "../examples/lagos.json");
const validation = documents.validateDocument(JSON.parse(await fs.readFile(example, "utf8")));
if (!validation.ok)
  throw new Error(`${example} is not valid: ${JSON.stringify(validation.faults)}`);
const runners = validation.document.runners.map((runner) => ({ ...runner, stepMs: STEP_MS }));
await using fleet = await processFleet.ProcessFleet.start({
  document: { ...validation.document, runners },
  nodes: 4,
  codeDirectory: DIST_DIRECTORY,
});
const { pid } = fleet.getProcess(fleet.nodeAddresses[0]?.vm ?? "");
await measureIdleNode(pid);
await measureFirstToken(fleet);
await measureTokens(fleet, pid);
await measureRequests(fleet, pid);
await measureIdleCallers(fleet, pid);
