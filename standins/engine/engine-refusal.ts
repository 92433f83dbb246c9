/** Why the emulated engine did not do what it was asked. */

/** A refusal before anything ran, with its HTTP status. */
export class EngineRefusal extends Error {
  override readonly name = "EngineRefusal";
  readonly status: number;

  constructor(status: number, message: string) {
    super(message);
    this.status = status;
  }
}

/** The engine crashed, or dropped the request, after it had begun. */
export class EngineBreak extends Error {
  override readonly name = "EngineBreak";
}

/** HTTP statuses of refusals. */
export const REFUSAL_STATUS = {
  notFound: 404,
  /** Cancelled id, wrong model or role, or an old fencing number. */
  conflict: 409,
  /** The KV cache is gone. */
  gone: 410,
  unavailable: 503,
  /** KV pieces do not fit. */
  noMemory: 507,
} as const;

/** Creates a refusal by the name of its status. */
export function createRefusal(status: keyof typeof REFUSAL_STATUS, message: string): EngineRefusal {
  return new EngineRefusal(REFUSAL_STATUS[status], message);
}
