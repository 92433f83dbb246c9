/** Errors of the emulated engine. */

/** The engine refused a request before running any of it; has the HTTP status to send. */
export class EngineRefusal extends Error {
  override readonly name = "EngineRefusal";
  readonly status: number;

  constructor(status: number, message: string) {
    super(message);
    this.status = status;
  }
}

/** The engine crashed, stopped or aborted the request after accepting it. */
export class EngineBreak extends Error {
  override readonly name = "EngineBreak";
}

/** HTTP statuses of refusals. */
export const REFUSAL_STATUS = {
  notFound: 404,
  /** Cancelled or duplicate attempt, wrong model, adapter or role, or an old fencing number. */
  conflict: 409,
  /** The KV cache has expired or was already fetched. */
  gone: 410,
  unavailable: 503,
  /** Not enough free KV pieces. */
  noMemory: 507,
} as const;

/** Creates a refusal from the name of its status. */
export function createRefusal(status: keyof typeof REFUSAL_STATUS, message: string): EngineRefusal {
  return new EngineRefusal(REFUSAL_STATUS[status], message);
}
