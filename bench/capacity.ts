/**
 * Prints the table of `docs/CAPACITY.md`: what each role of a node costs at full size. Memory slopes
 * are measured in this run, each at two sizes; the costs of traffic come from the figures of the
 * other benches in `bench/slopes.json`, which names the command of each.
 */
import * as fs from "node:fs/promises";
import * as path from "node:path";
import * as url from "node:url";
import * as zod from "zod";
import * as allocatedRunners from "../src/capacity/allocated-runner.js";
import * as catalogs from "../src/capacity/catalog.js";
import * as policies from "../src/capacity/policy.js";
import * as shares from "../src/capacity/shares.js";
import * as clocks from "../src/kernel/clock.js";
import * as expiringRecords from "../src/request/expiring-records.js";
import * as modelRecords from "../src/request/model-records.js";
import * as textDelta from "../src/configuration/text-delta.js";
import * as documents from "../src/settings/document.js";
import * as fleetDocument from "./fleet-document.js";

/** The full size that the letter gives. */
const TARGET = {
  nodes: 370,
  runners: 820,
  requestsPerSecond: 4_900,
  tokensPerSecond: 1_400_000,
  teams: 4_900,
  configurationChangesPerDay: 510,
} as const;
const LIMIT = { cpuShare: 0.026, memoryMb: 256, bytesPerSecond: 5_000 } as const;
const SESSION_SECONDS = 600;
/** Part of the requests that are non-idempotent plain calls, for the records of the backup. */
const NON_IDEMPOTENT_PART = 0.05;
/** Time between two tokens, from the target. */
const TOKEN_SECONDS = 0.038;
const SECONDS_PER_DAY = 86_400;
const BYTES_PER_MB = 1024 * 1024;
const MEASURED_SIZES = [1_000, 10_000] as const;
const RUNNER_SIZES = [80, 800] as const;
const TEAM_SIZES = [100, 1_000] as const;
const ID_LENGTH = 200;

const slopesSchema = zod.object({
  membership: zod.object({
    bytesPerSecond: zod.number(),
    bytesPerDoubling: zod.number(),
    cpuShare: zod.number(),
  }),
  measuredNodes: zod.number(),
  control: zod.object({
    bytesPerRequest: zod.number(),
    bytesPerSecondPerAllocator: zod.number(),
  }),
  request: zod.object({ cpuMs: zod.number() }),
  tokensPerCpuSecond: zod.number(),
  bytesPerLiveStream: zod.number(),
  quietNode: zod.object({ cpuShare: zod.number(), residentBytes: zod.number() }),
});

interface Line {
  readonly role: string;
  readonly state: string;
  readonly memoryMb: number;
  readonly bytesPerSecond: number;
  readonly cpuShare: number;
  readonly mechanism: string;
}

const clock = clocks.createSystemClock();

/** Returns the bytes of heap for each item, from the difference between two sizes. */
function measureSlope(sizes: readonly [number, number], create: (size: number) => unknown): number {
  const [small, large] = sizes.map((size) => measureHeap(() => create(size)));
  return ((large ?? 0) - (small ?? 0)) / (sizes[1] - sizes[0]);
}

function measureHeap(create: () => unknown): number {
  const collect = globalThis.gc;
  if (collect === undefined) throw new Error("run with --expose-gc");
  collect();
  const before = process.memoryUsage().heapUsed;
  const kept = create();
  collect();
  const used = process.memoryUsage().heapUsed - before;
  return kept === undefined ? 0 : used;
}

function createId(index: number): string {
  return `${"s".repeat(ID_LENGTH)}.${index}`;
}

function createClaims(size: number): unknown {
  const claims = new modelRecords.ModelClaims(clock);
  const claimant = { vm: "vm-1", incarnation: 1 };
  for (let index = 0; index < size; index += 1) {
    const expiresAt = Number.MAX_SAFE_INTEGER;
    claims.claim({ id: createId(index), attempt: 1, claimant, expiresAt });
  }
  return claims;
}

function createRecords(size: number): unknown {
  const limits = { maxRecords: size, maxBytes: Number.MAX_SAFE_INTEGER };
  const records = new expiringRecords.ExpiringRecords<object>(clock, limits);
  for (let index = 0; index < size; index += 1) {
    const record = { owner: { vm: "vm-1", incarnation: 1 }, outcome: undefined };
    records.set(createId(index), record, Number.MAX_SAFE_INTEGER, ID_LENGTH);
  }
  return records;
}

