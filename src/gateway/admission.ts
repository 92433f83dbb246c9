/**
 * Admits the requests of callers by what the processor can do. Few of them begin in a turn of the event loop, so that messages between
 * VMs, answers of runners and timers are handled between them; requests that would wait for long are refused at once.
 */
import type * as clocks from "../kernel/clock.js";
import type * as resultCodes from "../protocol/result-codes.js";
import * as answers from "../serving/answers.js";

/** Requests that begin in one turn of the event loop. */
const TURN_REQUESTS = 2;
/** Time for which a request waits for its turn at most. Questions between VMs are given up after as long. */
export const MAX_WAIT_MS = 250;
const REFUSAL_TEXT = "the processor of this VM is full";

/** A request that waits for its turn. */
interface WaitingRequest {
  readonly since: number;
  readonly onTurn: () => void;
  readonly onRefused: (refusal: resultCodes.RequestError) => void;
}

/** Dependencies of an `Admission`. */
export interface AdmissionOptions {
  readonly clock: clocks.Clock;
  /** Calls a function in the next turn of the event loop, after what can be read has been read. */
  readonly runNextTurn?: (callback: () => void) => void;
  /** Called with each refusal. */
  readonly onRefused?: () => void;
}

/** Decides when requests begin, in the order of their arrival. */
export class Admission {
  readonly #options: AdmissionOptions;
  readonly #waiting: WaitingRequest[] = [];
  #isScheduled = false;

  constructor(options: AdmissionOptions) {
    this.#options = options;
  }

  /** Whether requests wait for so long that further ones are refused. */
  get isFull(): boolean {
    const oldest = this.#waiting[0];
    return oldest !== undefined && this.#options.clock.now() - oldest.since > MAX_WAIT_MS;
  }

  /**
   * Waits for the turn of a request.
   *
   * @throws RequestError when it would have to wait for more than `MAX_WAIT_MS`; it has not run.
   */
  async waitForTurn(): Promise<void> {
    if (this.isFull) throw this.#createRefusal();
    const turn = new Promise<void>((onTurn, onRefused) => {
      this.#waiting.push({ since: this.#options.clock.now(), onTurn, onRefused });
    });
    this.#scheduleTurn();
    await turn;
  }

  #scheduleTurn(): void {
    if (this.#isScheduled) return;
    this.#isScheduled = true;
    const { runNextTurn = setImmediate } = this.#options;
    runNextTurn(() => {
      this.#isScheduled = false;
      this.#runTurn();
    });
  }

  #runTurn(): void {
    const { clock } = this.#options;
    for (const { since, onTurn, onRefused } of this.#waiting.splice(0, TURN_REQUESTS)) {
      if (clock.now() - since > MAX_WAIT_MS) onRefused(this.#createRefusal());
      else onTurn();
    }
    if (this.#waiting.length > 0) this.#scheduleTurn();
  }

  #createRefusal(): resultCodes.RequestError {
    this.#options.onRefused?.();
    return answers.createRefusal(MAX_WAIT_MS, REFUSAL_TEXT);
  }
}
