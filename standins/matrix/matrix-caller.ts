/**
 * A caller that follows the API contract and records every answer. `sendDuplicates` sends every
 * request id again to each given VM, which must not run the request again.
 */
import * as clocks from "../../src/kernel/clock.js";
import * as codes from "../../src/protocol/result-codes.js";
import type * as router from "./router.js";

/** A caller closes its connection this long after the request's deadline. */
const DEADLINE_MARGIN_MS = 2000;
/** A caller closes the connection of a stream after this long without a token. */
const STREAM_IDLE_TIMEOUT_MS = 6000;
const MAX_ROUNDS = 8;
const RETRY_DELAY_MS = 100;

/** The request that a caller sends, under one or more ids. */
export interface Workload {
  readonly path: "plain" | "model";
  readonly body: string;
  readonly deadlineMs: number;
  /** Whether the caller may send the request again after an unknown outcome. */
  readonly isRepeatable: boolean;
}

/** A token as the caller received it. */
export interface ReceivedToken {
  readonly offset: number;
  readonly text: string;
}

/** How an attempt ended, as the caller saw it. */
export const ANSWER = {
  success: "success",
  refusal: "refusal",
  /** The connection broke before a complete answer. */
  broken: "broken",
  /** The caller closed the connection: the deadline passed, the stream was idle, or it cancelled. */
  timeout: "timeout",
} as const;

/** An attempt and its answer. */
export interface AttemptRecord {
  readonly vm: string;
  readonly id: string;
  readonly body: string;
  readonly startedAt: number;
  readonly endedAt: number;
  /** Whether `vm` was healthy at the start and the end, so the caller must have received a response. */
  readonly isEntryHealthy: boolean;
  readonly isDuplicate: boolean;
  readonly isCancelled: boolean;
  readonly answer: (typeof ANSWER)[keyof typeof ANSWER];
  readonly code: number | undefined;
  readonly ran: codes.Ran | undefined;
  readonly text: string | undefined;
  /** Tokens received, also those of an incomplete stream. */
  readonly tokens: readonly ReceivedToken[];
  /** How often upstreams had begun to run the id when the attempt ended. */
  readonly executions: number;
}

/** What a caller needs from its surroundings: a clock, the nodes, and the upstreams' counts. */
export interface CallerEnvironment {
  readonly clock: clocks.Clock;
  /** Returns the VMs and a session from the first node that responds to an address lookup. */
  readAddress(): Promise<{ readonly vms: readonly string[]; readonly session: string } | undefined>;
  /**
   * Sends a request to a node; rejects with `RequestError`, or any other error when the connection
   * breaks.
   */
  send(
    vm: string,
    request: router.MatrixRequest,
    signal: AbortSignal,
    onToken: (token: ReceivedToken) => void,
  ): Promise<string>;
  countExecutions(id: string): number;
  isHealthy(vm: string): boolean;
}

/** Sends one request, with the retries that the contract asks for. */
export class MatrixCaller {
  readonly attempts: AttemptRecord[] = [];
  readonly workload: Workload;
  readonly #environment: CallerEnvironment;
  readonly #concurrentCopies: Promise<AttemptRecord>[] = [];
  #attempt = 0;
  #sequence = 0;
  #cancellation = new AbortController();
  #id = "";

  constructor(environment: CallerEnvironment, workload: Workload) {
    this.#environment = environment;
    this.workload = workload;
  }

  /** Cancels the attempt in progress, as when a caller closes its connection. */
  cancel(): void {
    this.#cancellation.abort(new Error("caller closed"));
  }

  /** Sends the request again under the same id, concurrently with the attempt in progress. */
  sendRetry(vm: string): void {
    this.#concurrentCopies.push(this.#send(vm, this.#id, new AbortController().signal, false));
  }

