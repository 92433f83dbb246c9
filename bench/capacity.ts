/**
 * Prints the table of `docs/CAPACITY.md`: the cost of each role of a node at the target fleet size.
 * Memory per item is measured in this run from the heap at two sizes; the traffic and CPU costs
 * come from the results of the other benchmarks in `bench/slopes.json`, which names the command of
 * each.
 */
import * as fs from "node:fs/promises";
import * as path from "node:path";
import * as url from "node:url";
import * as zod from "zod";
import * as allocatedRunners from "../src/capacity/allocated-runner.js";
import * as catalogs from "../src/capacity/runner-catalog.js";
import * as policies from "../src/capacity/policy.js";
import * as shares from "../src/capacity/shares.js";
import * as clocks from "../src/kernel/clock.js";
import * as expiringRecords from "../src/request/expiring-records.js";
import * as modelRecords from "../src/request/model-records.js";
import * as textDelta from "../src/configuration/text-delta.js";
import * as documents from "../src/settings/document.js";
import * as fleetDocument from "./fleet-document.js";

/** Target size and load of the fleet. */
const TARGET = {
  nodes: 370,
  runners: 820,
  requestsPerSecond: 4_900,
  tokensPerSecond: 1_400_000,
  teams: 4_900,
  configurationChangesPerDay: 510,
} as const;
/** Limits for the control traffic and state of one node. */
const LIMITS = { cpuShare: 0.026, memoryMb: 256, bytesPerSecond: 5_000 } as const;
const SESSION_SECONDS = 600;
/** Fraction of the requests that are non-idempotent plain calls; only these need backup records. */
const NON_IDEMPOTENT_FRACTION = 0.05;
/** Time between two tokens at the latency target. */
const TOKEN_INTERVAL_SECONDS = 0.038;
const SECONDS_PER_DAY = 86_400;
const BYTES_PER_MB = 1024 * 1024;
const RECORD_COUNTS = [1_000, 10_000] as const;
const RUNNER_COUNTS = [80, 800] as const;
const TEAM_COUNTS = [100, 1_000] as const;
/** Length of the session part of a request id. */
const ID_PREFIX_BYTES = 200;

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

/** Row of the table: what one role costs a node. */
interface RoleCost {
  readonly role: string;
  readonly state: string;
  readonly memoryMb: number;
  readonly bytesPerSecond: number;
  readonly cpuShare: number;
  readonly mechanism: string;
}

const clock = clocks.createSystemClock();

/**
 * Returns the heap bytes per item, from the difference between two sizes; fixed costs cancel out.
 */
function measureBytesPerItem(
  sizes: readonly [number, number],
  create: (size: number) => unknown,
): number {
  const [small, large] = sizes.map((size) => measureHeapBytes(() => create(size)));
  return ((large ?? 0) - (small ?? 0)) / (sizes[1] - sizes[0]);
}

/** Returns the heap bytes that the created value retains. */
function measureHeapBytes(create: () => unknown): number {
  const collect = globalThis.gc;
  if (collect === undefined)
    throw new Error("garbage collection is not exposed: run with node --expose-gc");
  collect();
  const before = process.memoryUsage().heapUsed;
  const retained = create();
  collect();
  const usedBytes = process.memoryUsage().heapUsed - before;
  return retained === undefined ? 0 : usedBytes;
}

function createId(index: number): string {
  return `${"s".repeat(ID_PREFIX_BYTES)}.${index}`;
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
    records.set(createId(index), record, Number.MAX_SAFE_INTEGER, ID_PREFIX_BYTES);
  }
  return records;
}

