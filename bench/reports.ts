/** Delayed load reports of the simulated runners, for routing policies without allocators. */
import type * as scenario from "./scenario.js";

/** Load report of one runner. */
export interface DelayedReport {
  /** Time of the sample; `-Infinity` before the first one. */
  readonly at: number;
  /** Running and waiting requests; only for decode runners. */
  readonly load: number;
  /** Prompt tokens queued or being computed; only for prefill runners. */
  readonly queuedTokens: number;
  readonly down: boolean;
}

const REPORT_PERIOD_MS = 500;
const NO_LOAD: DelayedReport = { at: -Infinity, load: 0, queuedTokens: 0, down: false };

/** Samples every runner periodically and makes each report visible `delayMs` later. */
export class DelayedReports {
  readonly #world: scenario.World;
  readonly #delayMs: number;
  readonly #visible = new Map<string, DelayedReport>();

  constructor(world: scenario.World, delayMs: number) {
    this.#world = world;
    this.#delayMs = delayMs;
    this.#sampleRunners();
  }

  /** Returns the newest visible report of a runner; one without load until the first is visible. */
  get(runner: string): DelayedReport {
    return this.#visible.get(runner) ?? NO_LOAD;
  }

  #sampleRunners(): void {
    const { clock, decodeRunners, prefillRunners } = this.#world;
    const at = clock.now();
    const reports = new Map<string, DelayedReport>();
    for (const runner of decodeRunners) {
      const load = runner.usedSlots + runner.waitingRequests;
      reports.set(runner.name, { at, load, queuedTokens: 0, down: runner.down });
    }
    for (const runner of prefillRunners) {
      const { queuedTokens, down } = runner;
      reports.set(runner.name, { at, load: 0, queuedTokens, down });
    }
    clock.schedule(this.#delayMs, () => {
      for (const [name, report] of reports) this.#visible.set(name, report);
    });
    clock.schedule(REPORT_PERIOD_MS, () => {
      this.#sampleRunners();
    });
  }
}
