/** Counters outside the router that tell what an engine really did. */
import type * as upstream from "../../src/upstream/types.js";

const MAX_IDS = 100_000;

/** How often an id was executed. */
export interface Executions {
  prefills: number;
  decodes: number;
}

/** What an engine reports to the judge of a test. */
export interface EngineReport {
  readonly name: string;
  /** Requests that hold a slot, or a result in memory, now. */
  readonly slotsHeld: readonly upstream.AttemptId[];
  readonly piecesHeld: number;
  readonly queued: readonly upstream.AttemptId[];
  readonly executions: Readonly<Record<string, Readonly<Executions>>>;
  /** Prompt tokens computed. */
  readonly prefillTokens: number;
  /** Computed tokens whose result was never used. */
  readonly wastedPrefillTokens: number;
  /** Computed tokens of requests cancelled while their result was under way; not in the waste. */
  readonly cancelledPrefillTokens: number;
  readonly outputTokens: number;
  readonly cancels: number;
  readonly refusals: number;
  readonly peakSlots: number;
  /** Requests cut off by an order to load something else. */
  readonly cutByOrders: number;
  /** Continuations that were not what the model had generated. */
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

  /** Counts one execution of an id. */
  recordExecution(id: string, kind: keyof Executions): void {
    const executions = this.#executions.get(id) ?? { prefills: 0, decodes: 0 };
    executions[kind] += 1;
    if (this.#executions.size < MAX_IDS) this.#executions.set(id, executions);
  }

  /** Returns the executions of an id. */
  getExecutions(id: string): Readonly<Executions> {
    return this.#executions.get(id) ?? { prefills: 0, decodes: 0 };
  }

  /** Creates the report, with what the engine holds at this moment. */
  createReport(
    held: Pick<EngineReport, "name" | "slotsHeld" | "piecesHeld" | "queued">,
  ): EngineReport {
    return {
      ...held,
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
