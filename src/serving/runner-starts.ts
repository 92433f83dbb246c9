/**
 * Runs by start of a runner. A run that ended without an answer stays listed until it is known whether its runner
 * ended with it: from the runner's answers, a refused connection, or the registry.
 */
import type * as clocks from "../kernel/clock.js";
import type * as runnerTable from "../runners/runner-table.js";
import type * as runners from "../runners/types.js";

/** Time that a runner takes at least to start again; an answer within it comes from the same process. */
const MIN_RESTART_MS = 500;
/**
 * Time after an answer until which the registry may still list the previous process at the address.
 */
const REGISTRY_LAG_MS = 1_500;
/** Time for which an answer may have been under way when its runner ended. */
const ANSWER_TRANSIT_MS = 50;
/** Time after which a run whose outcome remains unknown is forgotten. */
const UNSETTLED_LIMIT_MS = 30_000;

/**
 * Time after its first event at which an answer shows that the request does not crash its runner: one that does ends the
 * runner when it begins to answer.
 */
const STEADY_ANSWER_MS = 250;

/** A run of a request at a runner. */
export interface Run {
  /** Hashes of the traits of the request. */
  readonly traits: readonly string[];
  /** Time at which the run was sent. */
  readonly sentAt: number;
  /** Time of the first event of the response. */
  firstEventAt: number | undefined;
  /** Whether the runner answered for long enough to show that it does not crash under the request. */
  isCleared: boolean;
  /** Time at which the run ended without an answer. */
  endedAt: number | undefined;
  /** Time of the first answer of the runner to something sent after the end of the run. */
  answeredAt: number | undefined;
  /** Called once when the outcome is known, or when it is given up on. */
  onSettled: () => void;
}

/** The runs that the end of a process interrupted. */
export interface InterruptedRuns {
  /** Traits of the requests that may have caused the end. */
  readonly traits: readonly string[];
  /** Time at which the first of the runs ended. */
  readonly endedAt: number;
}

/** Creates a run that has just begun. */
export function createRun(traits: readonly string[], sentAt: number): Run {
  return {
    traits,
    sentAt,
    firstEventAt: undefined,
    isCleared: false,
    endedAt: undefined,
    answeredAt: undefined,
    onSettled: () => undefined,
  };
}

/** One start of a runner, with its runs. */
export class RunnerStart {
  readonly runner: runners.Runner;
  readonly #clock: clocks.Clock;
  readonly #table: Pick<runnerTable.RunnerTable, "find" | "isSuperseded">;
  readonly #inProgress = new Set<Run>();
  readonly #unsettled = new Set<Run>();
  #lastAnsweredAt = -Infinity;
  #isLeaving: boolean;
  #unlistedAt: number | undefined;

  constructor(
    runner: runners.Runner,
    clock: clocks.Clock,
    table: Pick<runnerTable.RunnerTable, "find" | "isSuperseded">,
  ) {
    this.runner = runner;
    this.#clock = clock;
    this.#table = table;
    this.#isLeaving = runner.leaving;
  }

  /** Names the start; a runner that starts again may keep its id. */
  get name(): string {
    return formatStart(this.runner);
  }

  /** Whether the registry listed the runner as leaving. */
  get isLeaving(): boolean {
    return this.#isLeaving;
  }

  get isIdle(): boolean {
    return this.#inProgress.size === 0 && this.#unsettled.size === 0;
  }

  countUnsettled(): number {
    return this.#unsettled.size;
  }

  isUnsettled(run: Run): boolean {
    return this.#unsettled.has(run);
  }

  addRun(run: Run): void {
    this.#inProgress.add(run);
  }

  /** Removes a run that was answered or never sent. */
  removeRun(run: Run): void {
    this.#inProgress.delete(run);
  }

  /** Lists a run that ended without an answer as unsettled. */
  markUnanswered(run: Run): void {
    if (!this.#inProgress.delete(run)) return;
    run.endedAt = this.#clock.now();
    this.#unsettled.add(run);
  }

  /** Records an event of a response in progress; returns whether the run is cleared by it. */
  recordEvent(run: Run): boolean {
    const now = this.#clock.now();
    run.firstEventAt ??= now;
    this.#lastAnsweredAt = now;
    const isCleared = !run.isCleared && now - run.firstEventAt >= STEADY_ANSWER_MS;
    run.isCleared ||= isCleared;
    return isCleared;
  }

  /** Records an answer of the runner to something sent at `sentAt`. */
  recordAnswer(sentAt: number): void {
    const now = this.#clock.now();
    this.#lastAnsweredAt = now;
    for (const run of this.#unsettled) {
      const endedAt = run.endedAt ?? now;
      if (sentAt < endedAt) continue;
      run.answeredAt ??= now;
      if (sentAt < endedAt + MIN_RESTART_MS) this.settle(run);
    }
  }

  /** Ends the wait for the outcome of a run. */
  settle(run: Run): void {
    if (this.#unsettled.delete(run)) run.onSettled();
  }

  /** Settles a run if any answer of the runner arrived later than its own end allows for. */
  settleIfOutlived(run: Run): void {
    const endedAt = run.endedAt ?? this.#clock.now();
    if (this.#lastAnsweredAt - endedAt > ANSWER_TRANSIT_MS) this.settle(run);
  }

  /** Settles all unsettled runs because the same process is known to be running. */
  settleAll(): void {
    for (const run of [...this.#unsettled]) this.settle(run);
  }

  /** Settles runs that the runner outlived according to the registry, and those waiting for too long. */
  settleOutlived(): void {
    const now = this.#clock.now();
    for (const run of [...this.#unsettled]) {
      const isOutlived = run.answeredAt !== undefined && now - run.answeredAt >= REGISTRY_LAG_MS;
      if (isOutlived || now - (run.endedAt ?? now) >= UNSETTLED_LIMIT_MS) this.settle(run);
    }
  }

  /** Whether the registry shows that the process ended other than by leaving. */
  checkEnded(): boolean {
    const listed = this.#table.find(this.runner.id)?.runner;
    const isListed = listed?.bornAt === this.runner.bornAt;
    if (isListed && listed.leaving) this.#isLeaving = true;
    if (isListed && !this.#table.isSuperseded(this.runner.id)) {
      this.#unlistedAt = undefined;
      return false;
    }
    this.#unlistedAt ??= this.#clock.now();
    // A runner may leave without notice and serve on after its entry is removed.
    return !this.#isLeaving && this.#lastAnsweredAt < this.#unlistedAt;
  }

  /** Removes all runs that the end of the process interrupted. */
  shiftInterrupted(): InterruptedRuns {
    const runs = [...this.#unsettled, ...this.#inProgress];
    this.#inProgress.clear();
    this.settleAll();
    const endedAt = Math.min(...runs.map((run) => run.endedAt ?? Infinity), this.#clock.now());
    const traits = runs.filter((run) => !run.isCleared).flatMap((run) => run.traits);
    return { traits, endedAt };
  }
}

/** Names one start of a runner. */
export function formatStart(runner: runners.Runner): string {
  return `${runner.id}@${runner.bornAt}`;
}

/** Parses the name of a start. */
export function parseStart(name: string): { readonly id: string; readonly bornAt: number } {
  const separator = name.lastIndexOf("@");
  return { id: name.slice(0, separator), bornAt: Number(name.slice(separator + 1)) };
}
