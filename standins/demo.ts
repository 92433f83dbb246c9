/**
 * The demo: starts each deployment in `examples/` as processes, sends every kind of call, kills a
 * node under load, drains another, prints the result of each check, and exits with a non-zero
 * status if any check fails.
 */
import * as fs from "node:fs/promises";
import * as path from "node:path";
import * as url from "node:url";
import * as demoChecks from "./demo-checks.js";
import * as processFleet from "./process-fleet.js";
import * as documents from "../src/settings/document.js";

const NODES = 4;
const DIST_DIRECTORY = path.resolve(path.dirname(url.fileURLToPath(import.meta.url)), "..");
const EXAMPLES_DIRECTORY = path.resolve(DIST_DIRECTORY, "../examples");

const DEPLOYMENTS: readonly demoChecks.Deployment[] = [
  {
    file: "lagos.json",
    modelCaller: "surveyors",
    plainCaller: "farm-tractors",
    service: "corr-api",
    nonIdempotent: { method: "POST", path: "/registrations" },
    idempotent: { method: "GET", path: "/tiles/8803/5374" },
    prompt: "Scintillation log of tile 8803/5374, ikeja: ",
  },
  {
    file: "cisty-vzduch.json",
    modelCaller: "technicians",
    plainCaller: "caretakers",
    service: "booking-app",
    nonIdempotent: { method: "POST", path: "/bookings" },
    idempotent: { method: "GET", path: "/bookings/17" },
    prompt: "Maintenance log of the care home at Žilina, filter F7: ",
  },
];

async function runDeployment(deployment: demoChecks.Deployment): Promise<number> {
  const text = await fs.readFile(path.join(EXAMPLES_DIRECTORY, deployment.file), "utf8");
  const validation = documents.validateDocument(JSON.parse(text));
  if (!validation.ok)
    throw new Error(`${deployment.file} is not valid: ${JSON.stringify(validation.faults)}`);
  printLine(`== ${validation.document.operator}: ${deployment.file}, ${NODES} nodes`);
  await using fleet = await processFleet.ProcessFleet.start({
    document: validation.document,
    nodes: NODES,
    codeDirectory: DIST_DIRECTORY,
  });
  let failures = 0;
  for (const check of demoChecks.DEMO_CHECKS) {
    const failure = await check.run(fleet, deployment).catch((error: unknown) => String(error));
    if (failure !== undefined) failures += 1;
    printLine(failure === undefined ? `ok    ${check.name}` : `MISS  ${check.name}: ${failure}`);
  }
  return failures;
}

function printLine(line: string): void {
  process.stdout.write(`${line}\n`);
}

let failures = 0;
for (const deployment of DEPLOYMENTS) failures += await runDeployment(deployment);
printLine(failures === 0 ? "demo: nothing missed" : `demo: ${failures} missed`);
process.exitCode = failures === 0 ? 0 : 1;
