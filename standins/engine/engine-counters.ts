/** Counters of the work an engine did, independent of the router's own accounting. */
import type * as upstream from "../../src/upstream/types.js";

const MAX_IDS = 100_000;

/** Numbers of prefills and decodes executed for a request id. */
export interface Executions {
  prefills: number;
  decodes: number;
}

/** An engine's counters and the requests it holds, for the assertions of a test. */
export interface EngineReport {
  readonly name: string;
  /** Requests that currently hold a slot or a result in memory. */
  readonly slotsHeld: readonly upstream.AttemptId[];
  readonly piecesHeld: number;
  readonly queued: readonly upstream.AttemptId[];
  readonly executions: Readonly<Record<string, Readonly<Executions>>>;
  /** Prompt tokens computed, excluding those found in the prefix cache. */
  readonly prefillTokens: number;
  /** Computed tokens whose result was never used by a decode. */
  readonly wastedPrefillTokens: number;
  /** Computed tokens of prefills cancelled while running; not counted as wasted. */
  readonly cancelledPrefillTokens: number;
  readonly outputTokens: number;
  readonly cancels: number;
  readonly refusals: number;
  readonly peakSlots: number;
  /** Requests and results dropped by an order to load another model, version or role. */
  readonly cutByOrders: number;
  /**
   * Continuations that differ from the model's output, or whose length from the decode's offset.
   */
  readonly badContinuations: number;
  readonly crashes: number;
}

/** Mutable counters of one engine. */
export class EngineCounters {
  prefillTokens = 0;
  wastedPrefillTokens = 0;
  cancelledPrefillTokens = 0;
  outputTokens = 0;
  cancels = 0;
  refusals = 0;
  peakSlots = 0;
  cutByOrders = 0;
  badContinuations = 0;
  crashes = 0;
  readonly #executions = new Map<string, Executions>();

  /** Counts one execution of an id; ids after the first `MAX_IDS` are not counted. */
  recordExecution(id: string, kind: keyof Executions): void {
    const executions = this.#executions.get(id) ?? { prefills: 0, decodes: 0 };
    executions[kind] += 1;
    if (this.#executions.size < MAX_IDS) this.#executions.set(id, executions);
  }

  /** Returns the executions of an id. */
  getExecutions(id: string): Readonly<Executions> {
    return this.#executions.get(id) ?? { prefills: 0, decodes: 0 };
  }

  /** Creates the report from the counters and the engine's current state. */
  createReport(
    engineState: Pick<EngineReport, "name" | "slotsHeld" | "piecesHeld" | "queued">,
  ): EngineReport {
    return {
      ...engineState,
      executions: Object.fromEntries(this.#executions),
      prefillTokens: this.prefillTokens,
      wastedPrefillTokens: this.wastedPrefillTokens,
      cancelledPrefillTokens: this.cancelledPrefillTokens,
      outputTokens: this.outputTokens,
      cancels: this.cancels,
      refusals: this.refusals,
      peakSlots: this.peakSlots,
      cutByOrders: this.cutByOrders,
      badContinuations: this.badContinuations,
      crashes: this.crashes,
    };
  }
}
