/** Orders that bring runners to what the document asks for. */

/** Why a runner does not serve yet what the document asks for. */
export const DRIFT_REASON = {
  /** Its load cannot be read, or the order failed. */
  unreachable: "unreachable",
  /** The order was sent; the runner loads. */
  ordered: "ordered",
  /** Its turn to load weights comes later. */
  paced: "paced",
  /** An earlier allocator may still order it. */
  leased: "leased",
  /** Peers do not confirm that this node allocates it. */
  unconfirmed: "unconfirmed",
  /** It carries out an order of a newer document than the one in force here. */
  overtaken: "overtaken",
} as const;

/** One of the values of `DRIFT_REASON`. */
export type DriftReason = (typeof DRIFT_REASON)[keyof typeof DRIFT_REASON];

/** A runner that differs from the document. */
export interface RunnerDrift {
  readonly runner: string;
  readonly reason: DriftReason;
}

/** Brings the runners that this node allocates to what the document asks for. */
export interface Orders extends AsyncDisposable {
  /** Returns runners found different in the last pass, for status. */
  listDrifts(): readonly RunnerDrift[];
  start(): Promise<void>;
}
