/** The platform of the fault matrix: configuration service and VM list, and their faults. */
import * as clocks from "../../src/kernel/clock.js";
import type * as platform from "../../src/configuration/types.js";
import type * as document from "../../src/settings/document.js";
import * as fixtures from "./fixtures.js";

const POLL_INTERVAL_MS = 50;

/** The emulated platform, whose answers may differ by the VM that asks. */
export class MatrixPlatform {
  /** Whether every request fails. */
  isDown = false;
  /** VMs all of whose requests fail. */
  readonly blockedVms = new Set<string>();
  readonly #clock: clocks.Clock;
  #published: document.FleetDocument = fixtures.DOCUMENT;
  #conflicting: document.FleetDocument | undefined;
  #reads = 0;

  constructor(clock: clocks.Clock) {
    this.#clock = clock;
  }

  /** Number of times that VMs have read the document; each poll of a watch counts. */
  get reads(): number {
    return this.#reads;
  }

  /** Publishes a document; an older one simulates a stale replica. */
  publish(fleet: document.FleetDocument): void {
    this.#published = fleet;
    this.#conflicting = undefined;
  }

  /** Publishes two documents at once: half of the VMs read the first, the others the second. */
  publishConflicting(first: document.FleetDocument, second: document.FleetDocument): void {
    this.#published = first;
    this.#conflicting = second;
  }

  /** Creates the platform client of a node. */
  createClient(vm: string): platform.PlatformClient {
    return {
      readConfiguration: () => this.#readDocument(vm),
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
      const published = await this.#readDocument(vm);
      if (published.revision > after) return published;
      await clocks.sleep(this.#clock, POLL_INTERVAL_MS, signal);
    }
    return undefined;
  }

  #readDocument(vm: string): Promise<platform.PublishedDocument> {
    if (!this.#isReachable(vm)) return Promise.reject(createError());
    this.#reads += 1;
    const isOdd = fixtures.VMS.findIndex((each) => each.vm === vm) % 2 === 1;
    const fleet = isOdd && this.#conflicting ? this.#conflicting : this.#published;
    return Promise.resolve({ revision: fleet.revision, document: fleet });
  }

  #isReachable(vm: string): boolean {
    return !this.isDown && !this.blockedVms.has(vm);
  }
}

function createError(): Error {
  return new Error("platform is unreachable");
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
