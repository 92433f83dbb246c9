/** Finds out from other VMs whether a runner that this VM does not reach has ended, or only the path to it is lost. */
import type * as clocks from "../kernel/clock.js";
import type * as runnerTable from "../runners/runner-table.js";
import type * as runners from "../runners/types.js";
import type * as pathCalls from "./path-calls.js";
import type * as pathCheck from "./path-check.js";
import * as pathDecision from "./path-decision.js";

/** Time for which a verdict holds. */
const VERDICT_TTL_MS = 500;
/** Age up to which evidence shows that a VM reaches other runners. */
const FRESH_MS = 1_000;

/** Services that `RunnerVerdicts` uses. */
export interface RunnerVerdictsOptions {
  readonly clock: clocks.Clock;
  readonly runners: runnerTable.RunnerTable;
  readonly check: pathCheck.PathCheck;
  /** Asks other VMs to try to reach a runner. */
  readonly probeElsewhere: pathCalls.PathPeers["probeRunner"];
}

interface Verdict {
  readonly expiresAt: number;
  readonly verdict: Promise<pathDecision.RunnerVerdict>;
}

/** Verdicts on starts of runners that this VM does not reach. */
export class RunnerVerdicts {
  readonly #options: RunnerVerdictsOptions;
  readonly #verdicts = new Map<string, Verdict>();
  /** Ids of runners that other VMs reach, until this VM reaches them again. */
  readonly #reachedElsewhere = new Set<string>();

  constructor(options: RunnerVerdictsOptions) {
    this.#options = options;
  }

  /** Returns the verdict on a runner that this VM has just failed to reach; it holds for some time. */
  findVerdict(runner: runners.Runner): Promise<pathDecision.RunnerVerdict> {
    const now = this.#options.clock.now();
    const start = `${runner.id}@${runner.bornAt}`;
    const known = this.#verdicts.get(start);
    if (known !== undefined && now < known.expiresAt) return known.verdict;
    const verdict = this.#readVerdict(runner);
    this.#removeExpired(now);
    this.#verdicts.set(start, { expiresAt: now + VERDICT_TTL_MS, verdict });
    return verdict;
  }

  /** Whether other VMs reach a runner that this VM did not reach when it last tried. */
  isReachedElsewhere(id: string): boolean {
    return this.#reachedElsewhere.has(id);
  }

  /** Records that this VM reaches a runner, or that it is no longer listed; returns whether only others had reached it. */
  remove(id: string): boolean {
    return this.#reachedElsewhere.delete(id);
  }

  /** Tries to reach a runner for another VM. */
  async probeForPeer(id: string, bornAt: number): Promise<pathDecision.RunnerAnswer> {
    const { runners: table, check } = this.#options;
    const runner = table.find(id)?.runner;
    const isListed = runner?.bornAt === bornAt;
    const [result, reachesOther] = await Promise.all([
      isListed ? check.probe(runner) : undefined,
      this.#canReachOther(id),
    ]);
    return { result, reachesOther };
  }

  async #readVerdict(runner: runners.Runner): Promise<pathDecision.RunnerVerdict> {
    const answers = await this.#options.probeElsewhere(runner);
    const reachesOther = answers.length === 0 && (await this.#canReachOther(runner.id));
    const verdict = pathDecision.chooseVerdict(answers, reachesOther);
    if (verdict === pathDecision.RUNNER_VERDICT.reachedElsewhere)
      this.#reachedElsewhere.add(runner.id);
    else this.#reachedElsewhere.delete(runner.id);
    return verdict;
  }

  #canReachOther(id: string): Promise<boolean> {
    const { clock, runners: table, check } = this.#options;
    const listed = [...table.listUsableByService().values()].flat();
    return check.canReachOther(id, listed, clock.now() - FRESH_MS);
  }

  #removeExpired(now: number): void {
    for (const [start, { expiresAt }] of this.#verdicts)
      if (expiresAt <= now) this.#verdicts.delete(start);
  }
}
