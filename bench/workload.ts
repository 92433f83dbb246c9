/** Generates open-loop arrivals from a seed: the same seed and options give the same requests. */
import * as random from "../src/kernel/random.js";
import * as modelRunners from "./model-runners.js";

const MS_PER_SECOND = 1000;
const PROMPT_MEDIAN_TOKENS = 800;
const PROMPT_SIGMA = 1.3;
const MIN_PROMPT_TOKENS = 20;
const MAX_PROMPT_TOKENS = 30_000;
const OUTPUT_MEDIAN_TOKENS = 85;
const OUTPUT_SIGMA = 0.6;
const MIN_OUTPUT_TOKENS = 2;
const MAX_OUTPUT_TOKENS = 400;
const MAX_DISCONNECT_DELAY_MS = 4000;
/** Fraction of the requests whose prompt begins with a shared prefix. */
const SHARED_PREFIX_FRACTION = 0.6;
const SHARED_PREFIX_COUNT = 40;
const MIN_SHARED_BLOCKS = 4;
const MAX_SHARED_BLOCKS = 32;
const CALLER_COUNT = 100;
/**
 * Each period begins with a burst at a multiple of the mean rate; a lower rate afterwards keeps the
 * mean.
 */
const BURST_PERIOD_MS = 10_000;
const BURST_DURATION_MS = 1000;
const BURST_RATE_FACTOR = 1.5;
/** Request rate of the flooding caller as a multiple of the capacity bound. */
const FLOOD_FACTOR = 1;
const FLOODING_CALLER = "flooder";
/**
 * Placeholder for the session part of a request id, as long as a real session, for realistic
 * message sizes.
 */
const SESSION_ID = "s".repeat(160);

/** Options of a generated workload. */
export interface WorkloadOptions {
  readonly seed: number;
  /** Arrivals per second, without those of the flooding caller. */
  readonly rate: number;
  readonly durationMs: number;
  /**
   * Fraction of the requests whose caller disconnects within `MAX_DISCONNECT_DELAY_MS` of the
   * arrival, unless the request has completed or been refused by then.
   */
  readonly disconnectedFraction: number;
  /** Requests per second of the flooding caller; 0 for none. */
  readonly floodRate: number;
}

/** One request of the workload. */
export interface Arrival extends modelRunners.SimulatedRequest {
  readonly at: number;
  readonly caller: string;
  readonly maxTokens: number;
  /** Random number; modulo the number of nodes it is the index of the router node. */
  readonly nodeSelector: number;
  /** Time from the arrival until the caller disconnects; infinite when it stays. */
  readonly disconnectsAfterMs: number;
  readonly isFlood: boolean;
}

/** Returns the flooding caller's requests per second for a capacity bound in the same unit. */
export function computeFloodRate(bound: number): number {
  return FLOOD_FACTOR * bound;
}

/** Creates the arrivals of one run, sorted by time. */
export function createArrivals(options: WorkloadOptions): Arrival[] {
  const randomSource = random.createSeededRandom(options.seed);
  const arrivals = createStream(options, randomSource, options.rate, false);
  const flood = createStream(options, randomSource, options.floodRate, true);
  return [...arrivals, ...flood].sort((left, right) => left.at - right.at);
}

function createStream(
  options: WorkloadOptions,
  randomSource: random.RandomSource,
  rate: number,
  isFlood: boolean,
): Arrival[] {
  const arrivals: Arrival[] = [];
  if (rate <= 0) return arrivals;
  let at = 0;
  for (;;) {
    const gapMs = (-Math.log(1 - randomSource.nextFloat()) / rate) * MS_PER_SECOND;
    at += gapMs / computeBurstFactor(at);
    if (at >= options.durationMs) return arrivals;
    arrivals.push(createArrival(options, randomSource, at, arrivals.length, isFlood));
  }
}

function createArrival(
  options: WorkloadOptions,
  randomSource: random.RandomSource,
  at: number,
  index: number,
  isFlood: boolean,
): Arrival {
  const promptTokens = drawTokens(
    randomSource,
    PROMPT_MEDIAN_TOKENS,
    PROMPT_SIGMA,
    MIN_PROMPT_TOKENS,
    MAX_PROMPT_TOKENS,
  );
  const willDisconnect = randomSource.nextFloat() < options.disconnectedFraction;
  const disconnectsAfterMs = randomSource.nextFloat() * MAX_DISCONNECT_DELAY_MS;
  const id = `${SESSION_ID}.${isFlood ? FLOODING_CALLER : "r"}${index}`;
  return {
    id,
    attempt: 1,
    at,
    caller: isFlood ? FLOODING_CALLER : `caller${drawSkewedIndex(randomSource, CALLER_COUNT)}`,
    promptTokens,
    outputTokens: drawTokens(
      randomSource,
      OUTPUT_MEDIAN_TOKENS,
      OUTPUT_SIGMA,
      MIN_OUTPUT_TOKENS,
      MAX_OUTPUT_TOKENS,
    ),
    maxTokens: MAX_OUTPUT_TOKENS,
    prefixes: createPrefixes(randomSource, `own${options.seed}${isFlood}${index}`, promptTokens),
    nodeSelector: randomSource.nextInteger(1000),
    disconnectsAfterMs: willDisconnect ? disconnectsAfterMs : Infinity,
    isFlood,
  };
}

function createPrefixes(
  randomSource: random.RandomSource,
  id: string,
  promptTokens: number,
): string[] {
  const blocks = Math.floor(promptTokens / modelRunners.BLOCK_TOKENS);
  const shared = drawSkewedIndex(randomSource, SHARED_PREFIX_COUNT);
  const isShared = randomSource.nextFloat() < SHARED_PREFIX_FRACTION;
  const sharedBlocks = isShared
    ? MIN_SHARED_BLOCKS + ((shared * 7) % (MAX_SHARED_BLOCKS - MIN_SHARED_BLOCKS))
    : 0;
  return Array.from({ length: blocks }, (_, block) =>
    block < sharedBlocks ? `shared${shared}/${block}` : `${id}/${block}`,
  );
}

/** Draws an index below `count`; lower indices are more likely. */
function drawSkewedIndex(randomSource: random.RandomSource, count: number): number {
  return Math.floor(count * randomSource.nextFloat() ** 2);
}

function drawTokens(
  randomSource: random.RandomSource,
  median: number,
  sigma: number,
  minTokens: number,
  maxTokens: number,
): number {
  const radius = Math.sqrt(-2 * Math.log(1 - randomSource.nextFloat()));
  const normal = radius * Math.cos(2 * Math.PI * randomSource.nextFloat());
  return Math.round(Math.min(maxTokens, Math.max(minTokens, median * Math.exp(sigma * normal))));
}

function computeBurstFactor(at: number): number {
  const isBurst = at % BURST_PERIOD_MS < BURST_DURATION_MS;
  const remainderMs = BURST_PERIOD_MS - BURST_DURATION_MS;
  return isBurst
    ? BURST_RATE_FACTOR
    : (BURST_PERIOD_MS - BURST_RATE_FACTOR * BURST_DURATION_MS) / remainderMs;
}
