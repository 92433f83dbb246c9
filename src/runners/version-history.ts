/** Software versions of the runners, as the registry has listed them on this VM. */
import * as lru from "lru-cache";
import type * as clocks from "../kernel/clock.js";
import type * as runnerTable from "./runner-table.js";
import type * as types from "./types.js";

/** Limit on the remembered starts of runners; the one that was unlisted first is evicted first. */
const MAX_STARTS = 10_000;

/** A start of a runner. One id may start again at another version. */
export type RunnerStart = Pick<types.Runner, "id" | "bornAt">;

interface ListedStart {
  readonly service: string;
  readonly softwareVersion: string | undefined;
  /** Monotonic time at which it was found to be no longer listed; `undefined` while it is. */
  unlistedAt: number | undefined;
}

/** Services that the history uses. */
export interface VersionHistoryOptions {
  readonly clock: clocks.Clock;
  readonly runners: runnerTable.RunnerTable;
  /** Returns the monotonic time since which the runner list was read without a gap, if it still is. */
  readonly findContinuousSince: () => number | undefined;
}

/** Remembers the version of each start that was listed. */
export class VersionHistory {
  readonly #options: VersionHistoryOptions;
  readonly #starts = new lru.LRUCache<string, ListedStart>({ max: MAX_STARTS });
  /** Key of the listed start, by runner id. */
  readonly #listed = new Map<string, string>();

  constructor(options: VersionHistoryOptions) {
    this.#options = options;
    options.runners.onChange((id, runner) => {
      this.#recordChange(id, runner);
    });
  }

  /** Returns the version of a start, if it was listed. */
  findVersion(start: RunnerStart): string | undefined {
    return this.#starts.get(formatKey(start))?.softwareVersion;
  }

  /** Returns the versions that a service has had, as far as is known, within the last `forMs`. */
  listVersions(service: string, forMs: number): ReadonlySet<string | undefined> {
    const since = this.#options.clock.now() - forMs;
    const starts = [...this.#starts.values()].filter(
      (start) => start.service === service && (start.unlistedAt ?? Infinity) >= since,
    );
    return new Set(starts.map(({ softwareVersion }) => softwareVersion));
  }

  /** Returns the only version that a service can have had within the last `forMs`, if the list shows that. */
  findSoleVersion(service: string, forMs: number): string | undefined {
    const since = this.#options.findContinuousSince();
    if (since === undefined || this.#options.clock.now() - since < forMs) return undefined;
    const versions = [...this.listVersions(service, forMs)];
    return versions.length === 1 ? versions[0] : undefined;
  }

  #recordChange(id: string, runner: types.Runner | undefined): void {
    const key = runner === undefined ? undefined : formatKey(runner);
    const before = this.#listed.get(id);
    if (before !== undefined && before !== key) {
      const start = this.#starts.get(before);
      if (start !== undefined) start.unlistedAt = this.#options.clock.now();
    }
    if (runner === undefined || key === undefined) {
      this.#listed.delete(id);
      return;
    }
    this.#listed.set(id, key);
    const { service, softwareVersion } = runner;
    this.#starts.set(key, { service, softwareVersion, unlistedAt: undefined });
  }
}

function formatKey({ id, bornAt }: RunnerStart): string {
  return `${id}@${bornAt}`;
}