  /**
   * Sends to `firstVm`, then to the nodes of a new address lookup, until an answer is final or
   * `MAX_ROUNDS` rounds have failed.
   */
  async run(firstVm: string, firstSession: string, firstVms: readonly string[]): Promise<void> {
    this.#id = this.#createId(firstSession);
    let vm = firstVm;
    let vms = firstVms;
    for (let count = 1; count <= MAX_ROUNDS; count += 1) {
      this.#cancellation = new AbortController();
      const record = await this.#send(vm, this.#id, this.#cancellation.signal, false);
      const copies = await Promise.all(this.#concurrentCopies);
      if ([record, ...copies].some((each) => this.#isFinal(each))) return;
      await clocks.sleep(this.#environment.clock, RETRY_DELAY_MS);
      const address = await this.#environment.readAddress();
      vms = address?.vms ?? vms;
      const needsNewId = record.ran === codes.RAN.no && !this.workload.isRepeatable;
      if (needsNewId && address) this.#id = this.#createId(address.session);
      vm = vms[this.#attempt % vms.length] ?? vm;
    }
  }

  /**
   * Whether the caller sends no further attempt: after a success, when the request is quarantined,
   * when it cancelled a repeatable request, or when the outcome of a non-repeatable one is unknown.
   * A caller that cancelled a non-repeatable request retries until the response is something
   * other than `callerGone`.
   */
  #isFinal(record: AttemptRecord): boolean {
    if (record.answer === ANSWER.success) return true;
    if (record.code === codes.RESULT_CODES.quarantined.number) return true;
    if (this.workload.isRepeatable) return record.isCancelled;
    return record.ran === codes.RAN.unknown && record.code !== codes.RESULT_CODES.callerGone.number;
  }

  /** Sends every id that was used once more to each of `vms`. */
  async sendDuplicates(vms: readonly string[]): Promise<void> {
    const ids = new Set(this.attempts.map(({ id }) => id));
    for (const id of ids) {
      for (const vm of vms) await this.#send(vm, id, new AbortController().signal, true);
    }
  }

  #createId(session: string): string {
    this.#sequence += 1;
    return `${session}.${this.#sequence}`;
  }

  async #send(
    vm: string,
    id: string,
    signal: AbortSignal,
    isDuplicate: boolean,
  ): Promise<AttemptRecord> {
    this.#attempt += 1;
    const { clock } = this.#environment;
    const { body, deadlineMs, path } = this.workload;
    const startedAt = clock.now();
    const wasHealthy = this.#environment.isHealthy(vm);
    const request = { path, id, attempt: this.#attempt, body, deadlineMs };
    const result = await this.#receive(vm, request, signal);
    const record: AttemptRecord = {
      vm,
      id,
      body,
      startedAt,
      endedAt: clock.now(),
      isEntryHealthy: wasHealthy && this.#environment.isHealthy(vm),
      isDuplicate,
      isCancelled: signal.aborted,
      executions: this.#environment.countExecutions(id),
      ...result,
    };
    this.attempts.push(record);
    return record;
  }

  async #receive(
    vm: string,
    request: router.MatrixRequest,
    cancelled: AbortSignal,
  ): Promise<Pick<AttemptRecord, "answer" | "code" | "ran" | "text" | "tokens">> {
    const tokens: ReceivedToken[] = [];
    const emptyResult = { code: undefined, ran: undefined, text: undefined, tokens };
    using timeout = this.#createTimeout(request.deadlineMs, cancelled);
    const onToken = (token: ReceivedToken): void => {
      tokens.push(token);
      timeout.renew();
    };
    try {
      const text = await this.#environment.send(vm, request, timeout.signal, onToken);
      return { ...emptyResult, answer: ANSWER.success, text };
    } catch (error) {
      if (timeout.signal.aborted) return { ...emptyResult, answer: ANSWER.timeout };
      if (!(error instanceof codes.RequestError)) return { ...emptyResult, answer: ANSWER.broken };
      return { ...emptyResult, answer: ANSWER.refusal, code: error.code.number, ran: error.ran };
    }
  }

  /**
   * Creates a timeout that aborts on cancellation, `DEADLINE_MARGIN_MS` after the deadline, and for
   * a stream also after `STREAM_IDLE_TIMEOUT_MS` without a token.
   */
  #createTimeout(deadlineMs: number, cancelled: AbortSignal): CallerTimeout {
    const { clock } = this.#environment;
    const limit = clocks.createTimeLimit(clock, deadlineMs + DEADLINE_MARGIN_MS, cancelled);
    const idle = new AbortController();
    const signal = AbortSignal.any([limit.signal, idle.signal]);
    let cancelIdleTimer: () => void = () => undefined;
    const renew = (): void => {
      cancelIdleTimer();
      cancelIdleTimer = clock.schedule(STREAM_IDLE_TIMEOUT_MS, () => {
        idle.abort(new Error(`no token within ${STREAM_IDLE_TIMEOUT_MS} ms`));
      });
    };
    if (this.workload.path === "model") renew();
    const dispose = (): void => {
      cancelIdleTimer();
      limit[Symbol.dispose]();
      idle.abort(new Error("connection closed"));
    };
    return { signal, renew, [Symbol.dispose]: dispose };
  }
}

interface CallerTimeout extends Disposable {
  readonly signal: AbortSignal;
  renew(): void;
}
