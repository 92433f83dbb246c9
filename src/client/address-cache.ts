/** Asks the fleet which address to use and keeps the answer for its time to live. */
import * as zod from "zod";
import type * as clocks from "../kernel/clock.js";
import * as exchange from "./exchange.js";
import * as outcome from "./outcome.js";

/** Where a node takes callers' requests. */
export interface NodeAddress {
  readonly host: string;
  readonly port: number;
}

interface AddressAnswer {
  readonly addresses: readonly NodeAddress[];
  readonly session: string;
  readonly expiresAt: number;
}

const ASK_TIMEOUT_MS = 2000;
const MAX_ANSWER_BYTES = 64 * 1024;
const MAX_TTL_MS = 600_000;

const addressAnswerSchema = zod.object({
  addresses: zod
    .array(zod.object({ host: zod.string().min(1), port: zod.int().min(1).max(65_535) }))
    .min(1)
    .max(100),
  ttlMs: zod.number().min(0),
  session: zod.string().min(1).max(4096),
});

/** Keeps the addresses and the session that the fleet gave to one caller. */
export class AddressCache {
  readonly #clock: clocks.Clock;
  readonly #nodes: readonly NodeAddress[];
  readonly #credential: string;
  #answer: AddressAnswer | undefined;
  /** Addresses of the last answer, asked when the given nodes do not answer. */
  #known: readonly NodeAddress[] = [];
  #pending: Promise<AddressAnswer> | undefined;
  #sequence = 0;
  #nextNode = 0;

  /** @param nodes - where to ask; at least one. */
  constructor(clock: clocks.Clock, nodes: readonly NodeAddress[], credential: string) {
    this.#clock = clock;
    this.#nodes = nodes;
    this.#credential = credential;
  }

  /**
   * Creates a request id under the current session.
   *
   * @throws AttemptError when no node answers.
   */
  async createRequestId(signal: AbortSignal): Promise<string> {
    const { session } = await this.#useAnswer(signal);
    this.#sequence += 1;
    return `${session}.${this.#sequence}`;
  }

  /**
   * Returns the addresses to use now, best first.
   *
   * @throws AttemptError when no node answers.
   */
  async listAddresses(signal: AbortSignal): Promise<readonly NodeAddress[]> {
    const { addresses } = await this.#useAnswer(signal);
    return addresses;
  }

  /** Forgets the kept answer, so that the next request asks again. */
  removeAnswer(): void {
    this.#answer = undefined;
  }

  /** Uses a fresh session that a refusal carried, with the addresses known. */
  replaceSession(session: string): void {
    if (this.#answer === undefined) return;
    this.#answer = { ...this.#answer, session };
  }

  async #useAnswer(signal: AbortSignal): Promise<AddressAnswer> {
    const kept = this.#answer;
    if (kept !== undefined && kept.expiresAt > this.#clock.now()) return kept;
    this.#pending ??= this.#readAnswer(signal).finally(() => {
      this.#pending = undefined;
    });
    return this.#pending;
  }

  async #readAnswer(signal: AbortSignal): Promise<AddressAnswer> {
    let lastError: unknown;
    for (const node of this.#listCandidates()) {
      try {
        const answer = await this.#callNode(node, signal);
        this.#answer = answer;
        this.#known = answer.addresses;
        return answer;
      } catch (error) {
        if (signal.aborted) throw error;
        lastError = error;
      }
    }
    throw createAskError(lastError);
  }

  async #callNode(node: NodeAddress, signal: AbortSignal): Promise<AddressAnswer> {
    const response = await exchange.sendRequest(
      this.#clock,
      node,
      {
        method: "GET",
        path: "/v1/address",
        headers: { authorization: `Bearer ${this.#credential}` },
        timeoutMs: ASK_TIMEOUT_MS,
      },
      signal,
    );
    const body = await exchange.readBody(this.#clock, response, MAX_ANSWER_BYTES, ASK_TIMEOUT_MS);
    if (response.statusCode !== 200) throw exchange.createRefusal(response, body);
    const parsed = addressAnswerSchema.safeParse(exchange.parseJson(body));
    if (!parsed.success) {
      throw new outcome.AttemptError(outcome.ATTEMPT_FAILURE.broken, "address answer is not valid");
    }
    const ttlMs = Math.min(parsed.data.ttlMs, MAX_TTL_MS);
    return { ...parsed.data, expiresAt: this.#clock.now() + ttlMs };
  }

  /** Lists the given nodes, another one first each time, then the addresses last known. */
  #listCandidates(): readonly NodeAddress[] {
    const start = this.#nextNode % this.#nodes.length;
    this.#nextNode += 1;
    const given = [...this.#nodes.slice(start), ...this.#nodes.slice(0, start)];
    return [...given, ...this.#known];
  }
}

/** Keeps a refusal; any other error left nothing but an address unknown. */
function createAskError(error: unknown): outcome.AttemptError {
  const isRefusal =
    error instanceof outcome.AttemptError && error.kind === outcome.ATTEMPT_FAILURE.refused;
  if (isRefusal) return error;
  const message = "no node answered with addresses";
  return new outcome.AttemptError(outcome.ATTEMPT_FAILURE.notConnected, message, { cause: error });
}