function createRunners(size: number): unknown {
  const template = fleetDocument.createFleetDocument();
  const [first] = new catalogs.RunnerCatalog(template).listRunners();
  if (first === undefined) throw new Error("the simulated fleet's document lists no runner");
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

/**
 * Returns the size in bytes of the delta for one changed caller in a document of the target size.
 */
function measureDeltaBytes(): number {
  const before = createDocumentText(TARGET.teams);
  const after = before.replace('"displayName":"Team 2450"', '"displayName":"Team 2450, renamed"');
  return JSON.stringify(textDelta.computeDelta(before, after)).length;
}

/**
 * Returns the expected number of allocators from which a node holds leases, assuming that the
 * lease of each live request comes from an allocator drawn uniformly.
 */
function estimateAllocators(requestsPerSecond: number): number {
  const outputSeconds =
    (TARGET.tokensPerSecond / TARGET.requestsPerSecond) * TOKEN_INTERVAL_SECONDS;
  const liveRequests = requestsPerSecond * outputSeconds;
  return TARGET.nodes * (1 - (1 - 1 / TARGET.nodes) ** liveRequests);
}

function computeRoleCosts(slopes: zod.infer<typeof slopesSchema>): readonly RoleCost[] {
  const requestsPerSecond = TARGET.requestsPerSecond / TARGET.nodes;
  const doublings = Math.log2(TARGET.nodes / slopes.measuredNodes);
  const claimCount = requestsPerSecond * SESSION_SECONDS;
  const claimBytes = measureBytesPerItem(RECORD_COUNTS, createClaims);
  const recordBytes = measureBytesPerItem(RECORD_COUNTS, createRecords);
  const runnerBytes = measureBytesPerItem(RUNNER_COUNTS, createRunners);
  const teamBytes = measureBytesPerItem(TEAM_COUNTS, createTeams);
  const teamDocumentBytes = measureBytesPerItem(TEAM_COUNTS, createParsedDocument);
  const fixedDocumentBytes = measureHeapBytes(() => createParsedDocument(0));
  const recordCount = requestsPerSecond * NON_IDEMPOTENT_FRACTION * SESSION_SECONDS;
  const runnersPerNode = TARGET.runners / TARGET.nodes;
  const changesPerSecond = TARGET.configurationChangesPerDay / SECONDS_PER_DAY;
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
      state: `${Math.round(claimCount)} claims of ${Math.round(claimBytes)} B`,
      memoryMb: (claimCount * claimBytes) / BYTES_PER_MB,
      bytesPerSecond: 0,
      cpuShare: 0,
      mechanism: "authority in the request id; claims expire with the session",
    },
    {
      role: "backup",
      state: `${Math.round(recordCount)} records of ${Math.round(recordBytes)} B (5% non-idempotent)`,
      memoryMb: (recordCount * recordBytes) / BYTES_PER_MB,
      bytesPerSecond: requestsPerSecond * NON_IDEMPOTENT_FRACTION * 2 * ID_PREFIX_BYTES,
      cpuShare: 0,
      mechanism: "intent and result, one message each",
    },
    {
      role: "allocator",
      state: `${runnersPerNode.toFixed(1)} runners of ${Math.round(runnerBytes)} B, ${TARGET.teams} teams of ${Math.round(teamBytes)} B`,
      memoryMb: (runnersPerNode * runnerBytes + TARGET.teams * teamBytes) / BYTES_PER_MB,
      bytesPerSecond:
        requestsPerSecond * slopes.control.bytesPerRequest +
        estimateAllocators(requestsPerSecond) * slopes.control.bytesPerSecondPerAllocator,
      cpuShare: 0,
      mechanism: "one allocator a runner; leases named by short keys",
    },
    {
      role: "configuration reader",
      state: `document of ${TARGET.teams} teams and ${TARGET.runners} runners, text and parsed`,
      memoryMb: (fixedDocumentBytes + TARGET.teams * teamDocumentBytes) / BYTES_PER_MB,
      bytesPerSecond: changesPerSecond * measureDeltaBytes(),
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

function printTable(costs: readonly RoleCost[]): void {
  const total: RoleCost = {
    role: "**all control**",
    state: "",
    memoryMb: sum(costs, (cost) => cost.memoryMb),
    bytesPerSecond: sum(costs, (cost) => cost.bytesPerSecond),
    cpuShare: Math.max(...costs.map((cost) => cost.cpuShare)),
    mechanism: `limits: ${LIMITS.memoryMb} MB, ${LIMITS.bytesPerSecond} B/s, ${LIMITS.cpuShare * 100}% of a core`,
  };
  printLine("| Role | State | Memory, MB | Sent, B/s | Core, % | Mechanism |");
  printLine("| --- | --- | --- | --- | --- | --- |");
  for (const cost of [...costs, total]) {
    const { role, state, memoryMb, bytesPerSecond, cpuShare, mechanism } = cost;
    const cpu = cpuShare === 0 ? "in the first line" : (cpuShare * 100).toFixed(1);
    printLine(
      `| ${role} | ${state} | ${memoryMb.toFixed(1)} | ${Math.round(bytesPerSecond)} | ${cpu} | ${mechanism} |`,
    );
  }
}

function printDataPlane(slopes: zod.infer<typeof slopesSchema>): void {
  const requestsPerSecond = TARGET.requestsPerSecond / TARGET.nodes;
  const tokensPerSecond = TARGET.tokensPerSecond / TARGET.nodes;
  const tokenCpuShare = tokensPerSecond / slopes.tokensPerCpuSecond;
  const requestCpuShare = (requestsPerSecond * slopes.request.cpuMs) / 1000;
  printLine("");
  printLine(
    `Data plane a node: ${Math.round(tokensPerSecond)} tokens/s take ${(tokenCpuShare * 100).toFixed(0)}% of a core, ` +
      `${requestsPerSecond.toFixed(1)} requests/s take ${(requestCpuShare * 100).toFixed(0)}%; a live stream holds ` +
      `${Math.round(slopes.bytesPerLiveStream / 1024)} KB.`,
  );
}

function sum(costs: readonly RoleCost[], getValue: (cost: RoleCost) => number): number {
  return costs.reduce((total, cost) => total + getValue(cost), 0);
}

function printLine(line: string): void {
  process.stdout.write(`${line}\n`);
}

const directory = path.dirname(url.fileURLToPath(import.meta.url));
const file = path.resolve(directory, "../../bench/slopes.json");
const slopes = slopesSchema.parse(JSON.parse(await fs.readFile(file, "utf8")));
printTable(computeRoleCosts(slopes));
printDataPlane(slopes);
