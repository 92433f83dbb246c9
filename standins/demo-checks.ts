/** Checks of the demo; each compares the router's answers with reports from the upstreams. */
import * as callerClient from "../src/client/caller-client.js";
import type * as results from "../src/client/results.js";
import * as expectedTokens from "./engine/expected-tokens.js";
import type * as processFleet from "./process-fleet.js";

const HOST = "127.0.0.1";
const MAX_TOKENS = 48;
const LOAD_REQUESTS = 60;
const FAULT_AFTER_REQUESTS = 20;
const RELEASE_TIMEOUT_MS = 3_000;
const POLL_INTERVAL_MS = 50;

/** An example deployment and the sample calls that are sent to it. */
export interface Deployment {
  readonly file: string;
  readonly modelCaller: string;
  readonly plainCaller: string;
  readonly service: string;
  readonly nonIdempotent: { readonly method: string; readonly path: string };
  readonly idempotent: { readonly method: string; readonly path: string };
  readonly prompt: string;
}

/** One check; `run` returns a description of the failure, or `undefined` if the check passes. */
export interface DemoCheck {
  readonly name: string;
  run(fleet: processFleet.ProcessFleet, deployment: Deployment): Promise<string | undefined>;
}

/** All checks in execution order; each leaves the fleet usable for the next. */
export const DEMO_CHECKS: readonly DemoCheck[] = [
  { name: "a streamed model answer is whole", run: checkStreamedAnswer },
  { name: "a whole model answer carries its usage", run: checkWholeAnswer },
  { name: "an idempotent plain call is answered", run: checkIdempotentCall },
  { name: "a non-idempotent call sent twice under one id runs once", run: checkRunsOnce },
  { name: "a caller that leaves frees the engines", run: checkCallerDisconnects },
  { name: "killing a node under load loses no repeatable request", run: checkKilledNode },
  { name: "draining a node cuts off nothing", run: checkDrainedNode },
];

/** Creates a client of the fleet that authenticates as `caller`. */
export function createClient(
  fleet: processFleet.ProcessFleet,
  caller: string,
): callerClient.CallerClient {
  const nodes = fleet.nodeAddresses.map((address) => ({ host: HOST, port: address.callerPort }));
  return new callerClient.CallerClient({ nodes, credential: `demo-${caller}` });
}

function createRequest(fleet: processFleet.ProcessFleet, prompt: string): results.ModelRequest {
  return { model: fleet.document.models[0]?.name ?? "", maxTokens: MAX_TOKENS, prompt };
}

/** Returns the text that the engines generate for a prompt. */
export function computeExpectedText(prompt: string): string {
  return expectedTokens.computeExpectedTokens(prompt, MAX_TOKENS).join("");
}

async function checkStreamedAnswer(
  fleet: processFleet.ProcessFleet,
  deployment: Deployment,
): Promise<string | undefined> {
  const client = createClient(fleet, deployment.modelCaller);
  const prompt = `${deployment.prompt}streamed`;
  for await (const event of client.streamModel(createRequest(fleet, prompt))) {
    if (event.type === "failed") return event.failure.message;
    if (event.type === "end") return compareText(event.answer.text, prompt);
  }
  return "no end";
}

async function checkWholeAnswer(
  fleet: processFleet.ProcessFleet,
  deployment: Deployment,
): Promise<string | undefined> {
  const prompt = `${deployment.prompt}whole`;
  const client = createClient(fleet, deployment.modelCaller);
  const answer = await client.sendModel(createRequest(fleet, prompt));
  if (!answer.ok) return answer.message;
  if (answer.usage.completionTokens === 0) return "no usage";
  return compareText(answer.text, prompt);
}

async function checkIdempotentCall(
  fleet: processFleet.ProcessFleet,
  deployment: Deployment,
): Promise<string | undefined> {
  const client = createClient(fleet, deployment.plainCaller);
  const { service, idempotent } = deployment;
  const answer = await client.callService({ service, ...idempotent, idempotent: true });
  return answer.ok && answer.status === 200 ? undefined : JSON.stringify(answer);
}

/** Sends one request id to two nodes at once with plain HTTP, since the client never does so. */
async function checkRunsOnce(
  fleet: processFleet.ProcessFleet,
  deployment: Deployment,
): Promise<string | undefined> {
  const authorization = `Bearer demo-${deployment.plainCaller}`;
  const [first, second] = fleet.nodeAddresses;
  if (first === undefined || second === undefined) return "two nodes are needed";
  const addressResponse = await fetch(`http://${HOST}:${first.callerPort}/v1/address`, {
    headers: { authorization },
  });
  const { session } = (await addressResponse.json()) as { session: string };
  const id = `${session}.1`;
  const { method, path } = deployment.nonIdempotent;
  const responses = await Promise.all(
    [first, second].map((address, index) =>
      fetch(`http://${HOST}:${address.callerPort}/services/${deployment.service}${path}`, {
        method,
        headers: { authorization, "idempotency-key": id, "x-attempt": String(index + 1) },
        body: "{}",
      }),
    ),
  );
  const executions = await countExecutions(fleet, deployment, id);
  if (executions !== 1) return `ran ${executions} times`;
  return responses.every((response) => response.ok)
    ? undefined
    : responses.map((response) => response.status).join(" ");
}

