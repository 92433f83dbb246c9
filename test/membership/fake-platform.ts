/** In-memory platform: a document that can be read and watched, and a list of VMs. */
import * as clocks from "../../src/kernel/clock.js";
import type * as fleetDocument from "../../src/settings/document.js";
import type * as platform from "../../src/configuration/types.js";

const REPLY_DELAY_MS = 3;

/** Numbers of calls to the platform. */
export interface CallCounts {
  configuration: number;
  list: number;
}

/** Fake of the platform that can simulate outages and stale replies. */
export class FakePlatform {
  readonly counts: CallCounts = { configuration: 0, list: 0 };
  /** Whether a node can reach the platform. */
  isReachable: (vm: string) => boolean = () => true;
  readonly #clock: clocks.Clock;
  readonly #watchers = new Set<string>();
  readonly #vms = new Map<string, platform.ListedVm>();
  #publication = new AbortController();
  #published: platform.PublishedDocument | undefined;

  constructor(virtualClock: clocks.Clock) {
    this.#clock = virtualClock;
  }

  /** Publishes a document; an older revision simulates a stale service. */
  publish(document: Pick<fleetDocument.FleetDocument, "revision">): void {
    this.#published = { revision: document.revision, document };
    this.#publication.abort(new Error("published"));
    this.#publication = new AbortController();
  }

  addVm(listed: platform.ListedVm): void {
    this.#vms.set(listed.vm, listed);
  }

  removeVm(vm: string): void {
    this.#vms.delete(vm);
  }

  /** Returns the nodes whose watch is pending. */
  listWatchers(): readonly string[] {
    return [...this.#watchers];
  }

  createClient(vm: string): platform.PlatformClient {
    return {
      readConfiguration: async (signal) => {
        this.counts.configuration += 1;
        await this.#delayReply(vm, signal);
        if (this.#published === undefined) throw new Error("no document");
        return this.#published;
      },
      watchConfiguration: async (after, waitMs, signal) => {
        this.counts.configuration += 1;
        this.#watchers.add(vm);
        try {
          return await this.#watch(vm, after, waitMs, signal);
        } finally {
          this.#watchers.delete(vm);
        }
      },
      listVms: async (signal) => {
        this.counts.list += 1;
        await this.#delayReply(vm, signal);
        return [...this.#vms.values()];
      },
    };
  }

  async #watch(
    vm: string,
    after: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<platform.PublishedDocument | undefined> {
    const end = this.#clock.now() + waitMs;
    await this.#delayReply(vm, signal);
    while (this.#clock.now() < end && (this.#published?.revision ?? 0) <= after) {
      await this.#waitForPublication(end - this.#clock.now(), signal);
      if (!this.isReachable(vm)) throw new Error("service unreachable");
    }
    return (this.#published?.revision ?? 0) > after ? this.#published : undefined;
  }

  /** Waits for the next publication, at most `limitMs`. */
  async #waitForPublication(limitMs: number, signal: AbortSignal): Promise<void> {
    const either = AbortSignal.any([signal, this.#publication.signal]);
    await clocks.sleep(this.#clock, limitMs, either).catch(() => undefined);
    signal.throwIfAborted();
  }

  async #delayReply(vm: string, signal: AbortSignal): Promise<void> {
    await clocks.sleep(this.#clock, REPLY_DELAY_MS, signal);
    if (!this.isReachable(vm)) throw new Error("service unreachable");
  }
}
