/** Answers that go on beyond all limits, as those of an upstream that sends bytes without end. */
import * as bufferBudget from "../kernel/buffer-budget.js";

/** Depth to which the causes of an error are searched. */
const MAX_CAUSES = 5;

/** An answer exceeded a limit that no sound upstream reaches. */
export class EndlessAnswerError extends Error {
  override readonly name = "EndlessAnswerError";
}

/** Whether a call failed because its answer exceeded a limit, or more than the process may hold at the moment. */
export function isEndlessAnswer(error: unknown): boolean {
  let current = error;
  for (let depth = 0; depth < MAX_CAUSES && current instanceof Error; depth += 1) {
    if (current instanceof EndlessAnswerError) return true;
    if (current instanceof bufferBudget.BufferLimitError) return true;
    current = current.cause;
  }
  return false;
}
