/** Emulated platform: a configuration service with read and watch, and a lagging VM list. */
import type * as clocks from "../src/kernel/clock.js";
import type * as types from "../src/configuration/types.js";

/** Faults that a test injects. */
export interface PlatformFaults {
  /** Fails every call. */
  readonly outage: boolean;
  /** Returns the document of this revision, as a stale replica does. */
  readonly staleRevision: number | undefined;
}

/** Numbers of calls received; a long-polling watch counts once. */
export interface PlatformReport {
  readonly reads: number;
  readonly watches: number;
  readonly vmLists: number;
  readonly total: number;
}

interface ScheduledVmList {
  readonly visibleAt: number;
  readonly vms: readonly types.ListedVm[];
}

/** Thrown for a call during an outage, and for a read when nothing is published. */
export class PlatformOutage extends Error {
  override readonly name = "PlatformOutage";
}

const NO_FAULTS: PlatformFaults = { outage: false, staleRevision: undefined };
const MAX_DOCUMENTS = 1_000;

/**
 * State of the emulated platform; used in-process or served over HTTP.
 *
 * @example
 * const platform = new Platform(clock);
 * platform.publish({ revision: 1, document });
 */
export class Platform {
  readonly #clock: clocks.Clock;
  readonly #documents: types.PublishedDocument[] = [];
  readonly #watchers = new Set<() => void>();
  #lists: ScheduledVmList[] = [];
  #listLagMs = 0;
  #faults = NO_FAULTS;
  #reads = 0;
  #watches = 0;
  #vmLists = 0;

  constructor(clock: clocks.Clock) {
    this.#clock = clock;
  }

  /** Publishes a document. The last one published is current, even if its revision is lower. */
  publish(published: types.PublishedDocument): void {
    this.#documents.push(published);
    if (this.#documents.length > MAX_DOCUMENTS) this.#documents.shift();
    this.#notifyWatchers();
  }

  /** Replaces the injected faults; those not given are cleared. */
  setFaults(faults: Partial<PlatformFaults>): void {
    this.#faults = { ...NO_FAULTS, ...faults };
    this.#notifyWatchers();
  }

  /** Sets the VM list, which becomes visible to readers after the lag. */
  setVms(vms: readonly types.ListedVm[]): void {
    this.#lists.push({ visibleAt: this.#clock.now() + this.#listLagMs, vms });
  }

  /** Sets the lag of VM lists that are set from now on. */
  setListLag(lagMs: number): void {
    this.#listLagMs = lagMs;
  }

  /**
   * @throws PlatformOutage during an outage, and when no document, or none of the stale revision,
   * is published.
   */
  readConfiguration(): types.PublishedDocument {
    this.#reads += 1;
    const newest = this.#findNewest();
    if (newest === undefined) throw new PlatformOutage("nothing is published");
    return newest;
  }

  /**
   * Waits for a revision above `after`.
   *
   * @returns `undefined` if none was published within `waitMs`.
   * @throws PlatformOutage during an outage, also when it begins during the wait.
   * @throws the signal's reason if `signal` aborts.
   */
  async watchConfiguration(
    after: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<types.PublishedDocument | undefined> {
    this.#watches += 1;
    const deadlineAt = this.#clock.now() + waitMs;
    for (;;) {
      signal.throwIfAborted();
      const newest = this.#findNewest();
      if (newest !== undefined && newest.revision > after) return newest;
      const remainingMs = deadlineAt - this.#clock.now();
      if (remainingMs <= 0) return undefined;
      await this.#waitForChange(remainingMs, signal);
    }
  }

  /** @throws PlatformOutage during an outage. */
  listVms(): readonly types.ListedVm[] {
    this.#vmLists += 1;
    this.#checkOutage();
    const now = this.#clock.now();
    const visible = this.#lists.filter((list) => list.visibleAt <= now);
    const current = visible.at(-1);
    if (current !== undefined) this.#lists = this.#lists.slice(this.#lists.indexOf(current));
    return current?.vms ?? [];
  }

  getReport(): PlatformReport {
    const total = this.#reads + this.#watches + this.#vmLists;
    return { reads: this.#reads, watches: this.#watches, vmLists: this.#vmLists, total };
  }

  #findNewest(): types.PublishedDocument | undefined {
    this.#checkOutage();
    const { staleRevision } = this.#faults;
    if (staleRevision === undefined) return this.#documents.at(-1);
    return this.#documents.filter((document) => document.revision === staleRevision).at(-1);
  }

  #checkOutage(): void {
    if (this.#faults.outage) throw new PlatformOutage("platform is down");
  }

  #notifyWatchers(): void {
    for (const notify of [...this.#watchers]) notify();
  }

  #waitForChange(limitMs: number, signal: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      const handleChange = (): void => {
        cancel();
        signal.removeEventListener("abort", handleChange);
        this.#watchers.delete(handleChange);
        resolve();
      };
      const cancel = this.#clock.schedule(limitMs, handleChange);
      signal.addEventListener("abort", handleChange, { once: true });
      this.#watchers.add(handleChange);
    });
  }
}
