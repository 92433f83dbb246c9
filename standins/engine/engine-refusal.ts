/** Errors of the emulated engine. */

/**
 * The engine refused a request, or dropped it after a cancel or at its deadline. Has the HTTP
 * status to send.
 */
export class EngineRefusal extends Error {
  override readonly name = "EngineRefusal";
  readonly status: number;

  constructor(status: number, message: string) {
    super(message);
    this.status = status;
  }
}

/** The engine is down, or crashed, stopped or aborted the request after accepting it. */
export class EngineBreak extends Error {
  override readonly name = "EngineBreak";
}

/** HTTP statuses of refusals. */
export const REFUSAL_STATUS = {
  /** The attempt to resume is not known. */
  notFound: 404,
  /** Cancelled or duplicate attempt, wrong model, adapter or role, or a lower fencing number. */
  conflict: 409,
  /** The KV cache has expired or was already fetched. */
  gone: 410,
  /** The queue is full, weights are being loaded, or the deadline has passed. */
  unavailable: 503,
  /** Not enough free KV pieces. */
  noMemory: 507,
} as const;

/** Creates a refusal from the name of its status. */
export function createRefusal(status: keyof typeof REFUSAL_STATUS, message: string): EngineRefusal {
  return new EngineRefusal(REFUSAL_STATUS[status], message);
}