/** Returns how often the backends of the service executed a request id in total. */
export async function countExecutions(
  fleet: processFleet.ProcessFleet,
  deployment: Deployment,
  id: string,
): Promise<number> {
  const service = fleet.document.services.find((each) => each.name === deployment.service);
  let total = 0;
  for (const backend of service?.backends ?? []) {
    const report = await readReport<{ executions: Record<string, number> }>(backend.port);
    total += report.executions[id] ?? 0;
  }
  return total;
}

async function checkCallerDisconnects(
  fleet: processFleet.ProcessFleet,
  deployment: Deployment,
): Promise<string | undefined> {
  const client = createClient(fleet, deployment.modelCaller);
  const abort = new AbortController();
  const request = createRequest(fleet, `${deployment.prompt}left #tokens=4000`);
  const longRequest = { ...request, maxTokens: 1_000 };
  for await (const event of client.streamModel(longRequest, { signal: abort.signal })) {
    if (event.type === "token" && event.offset >= 2) abort.abort();
    if (event.type !== "token") break;
  }
  return waitUntilReleased(fleet);
}

/**
 * Waits until no engine holds a request. Returns `undefined` then, or a text with the number of
 * held requests after `limitMs`.
 */
export async function waitUntilReleased(
  fleet: processFleet.ProcessFleet,
  limitMs = RELEASE_TIMEOUT_MS,
): Promise<string | undefined> {
  const deadlineAt = Date.now() + limitMs;
  for (;;) {
    const heldRequests = await countHeldRequests(fleet);
    if (heldRequests === 0) return undefined;
    if (Date.now() > deadlineAt) return `${heldRequests} requests still held`;
    await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS));
  }
}

async function countHeldRequests(fleet: processFleet.ProcessFleet): Promise<number> {
  let heldRequests = 0;
  for (const runner of fleet.document.runners) {
    const report = await readReport<{ slotsHeld: unknown[] }>(runner.port);
    heldRequests += report.slotsHeld.length;
  }
  return heldRequests;
}

async function checkKilledNode(
  fleet: processFleet.ProcessFleet,
  deployment: Deployment,
): Promise<string | undefined> {
  const [killedNode] = fleet.nodeAddresses;
  if (killedNode === undefined) return "no node";
  const failures = await runLoad(fleet, deployment, "kill", () => {
    fleet.getProcess(killedNode.vm).sendSignal("SIGKILL");
  });
  await fleet.startNode(killedNode);
  return failures;
}

async function checkDrainedNode(
  fleet: processFleet.ProcessFleet,
  deployment: Deployment,
): Promise<string | undefined> {
  const drainedNode = fleet.nodeAddresses[1];
  if (drainedNode === undefined) return "two nodes are needed";
  const node = fleet.getProcess(drainedNode.vm);
  const failures = await runLoad(fleet, deployment, "drain", () => {
    node.sendSignal("SIGTERM");
  });
  const code = await node.exited;
  return failures ?? (code === 0 ? undefined : `the drained node exited with ${String(code)}`);
}

/**
 * Sends requests at a fixed interval and injects a fault partway through. Returns the number of
 * failed requests and the first failure; `undefined` when all succeeded.
 */
async function runLoad(
  fleet: processFleet.ProcessFleet,
  deployment: Deployment,
  label: string,
  injectFault: () => void,
): Promise<string | undefined> {
  const pendingResults: Promise<string | undefined>[] = [];
  for (let number = 0; number < LOAD_REQUESTS; number += 1) {
    if (number === FAULT_AFTER_REQUESTS) injectFault();
    pendingResults.push(sendRequest(fleet, deployment, `${deployment.prompt}${label} ${number}`));
    await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS));
  }
  const failures = (await Promise.all(pendingResults)).filter((failure) => failure !== undefined);
  return failures.length === 0
    ? undefined
    : `${failures.length} of ${LOAD_REQUESTS}: ${failures[0]}`;
}

async function sendRequest(
  fleet: processFleet.ProcessFleet,
  deployment: Deployment,
  prompt: string,
): Promise<string | undefined> {
  const client = createClient(fleet, deployment.modelCaller);
  const answer = await client.sendModel(createRequest(fleet, prompt));
  return answer.ok ? compareText(answer.text, prompt) : `${String(answer.code)} ${answer.message}`;
}

function compareText(text: string, prompt: string): string | undefined {
  return text === computeExpectedText(prompt)
    ? undefined
    : `answer differs from the expected text: ${text}`;
}

/** Reads the report of an emulated engine or service. */
export async function readReport<Report>(port: number): Promise<Report> {
  const response = await fetch(`http://${HOST}:${port}/judge`);
  return (await response.json()) as Report;
}
