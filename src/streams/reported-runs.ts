/**
 * Software versions of the runs that runners report. A runner goes on with a stream whose VM lost its power or its memory,
 * so its report may be all that is left of where the stream began.
 */
import * as lru from "lru-cache";
import type * as gateway from "../gateway/types.js";
import type * as clocks from "../kernel/clock.js";
import type * as runners from "../runners/types.js";

/** Time for which a run is kept after it was last reported; a caller resumes its stream within it. */
const RUN_LIFETIME_MS = 60_000;
/** Limit on the runs kept; the one that was not reported for longest is evicted first. */
const MAX_RUNS = 20_000;

interface KeptRun {
  /** Usually one; several if the request ran at runners of several versions. */
  readonly versions: ReadonlySet<string>;
  readonly reportedAt: number;
}

/** Bounded table of the reported runs that have made events, by client attempt. */
export class ReportedRuns {
  readonly #clock: clocks.Clock;
  readonly #runs = new lru.LRUCache<string, KeptRun>({ max: MAX_RUNS });

  constructor(clock: clocks.Clock) {
    this.#clock = clock;
  }

  /** Records the runs in a report, if it is from the listed start of the runner, whose version is known. */
  record(runner: runners.Runner, report: Pick<gateway.EngineReport, "bornAt" | "runs">): void {
    const { softwareVersion, bornAt } = runner;
    if (softwareVersion === undefined || report.bornAt !== bornAt) return;
    const reportedAt = this.#clock.now();
    for (const { callId, events } of report.runs) {
      if (events === 0) continue;
      const versions = new Set([...this.listVersions(callId), softwareVersion]);
      this.#runs.set(callId, { versions, reportedAt });
    }
  }

  /** Returns the versions of the runners that reported a run of a client attempt. */
  listVersions(attempt: string): readonly string[] {
    const kept = this.#runs.get(attempt);
    if (kept === undefined || this.#clock.now() - kept.reportedAt > RUN_LIFETIME_MS) return [];
    return [...kept.versions];
  }
}
