/**
 * Callers that leave streams and resume them at any gateway. Every event names the software version of the runner that wrote
 * it, so that a stream of two versions shows.
 */
import * as random from "../../src/kernel/random.js";
import * as callers from "./callers.js";
import type * as soakCluster from "./soak-cluster.js";

/** Attempts of a caller at one stream. */
const MAX_ATTEMPTS = 3;
/** Time after which a caller leaves; a whole stream takes a second. */
const MIN_STAY_MS = 150;
const MAX_STAY_MS = 600;
const MAX_PAUSE_MS = 150;
/** Share of the streams that their callers leave. */
const LEFT_SHARE = 0.8;
/** Number of streams of two versions that are tolerated. */
const MAX_MIXED = 2;
/** Number of resumed streams below which the share that continues is not judged. */
const MIN_TAKEN_UP = 12;
/** Least share that continues, relative to the share of new streams that begin. */
const MIN_WENT_ON = 0.5;
/** Number of runners of a version from which on its streams have to continue. */
const MIN_RUNNERS = 2;

/** One stream over all attempts of its caller. */
interface ResumedStream {
  readonly events: string[];
  isTakenUp: boolean;
  hasGoneOn: boolean;
  /** Whether enough runners of its version were listed when it was resumed. */
  isServed: boolean;
}

/** Sends streams one after the other until it is stopped. */
export class ResumingCaller {
  readonly #cluster: soakCluster.SoakCluster;
  readonly #streams: ResumedStream[] = [];
  readonly #source: random.RandomSource;
  readonly #tasks: readonly Promise<void>[];
  #stopped = false;

  constructor(cluster: soakCluster.SoakCluster, count: number, seed: number) {
    this.#cluster = cluster;
    this.#source = random.createSeededRandom(seed);
    this.#tasks = Array.from({ length: count }, () => this.#run());
  }

  /** Stops sending and waits for the streams in progress. */
  async stop(): Promise<void> {
    this.#stopped = true;
    await Promise.all(this.#tasks);
  }

  /** Returns a line if more streams than are tolerated hold events of two versions, and one for disordered streams. */
  listOrderViolations(): string[] {
    const mixed = this.#streams.filter(
      ({ events }) => new Set(events.map(parseVersion)).size > 1,
    ).length;
    const disordered = this.#streams.filter(({ events }) =>
      events.some((event, id) => !event.startsWith(`id: ${id}\n`)),
    ).length;
    return [
      ...(mixed > MAX_MIXED ? [`ORDER: ${mixed} streams hold events of two versions`] : []),
      ...(disordered > 0 ? [`ORDER: ${disordered} streams taken up are out of order`] : []),
    ];
  }

  /** Returns a line if too few of the streams continue whose version is served. */
  listLostViolations(): string[] {
    const begun = this.#streams.filter(({ events }) => events.length > 0).length;
    const takenUp = this.#streams.filter(({ isTakenUp, isServed }) => isTakenUp && isServed);
    if (takenUp.length < MIN_TAKEN_UP) return [];
    const wentOnShare = takenUp.filter(({ hasGoneOn }) => hasGoneOn).length / takenUp.length;
    const begunShare = begun / this.#streams.length;
    return wentOnShare < MIN_WENT_ON * begunShare
      ? [
          `LOST: share ${wentOnShare.toFixed(2)} of ${takenUp.length} streams taken up went on, ${begunShare.toFixed(2)} began`,
        ]
      : [];
  }

  async #run(): Promise<void> {
    while (!this.#stopped) {
      await this.#playStream();
      await new Promise((resolve) => setTimeout(resolve, this.#source.nextInteger(MAX_PAUSE_MS)));
    }
  }

  async #playStream(): Promise<void> {
    const stream: ResumedStream = {
      events: [],
      isTakenUp: false,
      hasGoneOn: false,
      isServed: false,
    };
    this.#streams.push(stream);
    const isLeft = this.#source.nextFloat() < LEFT_SHARE;
    let firstAttempt = "";
    for (let attempt = 1; attempt <= MAX_ATTEMPTS; attempt += 1) {
      const isResumed = stream.events.length > 0;
      if (isResumed) this.#recordTakenUp(stream);
      const headers = isResumed ? createResumeHeaders(stream, firstAttempt) : {};
      const stayMs = MIN_STAY_MS + this.#source.nextInteger(MAX_STAY_MS - MIN_STAY_MS);
      const record = await callers.sendCall(
        this.#chooseGateway(),
        callers.CALL_KIND.notes,
        false,
        isLeft && attempt < MAX_ATTEMPTS ? stayMs : undefined,
        { headers },
      );
      const events = record.status === 200 ? record.body.split("\n\n").slice(0, -1) : [];
      if (firstAttempt === "" && events.length > 0) firstAttempt = record.id;
      stream.events.push(...events);
      stream.hasGoneOn ||= isResumed && events.length > 0;
      if (record.isComplete && record.status === 200) return;
    }
  }

  #recordTakenUp(stream: ResumedStream): void {
    const version = parseVersion(stream.events[0] ?? "");
    const runners = [...this.#cluster.runners.values()].filter(
      (runner) => runner.role === "decode" && runner.softwareVersion === version,
    );
    stream.isTakenUp = true;
    stream.isServed ||= runners.length >= MIN_RUNNERS;
  }

  #chooseGateway(): soakCluster.Gateway {
    const { gateways } = this.#cluster;
    const gateway = gateways[this.#source.nextInteger(gateways.length)];
    if (gateway === undefined) throw new Error("the soak cluster has no gateway");
    return gateway;
  }
}

function createResumeHeaders(
  { events }: ResumedStream,
  firstAttempt: string,
): Readonly<Record<string, string>> {
  return { resumes: firstAttempt, "last-event-id": String(events.length - 1) };
}

function parseVersion(event: string): string | undefined {
  return / of (\S+)$/.exec(event)?.[1];
}
