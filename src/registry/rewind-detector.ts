/**
 * Tells the epoch of the platform's answers. A platform that comes back from a copy may name the epoch that it named before, or
 * none; then its answers show that it went back. They are linearizable, so one whose call began after this VM knew a revision
 * cannot reflect less. A late answer does not look so: what was learned while its call was under way is not compared with it.
 */
import * as clocks from "../kernel/clock.js";
import * as logEvents from "../telemetry/log-events.js";
import type * as telemetry from "../telemetry/types.js";
import * as epochs from "./epochs.js";
import type * as registryView from "./registry-view.js";
import type * as types from "./types.js";
import type * as unnamedAnswers from "./unnamed-answers.js";

/** Time after which the platform is asked again for what it showed; an outdated server may have answered. */
const CONFIRM_MS = 100;

/** What was known when a call began. */
export interface Known extends types.RegistryPosition {
  /** Revisions of the known items, by key. */
  readonly items: ReadonlyMap<string, number>;
}

/** What an answer lacks. */
interface Evidence {
  /** Key of an item that is older than known; `undefined` if the platform's revision is. */
  readonly key: string | undefined;
  readonly known: number;
  readonly answered: number;
}

/** Dependencies of a `RewindDetector`. */
export interface RewindDetectorOptions<Value> {
  readonly name: string;
  readonly view: registryView.RegistryView<Value>;
  readonly unnamed: unnamedAnswers.UnnamedAnswers;
  readonly clock: clocks.Clock;
  readonly log: telemetry.EventLog;
  readonly metrics: telemetry.Metrics;
}

/** Puts the answers of the platform into the epochs of one view. */
export class RewindDetector<Value> {
  readonly #options: RewindDetectorOptions<Value>;
  /** Newest change of which a peer told, in the newest epoch. */
  #told: types.RegistryPosition = { epoch: 0, revision: 0 };

  constructor(options: RewindDetectorOptions<Value>) {
    this.#options = options;
  }

  /** Returns what is known now; call before the platform is asked for a snapshot. */
  createKnown(): Known {
    const items = new Map(this.#options.view.list().map((item) => [item.key, item.revision]));
    return { ...this.createKnownPosition(), items };
  }

  /** Returns the point in the platform's history that is known to be reached; call before the platform is asked for changes. */
  createKnownPosition(): types.RegistryPosition {
    const { epoch, rewinds, revision, newestRevision } = this.#options.view;
    const told =
      epochs.compareEpochs(this.#told, this.#options.view) === 0 ? this.#told : undefined;
    return { epoch, rewinds, revision: Math.max(revision, newestRevision, told?.revision ?? 0) };
  }

  /** Records the newest change that a peer knows. What this VM cannot pull may be lost, which the platform then shows. */
  recordTold(position: types.RegistryPosition): void {
    const order = epochs.compareEpochs(position, this.#told);
    if (order > 0 || (order === 0 && position.revision > this.#told.revision))
      this.#told = position;
  }

  /**
   * Returns a snapshot of the platform with its epoch, or a second one, which is read if the first lacks what was known; `undefined`
   * if the view's epoch changed meanwhile, so that the platform has to be asked again.
   *
   * @throws when the answer is of an older epoch, or as `readAgain` does.
   */
  async verifySnapshot(
    known: Known,
    first: types.RegistrySnapshot<Value>,
    readAgain: () => Promise<types.RegistrySnapshot<Value>>,
  ): Promise<types.RegistrySnapshot<Value> | undefined> {
    const { clock, metrics } = this.#options;
    const placed = this.#verifyEpoch(known, first);
    const evidence = placed?.epoch === known.epoch ? findEvidence(known, placed) : undefined;
    if (evidence === undefined) return placed;
    this.#writeFinding("seen", known, evidence);
    await clocks.sleep(clock, CONFIRM_MS);
    const second = this.#verifyEpoch(known, await readAgain());
    if (second?.epoch !== known.epoch) return second;
    const confirmed = findEvidence(known, second);
    this.#writeFinding(confirmed === undefined ? "discarded" : "confirmed", known, {
      ...evidence,
      ...confirmed,
    });
    if (confirmed === undefined) return second;
    metrics.count("registry_rewinds");
    return { ...second, rewinds: (known.rewinds ?? 0) + 1 };
  }

  /**
   * Returns the changes after a known point; `undefined` if they do not tell all that changed since, so that a snapshot has to be
   * read.
   *
   * @throws when the answer is of an older epoch.
   */
  verifyChanges(
    known: types.RegistryPosition,
    changes: types.RegistryChanges<Value> | undefined,
  ): types.RegistryChanges<Value> | undefined {
    if (changes === undefined) return undefined;
    const placed = this.#verifyEpoch(known, changes);
    const isContinued = placed?.epoch === known.epoch && placed.revision >= known.revision;
    return isContinued ? placed : undefined;
  }

  /** @throws when the answer is of an older epoch than the view: it is that of an outdated platform, or of none. */
  #verifyEpoch<Answer extends types.EpochPart>(
    known: types.EpochPart,
    answer: Answer,
  ): (Answer & types.EpochPart) | undefined {
    const { view, unnamed } = this.#options;
    const { epoch = 0 } = answer;
    if (epoch > 0) unnamed.recordNamed();
    else if (view.epoch > 0 && unnamed.recordUnnamed()) this.#writeTaken();
    // The view adds its part.
    if (epoch > view.epoch) return answer;
    const isTaken = epoch === view.epoch || (epoch === 0 && unnamed.isTaken);
    if (!isTaken)
      throw new Error(`platform answered in epoch ${epoch}, but epoch ${view.epoch} is known`);
    if (epochs.compareEpochs(known, view) !== 0) return undefined;
    return { ...answer, epoch: view.epoch, rewinds: view.rewinds };
  }

  #writeTaken(): void {
    const { log, name, view } = this.#options;
    const { epoch, rewinds, revision } = view;
    const fields = { what: name, epoch, rewinds, revision };
    log.write(logEvents.LOG_EVENTS.registryUnnamedTaken, fields);
  }

  #writeFinding(finding: string, known: types.EpochPart, evidence: Evidence): void {
    const { log, name } = this.#options;
    const { epoch, rewinds } = known;
    const fields = { what: name, finding, epoch, rewinds, ...evidence };
    log.write(logEvents.LOG_EVENTS.registryRewound, fields);
  }
}

/** Returns in what a snapshot reflects less than was known when its call began. */
function findEvidence(
  known: Known,
  { revision, items }: types.RegistrySnapshot<unknown>,
): Evidence | undefined {
  if (revision < known.revision)
    return { key: undefined, known: known.revision, answered: revision };
  for (const item of items) {
    const before = known.items.get(item.key) ?? 0;
    if (item.revision < before) return { key: item.key, known: before, answered: item.revision };
  }
  return undefined;
}
