/** Finds out whether this VM reaches runners, by queries that take no slot and that every runner answers at once. */
import type * as gateway from "../gateway/types.js";
import * as clocks from "../kernel/clock.js";
import type * as random from "../kernel/random.js";
import type * as runnerCalls from "../runners/runner-calls.js";
import type * as runners from "../runners/types.js";
import type * as telemetry from "../telemetry/types.js";
import * as upstream from "../upstream/types.js";
import * as pathDecision from "./path-decision.js";
import * as pathEvidence from "./path-evidence.js";

/** Time limit of an attempt; within a region it takes a few milliseconds. */
const ATTEMPT_LIMIT_MS = 250;
/** Lateness of a time limit from which on this process is short of processor time, so that it may not have read an answer yet. */
const MAX_LAG_MS = 20;
/** Time to read an answer then. */
const LAG_EXTENSION_MS = 50;
/** Lateness from which on this process was paused, and the attempt shows nothing. */
const MIN_PAUSE_MS = 1_000;
/** Time after which further runners are tried beside the first. */
const HEDGE_MS = 100;
/** Limit on the attempts of one check. */
const MAX_PROBES = 8;
/** Limit on the other runners that this VM tries to see whether it reaches any. */
const MAX_OTHERS = 2;
/** Age up to which a new connection shows that new ones can be made. */
const FRESH_MS = 250;

const { ATTEMPT_RESULT } = pathEvidence;

/** How an attempt is made. */
export interface AttemptOptions {
  readonly limitMs: number;
  /** Whether a kept connection may be used. */
  readonly isKept: boolean;
}

/** Tries to reach a runner. */
export type Attempt = (
  runner: runners.Runner,
  options: AttemptOptions,
) => Promise<pathEvidence.AttemptResult>;

/**
 * Creates the function that queries a runner. A connection alone proves nothing: what is on the way, or the operating
 * system of a machine that does not run, may accept it.
 */
export function createAttempt(
  clock: clocks.Clock,
  calls: Pick<runnerCalls.RunnerCalls, "sendMessage">,
  codec: Pick<gateway.RunnerCodec, "formatReport">,
): Attempt {
  return async (runner, { limitMs, isKept }) => {
    using limit = createLagTolerantLimit(clock, limitMs);
    const message = { ...codec.formatReport(runner), newConnection: !isKept };
    try {
      await calls.sendMessage(runner, message, MIN_PAUSE_MS, limit.signal);
      return ATTEMPT_RESULT.connected;
    } catch (error) {
      const { notConnected } = upstream.UPSTREAM_FAILURE;
      const isUnsent = error instanceof upstream.UpstreamError && error.failure === notConnected;
      if (!isUnsent) return ATTEMPT_RESULT.unanswered;
      return limit.signal.aborted ? ATTEMPT_RESULT.timedOut : ATTEMPT_RESULT.refused;
    }
  };
}

/** Creates a signal that aborts after `limitMs`, or a little later if the event loop is late. */
function createLagTolerantLimit(clock: clocks.Clock, limitMs: number): clocks.TimeLimit {
  const controller = new AbortController();
  const wait = (delayMs: number): (() => void) => {
    const dueAt = clock.now() + delayMs;
    return clock.schedule(delayMs, () => {
      if (clock.now() - dueAt > MAX_LAG_MS) cancel = wait(LAG_EXTENSION_MS);
      else controller.abort(new Error(`no answer within ${limitMs} ms`));
    });
  };
  let cancel = wait(limitMs);
  return {
    signal: controller.signal,
    [Symbol.dispose]: () => {
      cancel();
    },
  };
}

/** Services that `PathCheck` uses. */
export interface PathCheckOptions {
  readonly clock: clocks.Clock;
  readonly random: random.RandomSource;
  readonly metrics: telemetry.Metrics;
  readonly evidence: pathEvidence.PathEvidence;
  readonly attempt: Attempt;
}

/** What a check found. */
export interface PathFindings {
  /** Stages of which no runner was reached. */
  readonly missing: readonly runners.Stage[];
  /** Whether a runner of these accepted a connection and did not answer. */
  readonly isSilent: boolean;
  /** Whether all attempts show something. */
  readonly isConclusive: boolean;
}

interface Search {
  readonly findings: Promise<PathFindings>;
  /** Monotonic time of its end; `Infinity` while it is under way. */
  endedAt: number;
}

const NONE_MISSING: PathFindings = { missing: [], isSilent: false, isConclusive: true };

/** Tries to reach runners, and records what that shows. */
export class PathCheck {
  readonly #options: PathCheckOptions;
  /** The last search of each service. */
  readonly #searches = new Map<string, Search>();

  constructor(options: PathCheckOptions) {
    this.#options = options;
  }

