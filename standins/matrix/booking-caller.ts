/** A caller that follows the contract, keeps every answer, and at the end sends every id once more. */
import * as clocks from "../../src/kernel/clock.js";
import * as codes from "../../src/protocol/result-codes.js";
import type * as router from "./router.js";

const DEADLINE_MS = 5000;
/** A caller closes its connection this long after the deadline. */
const PATIENCE_MS = 2000;
const MAX_ATTEMPTS = 8;
const PAUSE_MS = 100;

/** How an attempt ended, as the caller saw it. */
export const ANSWER = {
  success: "success",
  refusal: "refusal",
  /** The connection broke; no answer. */
  broken: "broken",
  /** No answer in time. */
  timeout: "timeout",
} as const;

/** One attempt and its answer. */
export interface AttemptRecord {
  readonly vm: string;
  readonly id: string;
  readonly body: string;
  readonly startedAt: number;
  /** Whether the entry ran all the time, so that it owes an answer. */
  readonly isEntryHealthy: boolean;
  readonly isEcho: boolean;
  readonly isCancelled: boolean;
  readonly answer: (typeof ANSWER)[keyof typeof ANSWER];
  readonly code: number | undefined;
  readonly ran: codes.Ran | undefined;
  readonly text: string | undefined;
}

/** How a caller reaches the nodes. */
export interface CallerPorts {
  readonly clock: clocks.Clock;
  /** Asks one of `vms`, in order, for an address. */
  askAddress(): Promise<{ readonly vms: readonly string[]; readonly session: string } | undefined>;
  /** Sends to a node; rejects with `RequestError`, or any error when the connection breaks. */
  send(vm: string, request: router.BookingRequest, signal: AbortSignal): Promise<string>;
  isHealthy(vm: string): boolean;
}

/** Books once, however often it has to ask. */
export class BookingCaller {
  readonly attempts: AttemptRecord[] = [];
  readonly body: string;
  readonly #ports: CallerPorts;
  #attempt = 0;
  #sequence = 0;
  #cancel = new AbortController();
  #id = "";

  constructor(ports: CallerPorts, body: string) {
    this.#ports = ports;
    this.body = body;
  }

  /** Gives up the attempt in progress, as a caller that closes its connection. */
  cancel(): void {
    this.#cancel.abort(new Error("caller closed"));
  }

  /** Sends the id in use once more while the first attempt is in progress. */
  sendAgain(vm: string): Promise<AttemptRecord> {
    return this.#send(vm, this.#id, new AbortController().signal, false);
  }

  /** Books through `firstVm`, then by contract through others, until there is a final answer. */
  async book(firstVm: string, firstSession: string, firstVms: readonly string[]): Promise<void> {
    this.#id = this.#createId(firstSession);
    let vm = firstVm;
    let vms = firstVms;
    while (this.#attempt < MAX_ATTEMPTS) {
      this.#cancel = new AbortController();
      const record = await this.#send(vm, this.#id, this.#cancel.signal, false);
      const isFinal = record.answer === ANSWER.success || record.ran === codes.RAN.unknown;
      if (isFinal && record.code !== codes.RESULT_CODES.callerGone.number) return;
      await clocks.sleep(this.#ports.clock, PAUSE_MS);
      const address = await this.#ports.askAddress();
      vms = address?.vms ?? vms;
      if (record.ran === codes.RAN.no && address) this.#id = this.#createId(address.session);
      vm = vms[this.#attempt % vms.length] ?? vm;
    }
  }

  /** Sends every id it ever used once more to each of `vms`. */
  async sendEchoes(vms: readonly string[]): Promise<void> {
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
    isEcho: boolean,
  ): Promise<AttemptRecord> {
    this.#attempt += 1;
    const { clock } = this.#ports;
    const startedAt = clock.now();
    const wasHealthy = this.#ports.isHealthy(vm);
    using limit = clocks.createTimeLimit(clock, DEADLINE_MS + PATIENCE_MS, signal);
    const request = { id, attempt: this.#attempt, body: this.body, deadlineMs: DEADLINE_MS };
    const result = await this.#receive(vm, request, limit.signal);
    const record: AttemptRecord = {
      vm,
      id,
      body: this.body,
      startedAt,
      isEntryHealthy: wasHealthy && this.#ports.isHealthy(vm),
      isEcho,
      isCancelled: signal.aborted,
      ...result,
    };
    this.attempts.push(record);
    return record;
  }

  async #receive(
    vm: string,
    request: router.BookingRequest,
    signal: AbortSignal,
  ): Promise<Pick<AttemptRecord, "answer" | "code" | "ran" | "text">> {
    const none = { code: undefined, ran: undefined, text: undefined };
    try {
      const text = await this.#ports.send(vm, request, signal);
      return { ...none, answer: ANSWER.success, text };
    } catch (error) {
      if (signal.aborted) return { ...none, answer: ANSWER.timeout };
      if (!(error instanceof codes.RequestError)) return { ...none, answer: ANSWER.broken };
      return { ...none, answer: ANSWER.refusal, code: error.code.number, ran: error.ran };
    }
  }
}
