/** Refuses requests for which the process has no memory. */
import * as bufferBudget from "../kernel/buffer-budget.js";
import * as resultCodes from "../protocol/result-codes.js";

/** Time in which other calls usually release their bytes. */
const FULL_RETRY_AFTER_MS = 500;

/** @throws RequestError `overloaded`, caused by a `BufferLimitError`, when the process holds too many bytes. */
export function reserveBytes(buffers: bufferBudget.BufferAccount, bytes: number): void {
  try {
    buffers.add(bytes);
  } catch (error) {
    if (!(error instanceof bufferBudget.BufferLimitError)) throw error;
    const { RESULT_CODES, RAN } = resultCodes;
    const options = { retryAfterMs: FULL_RETRY_AFTER_MS, detail: error.message, cause: error };
    throw new resultCodes.RequestError(RESULT_CODES.overloaded, RAN.no, options);
  }
}

/** Whether a request was refused because the process holds too many bytes. */
export function isBufferRefusal(error: unknown): boolean {
  return error instanceof Error && error.cause instanceof bufferBudget.BufferLimitError;
}
