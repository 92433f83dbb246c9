/**
 * Sends non-idempotent registrations to a fleet of processes while nodes are killed, paused and
 * drained, and compares the results that callers received with the executions that the service
 * counted.
 *
 * Run: `npm run -s build && node dist/bench/registrations.js [runs]`. Exits non-zero when a
 * registration ran twice, or when the results and the executions do not agree. Runs are not
 * reproducible, since the interleaving of the processes is not controlled.
 */
import * as fs from "node:fs/promises";
import * as path from "node:path";
import * as url from "node:url";
import * as zod from "zod";
import * as callerClient from "../src/client/caller-client.js";
import type * as results from "../src/client/results.js";
import * as codes from "../src/protocol/result-codes.js";
import * as documents from "../src/settings/document.js";
import * as processFleet from "../standins/process-fleet.js";

const HOST = "127.0.0.1";
const NODE_COUNT = 4;
const REGISTRATION_COUNT = 600;
const MAX_CONCURRENT_CALLS = 16;
const CLIENT_COUNT = 4;
const ATTEMPT_TIMEOUT_MS = 4000;
const DEADLINE_MS = 15_000;
const PAUSE_MS = 3000;
/** Time in which calls still in flight between nodes and service finish. */
const SETTLE_MS = 3500;
const CODE_DIRECTORY = path.resolve(path.dirname(url.fileURLToPath(import.meta.url)), "..");

type Result = results.ServiceAnswer | results.Failure;

/** Faults, by the number of received answers after which each is injected. */
const FAULTS_BY_ANSWER_COUNT: ReadonlyMap<number, (fleet: processFleet.ProcessFleet) => void> =
  new Map([
    [
      100,
      (fleet: processFleet.ProcessFleet) => {
        getNode(fleet, 0).sendSignal("SIGKILL");
      },
    ],
    [300, pauseNode],
    [
      450,
      (fleet: processFleet.ProcessFleet) => {
        getNode(fleet, 2).sendSignal("SIGTERM");
      },
    ],
  ]);

const reportSchema = zod.object({
  total: zod.number(),
  executions: zod.record(zod.string(), zod.number()),
});

/** Runs all registrations against a new fleet; returns whether results and executions agree. */
async function runOnce(document: documents.FleetDocument): Promise<boolean> {
  await using fleet = await processFleet.ProcessFleet.start({
    document,
    nodes: NODE_COUNT,
    codeDirectory: CODE_DIRECTORY,
  });
  const answers = await sendRegistrations(fleet);
  await new Promise((resolve) => setTimeout(resolve, SETTLE_MS));
  const reports = await readReports(fleet);
  const executions = reports.reduce((sum, report) => sum + report.total, 0);
  const most = Math.max(0, ...reports.flatMap((report) => Object.values(report.executions)));
  const answered = answers.filter((answer) => answer.ok).length;
  const notRun = answers.filter((answer) => !answer.ok && answer.ran === codes.RAN.no).length;
  const unknown = answers.length - answered - notRun;
  const agrees = most <= 1 && executions >= answered && executions <= answered + unknown;
  printLine({ sent: answers.length, answered, notRun, unknown, executions, most, agrees });
  return agrees;
}

async function sendRegistrations(fleet: processFleet.ProcessFleet): Promise<readonly Result[]> {
  const clients = Array.from({ length: CLIENT_COUNT }, (_item, index) =>
    createRotatedClient(fleet, index),
  );
  const answers: Result[] = [];
  let next = 0;
  const sendSequentially = async (client: callerClient.CallerClient): Promise<void> => {
    while (next < REGISTRATION_COUNT) {
      next += 1;
      answers.push(await sendRegistration(client, next));
      FAULTS_BY_ANSWER_COUNT.get(answers.length)?.(fleet);
    }
  };
  const callers = Array.from(
    { length: MAX_CONCURRENT_CALLS },
    (_item, index) => clients[index % CLIENT_COUNT],
  );
  await Promise.all(
    callers.flatMap((client) => (client === undefined ? [] : [sendSequentially(client)])),
  );
  return answers;
}

function sendRegistration(client: callerClient.CallerClient, number: number): Promise<Result> {
  const body = JSON.stringify({ receiver: `receiver-${number}` });
  return client.callService(
    { service: "corr-api", method: "POST", path: "/registrations", idempotent: false, body },
    { deadlineMs: DEADLINE_MS },
  );
}

/** Creates a client whose node list begins at index `first` and continues cyclically. */
function createRotatedClient(
  fleet: processFleet.ProcessFleet,
  first: number,
): callerClient.CallerClient {
  const nodes = fleet.nodeAddresses.map((place) => ({ host: HOST, port: place.callerPort }));
  return new callerClient.CallerClient({
    nodes: [...nodes.slice(first), ...nodes.slice(0, first)],
    credential: "demo-surveyors",
    attemptTimeoutMs: ATTEMPT_TIMEOUT_MS,
  });
}

/** Pauses the second node for `PAUSE_MS`. */
function pauseNode(fleet: processFleet.ProcessFleet): void {
  const node = getNode(fleet, 1);
  node.sendSignal("SIGSTOP");
  setTimeout(() => {
    node.sendSignal("SIGCONT");
  }, PAUSE_MS);
}

function getNode(
  fleet: processFleet.ProcessFleet,
  index: number,
): ReturnType<processFleet.ProcessFleet["getProcess"]> {
  return fleet.getProcess(fleet.nodeAddresses[index]?.vm ?? "");
}

function readReports(
  fleet: processFleet.ProcessFleet,
): Promise<readonly zod.infer<typeof reportSchema>[]> {
  const backends = fleet.document.services.flatMap((service) => service.backends);
  return Promise.all(
    backends.map(async ({ port }) => {
      const response = await fetch(`http://${HOST}:${port}/judge`);
      return reportSchema.parse(await response.json());
    }),
  );
}

function printLine(line: object): void {
  process.stdout.write(`${JSON.stringify(line)}\n`);
}

const examplePath = path.resolve(CODE_DIRECTORY, "../examples/lagos.json");
const validation = documents.validateDocument(JSON.parse(await fs.readFile(examplePath, "utf8")));
if (!validation.ok)
  throw new Error(`examples/lagos.json is not valid: ${JSON.stringify(validation.faults)}`);
const runs = Number(process.argv[2] ?? "1");
let failedRuns = 0;
for (let run = 0; run < runs; run += 1) {
  if (!(await runOnce(validation.document))) failedRuns += 1;
}
process.exitCode = failedRuns === 0 ? 0 : 1;
