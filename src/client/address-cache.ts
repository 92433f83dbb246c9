/** Looks up node addresses and a session and caches the response for its time to live. */
import * as zod from "zod";
import type * as clocks from "../kernel/clock.js";
import * as exchange from "./exchange.js";
import * as outcome from "./outcome.js";

/** Address at which a node accepts callers' requests. */
export interface NodeAddress {
  readonly host: string;
  readonly port: number;
}

interface AddressResponse {
  readonly addresses: readonly NodeAddress[];
  readonly session: string;
  readonly expiresAt: number;
}

const ADDRESS_REQUEST_TIMEOUT_MS = 2000;
const MAX_RESPONSE_BYTES = 64 * 1024;
const MAX_TTL_MS = 600_000;

const addressResponseSchema = zod.object({
  addresses: zod
    .array(zod.object({ host: zod.string().min(1), port: zod.int().min(1).max(65_535) }))
    .min(1)
    .max(100),
  ttlMs: zod.number().min(0),
  session: zod.string().min(1).max(4096),
});

/** Caches the addresses and the session that the fleet returned to one caller. */
export class AddressCache {
  readonly #clock: clocks.Clock;
  readonly #nodes: readonly NodeAddress[];
  readonly #credential: string;
  #cached: AddressResponse | undefined;
  /** Addresses of the last response, tried after all configured nodes have failed. */
  #lastAddresses: readonly NodeAddress[] = [];
  #pending: Promise<AddressResponse> | undefined;
  #sequence = 0;
  #nextNode = 0;

  /** @param nodes - nodes to send lookups to; at least one. */
  constructor(clock: clocks.Clock, nodes: readonly NodeAddress[], credential: string) {
    this.#clock = clock;
    this.#nodes = nodes;
    this.#credential = credential;
  }

  /**
   * Creates a request id under the current session.
   *
   * @throws AttemptError when the lookup fails on every node: the refusal if the last node refused it,
   *   otherwise `notConnected`. When `signal` aborts, the error of the interrupted lookup is thrown.
   */
  async createRequestId(signal: AbortSignal): Promise<string> {
    const { session } = await this.#getResponse(signal);
    this.#sequence += 1;
    return `${session}.${this.#sequence}`;
  }

  /**
   * Returns the addresses in the order of the response.
   *
   * @throws AttemptError when the lookup fails on every node: the refusal if the last node refused it,
   *   otherwise `notConnected`. When `signal` aborts, the error of the interrupted lookup is thrown.
   */
  async listAddresses(signal: AbortSignal): Promise<readonly NodeAddress[]> {
    const { addresses } = await this.#getResponse(signal);
    return addresses;
  }

  /** Invalidates the cached response, so that the next request looks up addresses again. */
  expire(): void {
    this.#cached = undefined;
  }

  /** Replaces the session with the one that a node returned when refusing a request; keeps the cached addresses. */
  replaceSession(session: string): void {
    if (this.#cached === undefined) return;
    this.#cached = { ...this.#cached, session };
  }

  async #getResponse(signal: AbortSignal): Promise<AddressResponse> {
    const cached = this.#cached;
    if (cached !== undefined && cached.expiresAt > this.#clock.now()) return cached;
    this.#pending ??= this.#readResponse(signal).finally(() => {
      this.#pending = undefined;
    });
    return this.#pending;
  }

  async #readResponse(signal: AbortSignal): Promise<AddressResponse> {
    let lastError: unknown;
    for (const node of this.#listCandidates()) {
      try {
        const addressResponse = await this.#callNode(node, signal);
        this.#cached = addressResponse;
        this.#lastAddresses = addressResponse.addresses;
        return addressResponse;
      } catch (error) {
        if (signal.aborted) throw error;
        lastError = error;
      }
    }
    throw createLookupError(lastError);
  }

  async #callNode(node: NodeAddress, signal: AbortSignal): Promise<AddressResponse> {
    const response = await exchange.sendRequest(
      this.#clock,
      node,
      {
        method: "GET",
        path: "/v1/address",
        headers: { authorization: `Bearer ${this.#credential}` },
        timeoutMs: ADDRESS_REQUEST_TIMEOUT_MS,
      },
      signal,
    );
    const body = await exchange.readBody(
      this.#clock,
      response,
      MAX_RESPONSE_BYTES,
      ADDRESS_REQUEST_TIMEOUT_MS,
    );
    if (response.statusCode !== 200) throw exchange.createRefusal(response, body);
    const parsed = addressResponseSchema.safeParse(exchange.parseJson(body));
    if (!parsed.success) {
      throw new outcome.AttemptError(outcome.ATTEMPT_FAILURE.broken, "address answer is not valid");
    }
    const ttlMs = Math.min(parsed.data.ttlMs, MAX_TTL_MS);
    return { ...parsed.data, expiresAt: this.#clock.now() + ttlMs };
  }

  /** Lists the configured nodes in round-robin order, then the addresses of the last response. */
  #listCandidates(): readonly NodeAddress[] {
    const start = this.#nextNode % this.#nodes.length;
    this.#nextNode += 1;
    const configured = [...this.#nodes.slice(start), ...this.#nodes.slice(0, start)];
    return [...configured, ...this.#lastAddresses];
  }
}

/**
 * Returns a refusal unchanged. Other errors become `notConnected`: the request itself has not been
 * sent, so it is safe to retry.
 */
function createLookupError(error: unknown): outcome.AttemptError {
  const isRefusal =
    error instanceof outcome.AttemptError && error.kind === outcome.ATTEMPT_FAILURE.refused;
  if (isRefusal) return error;
  const message = "no node answered with addresses";
  return new outcome.AttemptError(outcome.ATTEMPT_FAILURE.notConnected, message, { cause: error });
}
