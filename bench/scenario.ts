/** The modelled fleet, its latency targets and the faults of a run. */
import * as virtualClock from "./virtual-clock.js";
import * as modelDecode from "./model-decode.js";
import * as modelLinks from "./model-links.js";
import * as modelPrefill from "./model-prefill.js";
import * as modelRunners from "./model-runners.js";

/** Zones, nodes and runners of the modelled fleet. */
export const FLEET = {
  zones: ["zone-a", "zone-b", "zone-c"],
  nodes: 8,
  prefillRunners: 3,
  decodeRunners: 5,
  messageDelayMs: 1,
} as const;

/** The runners' sizes and rates. */
export const RUNNER_MODEL: modelRunners.RunnerModel = {
  prefillTokensPerSecond: 30_000,
  slots: 20,
  stepMs: 30,
  resultLifeMs: 800,
  kvBytesPerToken: 100_000,
  linkBytesPerSecond: 10_000_000_000,
  cacheBlocks: 4000,
};

/** Latency targets, from the arrival. */
export const TARGETS = { firstTokenMs: 3000, betweenTokensMs: 60, deadlineMs: 60_000 } as const;

/** Times of one run. Arrivals before `warmupMs` and in the last `tailMs` are not counted. */
export const TIMES = { warmupMs: 15_000, measuredMs: 60_000, drainMs: 20_000 } as const;

/** Time of a case's fault. */
export const FAULT_AT_MS = 20_000;
const PARTITION_MS = 30_000;
const DETECT_MS = 1500;

/** The runners of one run. */
export interface World {
  /** Number of router nodes. */
  readonly nodes: number;
  readonly clock: virtualClock.VirtualClock;
  readonly prefills: readonly modelPrefill.ModelPrefill[];
  readonly decodes: readonly modelDecode.ModelDecode[];
  readonly links: modelLinks.ModelLinks;
  /** Requests by decode runner that are being prefilled for it. */
  readonly promised: Map<string, number>;
}

/** How a policy's nodes are made to fail; a policy without nodes ignores it. */
export interface NodeFaults {
  stopNode(index: number, detectMs: number): void;
  setPartition(groups: readonly (readonly number[])[], detectMs: number): void;
  removePartition(detectMs: number): void;
}

/** What differs from a run without faults. */
export interface FaultCase {
  readonly name: string;
  readonly cancelledPart: number;
  readonly floods: boolean;
  readonly reportAgeMs: number;
  /** Decode runners that can meet the targets after the fault. */
  readonly remainingDecoders: number;
  /** Schedules the faults of the run. */
  readonly schedule: (world: World, nodes: NodeFaults) => void;
}

const NO_FAULT: FaultCase = {
  name: "none",
  cancelledPart: 0,
  floods: false,
  reportAgeMs: 500,
  remainingDecoders: FLEET.decodeRunners,
  schedule: () => undefined,
};

/** Every case, by the order of the output. */
export const CASES: readonly FaultCase[] = [
  NO_FAULT,
  {
    ...NO_FAULT,
    name: "decode runner lost",
    remainingDecoders: FLEET.decodeRunners - 1,
    schedule: ({ clock, decodes }) => {
      clock.schedule(FAULT_AT_MS, () => {
        decodes[0]?.stop();
      });
    },
  },
  {
    ...NO_FAULT,
    name: "prefill runner lost",
    schedule: ({ clock, prefills }) => {
      clock.schedule(FAULT_AT_MS, () => {
        prefills[0]?.stop();
      });
    },
  },
  {
    ...NO_FAULT,
    name: "allocator killed",
    schedule: ({ clock }, nodes) => {
      clock.schedule(FAULT_AT_MS, () => {
        nodes.stopNode(0, DETECT_MS);
      });
    },
  },
  {
    ...NO_FAULT,
    name: "link at a tenth",
    schedule: ({ clock, links }) => {
      clock.schedule(FAULT_AT_MS, () => {
        links.slowness.set(`${FLEET.zones[0]}\n${FLEET.zones[1]}`, 10);
      });
    },
  },
  {
    ...NO_FAULT,
    name: "slow decode runner",
    remainingDecoders: FLEET.decodeRunners - 1,
    schedule: ({ clock, decodes }) => {
      clock.schedule(FAULT_AT_MS, () => {
        const [runner] = decodes;
        if (runner !== undefined) runner.slowness = 3;
      });
    },
  },
  { ...NO_FAULT, name: "callers cancel", cancelledPart: 1 / 3 },
  { ...NO_FAULT, name: "one floods", floods: true },
  { ...NO_FAULT, name: "reports 2 s late", reportAgeMs: 2000 },
  {
    ...NO_FAULT,
    name: "partition healed",
    schedule: ({ clock }, nodes) => {
      clock.schedule(FAULT_AT_MS, () => {
        const groups = [
          [0, 1, 2],
          [3, 4, 5, 6, 7],
        ];
        nodes.setPartition(groups, DETECT_MS);
      });
      clock.schedule(FAULT_AT_MS + PARTITION_MS, () => {
        nodes.removePartition(DETECT_MS);
      });
    },
  },
];

/** Creates the runners of a run. */
export function createWorld(clock: virtualClock.VirtualClock, nodes: number): World {
  const links = new modelLinks.ModelLinks(clock, RUNNER_MODEL);
  const getZone = (index: number): string => FLEET.zones[index % FLEET.zones.length] ?? "";
  return {
    nodes,
    clock,
    links,
    promised: new Map(),
    prefills: Array.from(
      { length: FLEET.prefillRunners },
      (_, index) => new modelPrefill.ModelPrefill(`p${index}`, getZone(index), clock, RUNNER_MODEL),
    ),
    decodes: Array.from(
      { length: FLEET.decodeRunners },
      (_, index) =>
        new modelDecode.ModelDecode(`d${index}`, getZone(index), clock, RUNNER_MODEL, links),
    ),
  };
}

/**
 * Computes the capacity bound in requests a second: all decode slots, always busy, each request
 * holding one for its tokens at the step time. Transfers and prefill count as free.
 */
export function computeBound(meanOutputTokens: number, decoders: number): number {
  const lifeSeconds = (meanOutputTokens * RUNNER_MODEL.stepMs) / 1000;
  return (decoders * RUNNER_MODEL.slots) / lifeSeconds;
}
