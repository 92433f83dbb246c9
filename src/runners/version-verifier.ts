/**
 * Checks with the platform that a service has had no other software version up to now. A list that was read without a gap may
 * still be seconds old: a connection that fell silent, or a process that was paused, is noticed late.
 */
import * as clocks from "../kernel/clock.js";
import * as epochs from "../registry/epochs.js";
import type * as registry from "../registry/types.js";
import type * as types from "./types.js";

/** Time in which checks are collected into one call to the platform. */
const COLLECT_MS = 50;
/** Duration of the watch, which is over at once if nothing has changed. */
const WATCH_MS = 1;
const TIMEOUT_MS = 500;

/** The only version that a list shows for a service, and the point in the platform's history that the list reflects. */
export interface SoleVersion extends registry.RegistryPosition {
  readonly service: string;
  readonly version: string;
}

/** Services that `VersionVerifier` uses. */
export interface VersionVerifierOptions {
  readonly clock: clocks.Clock;
  readonly source: registry.RegistrySource<types.Runner>;
  /** Returns the point in the platform's history that this VM's list reflects; without it, claims are of the epoch that they name. */
  readonly getListPosition?: () => registry.RegistryPosition;
}

/** Reads what a list that shows a sole version does not reflect yet. */
export class VersionVerifier {
  readonly #options: VersionVerifierOptions;
  /** Reads that have not been sent, by the point after which they read. */
  readonly #pending = new Map<string, Promise<readonly types.Runner[]>>();

  constructor(options: VersionVerifierOptions) {
    this.#options = options;
  }

  /** Whether no runner of another version was listed until this call; false if the platform does not answer. */
  async verify({ service, version, ...position }: SoleVersion): Promise<boolean> {
    try {
      const listed = await this.#useRead(position);
      return listed.every(
        (runner) => runner.service !== service || runner.softwareVersion === version,
      );
    } catch {
      return false;
    }
  }

  /** Returns the next read after a point. One that has been sent may miss what was listed since. */
  #useRead(position: registry.RegistryPosition): Promise<readonly types.Runner[]> {
    const { epoch, rewinds = 0, revision } = position;
    const key = `${epoch}/${rewinds}/${revision}`;
    const pending = this.#pending.get(key);
    if (pending !== undefined) return pending;
    const read = clocks.sleep(this.#options.clock, COLLECT_MS).then(() => {
      this.#pending.delete(key);
      return this.#readAfter(position);
    });
    this.#pending.set(key, read);
    return read;
  }

  /** @throws when the platform does not answer in time. */
  async #readAfter(position: registry.RegistryPosition): Promise<readonly types.Runner[]> {
    const { clock, source, getListPosition } = this.#options;
    const { epoch, revision } = position;
    using limit = clocks.createTimeLimit(clock, TIMEOUT_MS);
    const changes = await source.watch(revision, WATCH_MS, limit.signal);
    // Answers name no part of an epoch: a claim of another one than this VM knows is taken for one of another history.
    const isSameHistory =
      (changes?.epoch ?? 0) === epoch &&
      epochs.compareEpochs(getListPosition?.() ?? position, position) === 0;
    // Without the history, or when it is that of another epoch, what is listed now is all that can be read.
    const items =
      changes === undefined || !isSameHistory || changes.revision < revision
        ? (await source.readAll(limit.signal)).items
        : changes.changes.flatMap((change) => (change.removed ? [] : [change.item]));
    // VMs send no requests to a runner whose entry they cannot parse.
    return items.flatMap(({ value }) => (value === undefined ? [] : [value]));
  }
}