  /**
   * Finds the stages of a service of which no runner can be reached over a new connection. One runner of a stage is tried
   * first, and further ones if that is not reached at once.
   *
   * @param listed - the runners of the service.
   */
  findMissing(listed: readonly runners.Runner[]): Promise<PathFindings> {
    const search: Search = { findings: this.#search(listed), endedAt: Infinity };
    const onEnd = (): void => {
      search.endedAt = this.#options.clock.now();
    };
    search.findings.then(onEnd, onEnd);
    const [first] = listed;
    if (first !== undefined) this.#searches.set(first.service, search);
    return search.findings;
  }

  /** Returns the findings of a search that is under way or ended at `since` or later, else those of a new one. */
  async findMissingSince(listed: readonly runners.Runner[], since: number): Promise<PathFindings> {
    const known = this.#searches.get(listed[0]?.service ?? "");
    const findings =
      known !== undefined && known.endedAt >= since ? await known.findings : undefined;
    return findings?.isConclusive === true ? findings : await this.findMissing(listed);
  }

  async #search(listed: readonly runners.Runner[]): Promise<PathFindings> {
    const { clock, evidence, random: source } = this.#options;
    const since = clock.now() - FRESH_MS;
    const stages = pathDecision.listStages(listed);
    const find = (): readonly runners.Stage[] =>
      pathDecision.findMissingStages(stages, ({ id }) => evidence.isConnectedSince(id, since));
    const isDone = (): boolean => find().length === 0;
    if (isDone()) return NONE_MISSING;
    const first = find().flatMap((stage) => this.#chooseFirst(stages.get(stage) ?? []));
    const probes = first.map((runner) => this.probe(runner));
    await waitFor(probes, isDone, clocks.sleep(clock, HEDGE_MS));
    if (isDone()) return NONE_MISSING;
    const others = find()
      .flatMap((stage) => stages.get(stage) ?? [])
      .filter((runner) => !first.includes(runner));
    const further = pathDecision.chooseTargets(others, MAX_PROBES - first.length, source);
    probes.push(...further.map((runner) => this.probe(runner)));
    await waitFor(probes, isDone);
    if (isDone()) return NONE_MISSING;
    const probed = pathDecision.listStages([...first, ...further]);
    const unanswered = pathDecision.findMissingStages(probed, ({ id }) =>
      evidence.isReachedSince(id, since),
    );
    const results = await Promise.all(probes);
    return {
      missing: find().filter((stage) => unanswered.includes(stage)),
      isSilent: results.includes(ATTEMPT_RESULT.unanswered),
      isConclusive: !results.includes(ATTEMPT_RESULT.unknown),
    };
  }

  /** Tries to reach a runner, by default over a new connection, and records the result. */
  async probe(
    runner: runners.Runner,
    options: AttemptOptions = { limitMs: ATTEMPT_LIMIT_MS, isKept: false },
  ): Promise<pathEvidence.AttemptResult> {
    const { clock, evidence, attempt, metrics } = this.#options;
    const startedAt = clock.now();
    const stated = await attempt(runner, options);
    const isLate = clock.now() - startedAt > options.limitMs + MIN_PAUSE_MS;
    const isUnreached = stated !== ATTEMPT_RESULT.connected;
    const result = isUnreached && isLate ? ATTEMPT_RESULT.unknown : stated;
    metrics.count("path_attempts", { result });
    // An answer over a kept connection is recorded as that by the call itself.
    const isAnswered = options.isKept && result === ATTEMPT_RESULT.connected;
    if (!isAnswered) evidence.recordAttempt(runner.id, result, startedAt);
    return result;
  }

  /** Whether this VM reaches, or has reached at `since` or later, a runner other than the one with the given id. */
  async canReachOther(
    id: string,
    listed: readonly runners.Runner[],
    since: number,
  ): Promise<boolean> {
    const { evidence, random: source } = this.#options;
    const others = listed.filter((runner) => runner.id !== id);
    if (others.some((runner) => evidence.isReachedSince(runner.id, since))) return true;
    const targets = pathDecision.chooseTargets(others, MAX_OTHERS, source);
    const results = await Promise.all(targets.map((runner) => this.probe(runner)));
    return results.includes(ATTEMPT_RESULT.connected);
  }

  /** Chooses one runner, one that could be reached before if there is any. */
  #chooseFirst(members: readonly runners.Runner[]): readonly runners.Runner[] {
    const { evidence, random: source } = this.#options;
    const reachable = members.filter(({ id }) => evidence.isReachable(id));
    return pathDecision.chooseTargets(reachable.length > 0 ? reachable : members, 1, source);
  }
}

/** Waits until `isDone`, all probes have ended, or `limit` resolves. */
async function waitFor(
  probes: readonly Promise<unknown>[],
  isDone: () => boolean,
  limit = new Promise<void>(() => undefined),
): Promise<void> {
  const state = { isOver: false };
  const over = limit.then(() => {
    state.isOver = true;
  });
  const pending = new Set(probes);
  for (const probe of probes) void probe.finally(() => pending.delete(probe));
  while (pending.size > 0 && !state.isOver && !isDone()) await Promise.race([...pending, over]);
}