function createRunners(size: number): unknown {
  const template = fleetDocument.createFleetDocument();
  const [first] = new catalogs.Catalog(template).listRunners();
  if (first === undefined) throw new Error("the document has no runner");
  const modelShares = new shares.CallerShares(clock);
  return Array.from({ length: size }, (_, index) =>
    allocatedRunners.createAllocatedRunner(
      { ...first, name: `runner-${index}` },
      clock,
      policies.DEFAULT_POLICY,
      modelShares,
    ),
  );
}

function createTeams(size: number): unknown {
  const callerShares = new shares.CallerShares(clock);
  for (let index = 0; index < size; index += 1) callerShares.recordRequest(`team-${index}`, 1);
  return callerShares;
}

function createDocumentText(teams: number): string {
  const template = fleetDocument.createFleetDocument();
  const [runner] = template.runners;
  const runners = Array.from({ length: TARGET.runners }, (_, index) => ({
    ...runner,
    name: `runner-${index}`,
  }));
  const callers = Array.from({ length: teams }, (_, index) => ({
    name: `team-${index}`,
    displayName: `Team ${index}`,
    credentialSha256: index.toString(16).padStart(64, "0"),
    priority: 1,
    share: 1,
    models: [fleetDocument.MODEL],
    services: [],
    tolerance: { firstTokenMs: 780, betweenTokensMs: 38, deadlineMs: 60_000 },
  }));
  return JSON.stringify({ ...template, runners, callers });
}

function createParsedDocument(teams: number): unknown {
  const text = createDocumentText(teams);
  return { text, parsed: documents.documentSchema.parse(JSON.parse(text)) };
}

/** Returns the bytes of the difference that one changed caller makes in the full document. */
function measureDifference(): number {
  const before = createDocumentText(TARGET.teams);
  const after = before.replace('"displayName":"Team 2450"', '"displayName":"Team 2450, renamed"');
  return JSON.stringify(textDelta.computeDelta(before, after)).length;
}

/** Returns how many allocators a node expects to hold leases of, when runners are drawn evenly. */
function countAllocators(requestsPerSecond: number): number {
  const outputSeconds = (TARGET.tokensPerSecond / TARGET.requestsPerSecond) * TOKEN_SECONDS;
  const live = requestsPerSecond * outputSeconds;
  return TARGET.nodes * (1 - (1 - 1 / TARGET.nodes) ** live);
}

