/** The platform of the matrix: configuration service and VM list, with their faults. */
import * as clocks from "../../src/kernel/clock.js";
import type * as platform from "../../src/configuration/types.js";
import type * as document from "../../src/settings/document.js";
import * as fixtures from "./fixtures.js";

const POLL_MS = 50;

/** What the service answers, by who asks. */
export class MatrixPlatform {
  /** Whether nothing answers. */
  isDown = false;
  /** VMs whose requests fail. */
  readonly blocked = new Set<string>();
  readonly #clock: clocks.Clock;
  #published: document.FleetDocument = fixtures.DOCUMENT;
  #other: document.FleetDocument | undefined;
  #reads = 0;

  constructor(clock: clocks.Clock) {
    this.#clock = clock;
  }

  /** Number of answers of the configuration service so far. */
  get reads(): number {
    return this.#reads;
  }

  /** Publishes a document, also an older one, as a stale replica does. */
  publish(fleet: document.FleetDocument): void {
    this.#published = fleet;
    this.#other = undefined;
  }

  /** Publishes two documents at once: readers see the one or the other. */
  publishTwo(first: document.FleetDocument, second: document.FleetDocument): void {
    this.#published = first;
    this.#other = second;
  }

  /** Creates the client of a node. */
  createClient(vm: string): platform.PlatformClient {
    return {
      readConfiguration: () => this.#answer(vm),
      watchConfiguration: (after, waitMs, signal) => this.#watch(vm, after, waitMs, signal),
      listVms: () =>
        this.#isReachable(vm) ? Promise.resolve(listVms()) : Promise.reject(createError()),
    };
  }

  async #watch(
    vm: string,
    after: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<platform.PublishedDocument | undefined> {
    const until = this.#clock.now() + waitMs;
    while (this.#clock.now() < until) {
      const published = await this.#answer(vm);
      if (published.revision > after) return published;
      await clocks.sleep(this.#clock, POLL_MS, signal);
    }
    return undefined;
  }

  #answer(vm: string): Promise<platform.PublishedDocument> {
    if (!this.#isReachable(vm)) return Promise.reject(createError());
    this.#reads += 1;
    const isOdd = fixtures.VMS.findIndex((each) => each.vm === vm) % 2 === 1;
    const fleet = isOdd && this.#other ? this.#other : this.#published;
    return Promise.resolve({ revision: fleet.revision, document: fleet });
  }

  #isReachable(vm: string): boolean {
    return !this.isDown && !this.blocked.has(vm);
  }
}

function createError(): Error {
  return new Error("platform does not answer");
}

function listVms(): platform.ListedVm[] {
  return fixtures.VMS.map(({ vm, zone, host }) => ({
    vm,
    host,
    callerPort: 8000,
    peerPort: 7000,
    region: "matrix",
    zone,
    state: "live",
  }));
}
