/** Orders that bring runners to the state that the document specifies. */

/** Why a runner is not yet in the state that the document specifies. */
export const DRIFT_REASON = {
  /** Its load could not be read, or sending the order failed. */
  unreachable: "unreachable",
  /** The order was sent recently, and the runner still differs. */
  ordered: "ordered",
  /** Its load window has not started. */
  paced: "paced",
  /** A previous allocator may still send it orders. */
  leased: "leased",
  /** Peers do not confirm that this node is its allocator. */
  unconfirmed: "unconfirmed",
  /**
   * Its fencing number is higher than this node's document revision: it got an order from a newer
   * document.
   */
  overtaken: "overtaken",
} as const;

/** One of the values of `DRIFT_REASON`. */
export type DriftReason = (typeof DRIFT_REASON)[keyof typeof DRIFT_REASON];

/** A runner whose state differs from the document. */
export interface RunnerDrift {
  readonly runner: string;
  readonly reason: DriftReason;
}

/** Reconciles the runners that this node allocates with the document. */
export interface Orders extends AsyncDisposable {
  /** Returns the runners that differed in the last pass, for status reports. */
  listDrifts(): readonly RunnerDrift[];
  start(): Promise<void>;
}