function createLines(slopes: zod.infer<typeof slopesSchema>): readonly Line[] {
  const requests = TARGET.requestsPerSecond / TARGET.nodes;
  const doublings = Math.log2(TARGET.nodes / slopes.measuredNodes);
  const claims = requests * SESSION_SECONDS;
  const claimBytes = measureSlope(MEASURED_SIZES, createClaims);
  const recordBytes = measureSlope(MEASURED_SIZES, createRecords);
  const runnerBytes = measureSlope(RUNNER_SIZES, createRunners);
  const teamBytes = measureSlope(TEAM_SIZES, createTeams);
  const teamDocumentBytes = measureSlope(TEAM_SIZES, createParsedDocument);
  const fixedDocumentBytes = measureHeap(() => createParsedDocument(0));
  const records = requests * NON_IDEMPOTENT_PART * SESSION_SECONDS;
  const runnersEach = TARGET.runners / TARGET.nodes;
  const changes = TARGET.configurationChangesPerDay / SECONDS_PER_DAY;
  return [
    {
      role: "process at rest",
      state: "code, libraries, connections to peers",
      memoryMb: slopes.quietNode.residentBytes / BYTES_PER_MB,
      bytesPerSecond: 0,
      cpuShare: slopes.quietNode.cpuShare,
      mechanism: "timers of a fixed period",
    },
    {
      role: "owner",
      state: `${Math.round(claims)} claims of ${Math.round(claimBytes)} B`,
      memoryMb: (claims * claimBytes) / BYTES_PER_MB,
      bytesPerSecond: 0,
      cpuShare: 0,
      mechanism: "authority in the request id; claims expire with the session",
    },
    {
      role: "backup",
      state: `${Math.round(records)} records of ${Math.round(recordBytes)} B (5% non-idempotent)`,
      memoryMb: (records * recordBytes) / BYTES_PER_MB,
      bytesPerSecond: requests * NON_IDEMPOTENT_PART * 2 * ID_LENGTH,
      cpuShare: 0,
      mechanism: "intent and result, one message each",
    },
    {
      role: "allocator",
      state: `${runnersEach.toFixed(1)} runners of ${Math.round(runnerBytes)} B, ${TARGET.teams} teams of ${Math.round(teamBytes)} B`,
      memoryMb: (runnersEach * runnerBytes + TARGET.teams * teamBytes) / BYTES_PER_MB,
      bytesPerSecond:
        requests * slopes.control.bytesPerRequest +
        countAllocators(requests) * slopes.control.bytesPerSecondPerAllocator,
      cpuShare: 0,
      mechanism: "one allocator a runner; leases named by short keys",
    },
    {
      role: "configuration reader",
      state: `document of ${TARGET.teams} teams and ${TARGET.runners} runners, text and parsed`,
      memoryMb: (fixedDocumentBytes + TARGET.teams * teamDocumentBytes) / BYTES_PER_MB,
      bytesPerSecond: changes * measureDifference(),
      cpuShare: 0,
      mechanism: "two readers a zone; digests in probes, differences between peers",
    },
    {
      role: "member",
      state: `${TARGET.nodes} members`,
      memoryMb: 0,
      bytesPerSecond:
        slopes.membership.bytesPerSecond + doublings * slopes.membership.bytesPerDoubling,
      cpuShare: slopes.membership.cpuShare,
      mechanism: "one probe a period, bounded piggyback",
    },
  ];
}

function printTable(lines: readonly Line[]): void {
  const total: Line = {
    role: "**all control**",
    state: "",
    memoryMb: sum(lines, (line) => line.memoryMb),
    bytesPerSecond: sum(lines, (line) => line.bytesPerSecond),
    cpuShare: Math.max(...lines.map((line) => line.cpuShare)),
    mechanism: `limits: ${LIMIT.memoryMb} MB, ${LIMIT.bytesPerSecond} B/s, ${LIMIT.cpuShare * 100}% of a core`,
  };
  printLine("| Role | State | Memory, MB | Sent, B/s | Core, % | Mechanism |");
  printLine("| --- | --- | --- | --- | --- | --- |");
  for (const line of [...lines, total]) {
    const { role, state, memoryMb, bytesPerSecond, cpuShare, mechanism } = line;
    const cpu = cpuShare === 0 ? "in the first line" : (cpuShare * 100).toFixed(1);
    printLine(
      `| ${role} | ${state} | ${memoryMb.toFixed(1)} | ${Math.round(bytesPerSecond)} | ${cpu} | ${mechanism} |`,
    );
  }
}

function printDataPlane(slopes: zod.infer<typeof slopesSchema>): void {
  const requests = TARGET.requestsPerSecond / TARGET.nodes;
  const tokens = TARGET.tokensPerSecond / TARGET.nodes;
  const tokenCore = tokens / slopes.tokensPerCpuSecond;
  const requestCore = (requests * slopes.request.cpuMs) / 1000;
  printLine("");
  printLine(
    `Data plane a node: ${Math.round(tokens)} tokens/s take ${(tokenCore * 100).toFixed(0)}% of a core, ` +
      `${requests.toFixed(1)} requests/s take ${(requestCore * 100).toFixed(0)}%; a live stream holds ` +
      `${Math.round(slopes.bytesPerLiveStream / 1024)} KB.`,
  );
}

function sum(lines: readonly Line[], getValue: (line: Line) => number): number {
  return lines.reduce((total, line) => total + getValue(line), 0);
}

function printLine(line: string): void {
  process.stdout.write(`${line}\n`);
}

const directory = path.dirname(url.fileURLToPath(import.meta.url));
const file = path.resolve(directory, "../../bench/slopes.json");
const slopes = slopesSchema.parse(JSON.parse(await fs.readFile(file, "utf8")));
printTable(createLines(slopes));
printDataPlane(slopes);
