/** A fleet of real processes, and raw requests that bypass the retries of the caller library. */
import * as fs from "node:fs/promises";
import * as path from "node:path";
import * as url from "node:url";
import * as documents from "../../src/settings/document.js";
import * as processFleet from "../../standins/process-fleet.js";

const DIST_DIRECTORY = path.resolve(path.dirname(url.fileURLToPath(import.meta.url)), "../..");
const EXAMPLE = path.resolve(DIST_DIRECTORY, "../examples/lagos.json");
const NODES = 4;
const CALL_TIMEOUT_MS = 30_000;
const POLL_INTERVAL_MS = 50;
export const HOST = "127.0.0.1";
export const SERVICE = "corr-api";
export const PLAIN_CALLER = "farm-tractors";
export const MODEL_CALLER = "map-engineers";

/** Starts four nodes and the upstreams of the Lagos example. */
export async function startFleet(): Promise<processFleet.ProcessFleet> {
  const validation = documents.validateDocument(JSON.parse(await fs.readFile(EXAMPLE, "utf8")));
  if (!validation.ok)
    throw new Error(`${EXAMPLE} is not valid: ${JSON.stringify(validation.faults)}`);
  return processFleet.ProcessFleet.start({
    document: validation.document,
    nodes: NODES,
    codeDirectory: DIST_DIRECTORY,
  });
}

/** A node's answer to a plain call. */
export interface PlainAnswer {
  readonly status: number;
  /** Result code of a refusal. */
  readonly code: number | undefined;
  readonly ran: string | undefined;
}

/** Returns all nodes but the given one. */
export function listOthers(
  fleet: processFleet.ProcessFleet,
  node: processFleet.NodeAddress,
): processFleet.NodeAddress[] {
  return fleet.nodeAddresses.filter((other) => other.vm !== node.vm);
}

/** Returns a node of the fleet by its index. */
export function getNodeAddress(
  fleet: processFleet.ProcessFleet,
  index: number,
): processFleet.NodeAddress {
  const node = fleet.nodeAddresses[index];
  if (node === undefined) throw new Error(`fleet has no node with index ${index}`);
  return node;
}

/** Requests a session from a node, which becomes its owner. */
export async function readSession(node: processFleet.NodeAddress): Promise<string> {
  const response = await fetch(`http://${HOST}:${node.callerPort}/v1/address`, {
    headers: { authorization: `Bearer demo-${PLAIN_CALLER}` },
  });
  return ((await response.json()) as { session: string }).session;
}

/**
 * Sends one attempt of a non-idempotent call to a node. @throws Error when the connection breaks
 */
export async function sendRegistration(
  node: processFleet.NodeAddress,
  id: string,
  attempt: number,
): Promise<PlainAnswer> {
  const address = `http://${HOST}:${node.callerPort}/services/${SERVICE}/registrations`;
  const response = await fetch(address, {
    method: "POST",
    headers: {
      authorization: `Bearer demo-${PLAIN_CALLER}`,
      "idempotency-key": id,
      "x-attempt": String(attempt),
    },
    body: "{}",
    signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
  });
  const body = (await response.json()) as { error?: { code: number; ran: string } };
  return { status: response.status, code: body.error?.code, ran: body.error?.ran };
}

/** Injects the same faults into every backend of the service. */
export async function setServiceFaults(
  fleet: processFleet.ProcessFleet,
  faults: object,
): Promise<void> {
  for (const port of listBackendPorts(fleet)) await writeControl(port, faults);
}

/** Sends a control command to a stand-in. */
export async function writeControl(port: number, control: object): Promise<void> {
  await fetch(`http://${HOST}:${port}/control`, { method: "POST", body: JSON.stringify(control) });
}

/** Counts how often all backends of the service together ran a request id. */
export async function countExecutions(
  fleet: processFleet.ProcessFleet,
  id: string,
): Promise<number> {
  let total = 0;
  for (const port of listBackendPorts(fleet)) {
    const response = await fetch(`http://${HOST}:${port}/judge`);
    const report = (await response.json()) as { executions: Record<string, number> };
    total += report.executions[id] ?? 0;
  }
  return total;
}

/** Waits until a condition holds. @throws Error when it does not hold within `CALL_TIMEOUT_MS` */
export async function waitUntil(
  what: string,
  isMet: () => Promise<boolean> | boolean,
): Promise<void> {
  const deadline = Date.now() + CALL_TIMEOUT_MS;
  while (!(await isMet())) {
    if (Date.now() > deadline) throw new Error(`timed out after ${CALL_TIMEOUT_MS} ms: ${what}`);
    await sleep(POLL_INTERVAL_MS);
  }
}

/** Waits until a node has applied a configuration revision. */
export async function waitForRevision(
  node: processFleet.NodeAddress,
  revision: number,
): Promise<void> {
  await waitUntil(`${node.vm} applies revision ${revision}`, async () => {
    const response = await fetch(`http://${HOST}:${node.callerPort}/admin/v1/status`, {
      headers: { authorization: `Bearer ${processFleet.ADMIN_TOKEN}` },
    });
    const status = (await response.json()) as { configuration?: { revision?: number } };
    return status.configuration?.revision === revision;
  });
}

/** Waits for a duration of real time. */
export function sleep(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}

function listBackendPorts(fleet: processFleet.ProcessFleet): number[] {
  const service = fleet.document.services.find((candidate) => candidate.name === SERVICE);
  return (service?.backends ?? []).map((backend) => backend.port);
}
