/** The simulated fleet, its latency targets, the phases of a run and the fault cases. */
import * as virtualClock from "./virtual-clock.js";
import * as modelDecode from "./model-decode.js";
import * as modelLinks from "./model-links.js";
import * as modelPrefill from "./model-prefill.js";
import * as modelRunners from "./model-runners.js";

/** Zones of the simulated fleet, numbers of its nodes and runners, and the delay between nodes. */
export const FLEET = {
  zones: ["zone-a", "zone-b", "zone-c"],
  nodeCount: 8,
  prefillRunnerCount: 3,
  decodeRunnerCount: 5,
  messageDelayMs: 1,
} as const;

/** Capacities and rates of the simulated runners and links. */
export const RUNNER_PARAMETERS: modelRunners.RunnerParameters = {
  prefillTokensPerSecond: 30_000,
  slots: 20,
  stepMs: 30,
  resultTtlMs: 800,
  kvBytesPerToken: 100_000,
  linkBytesPerSecond: 10_000_000_000,
  cacheBlocks: 4000,
};

/** Latency targets; `firstTokenMs` and `deadlineMs` are measured from the request's arrival. */
export const TARGETS = { firstTokenMs: 3000, betweenTokensMs: 60, deadlineMs: 60_000 } as const;

/**
 * Durations of the phases of one run. Arrivals during `warmupMs` are not counted; no requests
 * arrive during `drainMs`, in which those in progress can complete.
 */
export const PHASE_DURATIONS = { warmupMs: 15_000, measuredMs: 60_000, drainMs: 20_000 } as const;

/** Time at which a fault case injects its fault. */
export const FAULT_START_MS = 20_000;
const PARTITION_DURATION_MS = 30_000;
/** Time until the other nodes detect a stopped node, a partition, or the end of a partition. */
const DETECTION_DELAY_MS = 1500;

/** Shared state of one run: the clock, the runners and the links. */
export interface World {
  /** Number of router nodes. */
  readonly nodeCount: number;
  readonly clock: virtualClock.VirtualClock;
  readonly prefillRunners: readonly modelPrefill.SimulatedPrefillRunner[];
  readonly decodeRunners: readonly modelDecode.SimulatedDecodeRunner[];
  readonly links: modelLinks.SimulatedLinks;
  /** Number of prefills in progress for each decode runner, by the runner's name. */
  readonly prefillsInFlight: Map<string, number>;
}

/** Injects faults into the simulated router's nodes. */
export interface NodeFaultInjector {
  stopNode(index: number, detectionDelayMs: number): void;
  setPartition(groups: readonly (readonly number[])[], detectionDelayMs: number): void;
  removePartition(detectionDelayMs: number): void;
}

/** A fault case: what differs from a run without faults. */
export interface FaultCase {
  readonly name: string;
  /** Fraction of the requests whose caller disconnects early. */
  readonly disconnectedFraction: number;
  /** Whether one caller sends requests at the rate that `computeFloodRate` returns. */
  readonly hasFloodingCaller: boolean;
  /** Delay with which the runners' load reports reach the router nodes. */
  readonly reportDelayMs: number;
  /** Number of decode runners that can meet the targets after the fault. */
  readonly healthyDecodeRunnerCount: number;
  /** Schedules the faults of the run. */
  readonly scheduleFaults: (world: World, injector: NodeFaultInjector) => void;
}

const NO_FAULT: FaultCase = {
  name: "none",
  disconnectedFraction: 0,
  hasFloodingCaller: false,
  reportDelayMs: 500,
  healthyDecodeRunnerCount: FLEET.decodeRunnerCount,
  scheduleFaults: () => undefined,
};

/** All fault cases in the order of the output. */
export const FAULT_CASES: readonly FaultCase[] = [
  NO_FAULT,
  {
    ...NO_FAULT,
    name: "decode runner lost",
    healthyDecodeRunnerCount: FLEET.decodeRunnerCount - 1,
    scheduleFaults: ({ clock, decodeRunners }) => {
      clock.schedule(FAULT_START_MS, () => {
        decodeRunners[0]?.stop();
      });
    },
  },
  {
    ...NO_FAULT,
    name: "prefill runner lost",
    scheduleFaults: ({ clock, prefillRunners }) => {
      clock.schedule(FAULT_START_MS, () => {
        prefillRunners[0]?.stop();
      });
    },
  },
  {
    ...NO_FAULT,
    name: "allocator killed",
    scheduleFaults: ({ clock }, injector) => {
      clock.schedule(FAULT_START_MS, () => {
        injector.stopNode(0, DETECTION_DELAY_MS);
      });
    },
  },
  {
    ...NO_FAULT,
    name: "link at a tenth",
    scheduleFaults: ({ clock, links }) => {
      clock.schedule(FAULT_START_MS, () => {
        links.slowdownFactors.set(`${FLEET.zones[0]}\n${FLEET.zones[1]}`, 10);
      });
    },
  },
  {
    ...NO_FAULT,
    name: "slow decode runner",
    healthyDecodeRunnerCount: FLEET.decodeRunnerCount - 1,
    scheduleFaults: ({ clock, decodeRunners }) => {
      clock.schedule(FAULT_START_MS, () => {
        const [runner] = decodeRunners;
        if (runner !== undefined) runner.slowdownFactor = 3;
      });
    },
  },
  { ...NO_FAULT, name: "callers cancel", disconnectedFraction: 1 / 3 },
  { ...NO_FAULT, name: "one floods", hasFloodingCaller: true },
  { ...NO_FAULT, name: "reports 2 s late", reportDelayMs: 2000 },
  {
    ...NO_FAULT,
    name: "partition healed",
    scheduleFaults: ({ clock }, injector) => {
      clock.schedule(FAULT_START_MS, () => {
        const groups = [
          [0, 1, 2],
          [3, 4, 5, 6, 7],
        ];
        injector.setPartition(groups, DETECTION_DELAY_MS);
      });
      clock.schedule(FAULT_START_MS + PARTITION_DURATION_MS, () => {
        injector.removePartition(DETECTION_DELAY_MS);
      });
    },
  },
];

/** Creates the runners and links of a run. */
export function createWorld(clock: virtualClock.VirtualClock, nodeCount: number): World {
  const links = new modelLinks.SimulatedLinks(clock, RUNNER_PARAMETERS);
  const getZone = (index: number): string => FLEET.zones[index % FLEET.zones.length] ?? "";
  return {
    nodeCount,
    clock,
    links,
    prefillsInFlight: new Map(),
    prefillRunners: Array.from(
      { length: FLEET.prefillRunnerCount },
      (_, index) =>
        new modelPrefill.SimulatedPrefillRunner(
          `p${index}`,
          getZone(index),
          clock,
          RUNNER_PARAMETERS,
        ),
    ),
    decodeRunners: Array.from(
      { length: FLEET.decodeRunnerCount },
      (_, index) =>
        new modelDecode.SimulatedDecodeRunner(
          `d${index}`,
          getZone(index),
          clock,
          RUNNER_PARAMETERS,
          links,
        ),
    ),
  };
}

/**
 * Computes the capacity bound in requests per second. It assumes that every decode slot is always
 * busy and that a request holds its slot for one step per output token; prefill and KV transfers
 * take no time.
 */
export function computeBound(meanOutputTokens: number, decodeRunnerCount: number): number {
  const slotHoldSeconds = (meanOutputTokens * RUNNER_PARAMETERS.stepMs) / 1000;
  return (decodeRunnerCount * RUNNER_PARAMETERS.slots) / slotHoldSeconds;
}
