/** The steps of a request at which the matrix injects faults. */

/** All steps of plain and model requests. */
export const STEP = {
  asked: "address asked",
  accepted: "accepted",
  intentSent: "intent sent",
  intentAcknowledged: "intent acknowledged",
  sentUpstream: "sent upstream",
  ran: "ran",
  resultRecorded: "result recorded",
  reply: "reply under way",
  queued: "queued",
  leased: "leased",
  prefill: "prefill",
  transfer: "transfer",
  decode: "decode",
  lastToken: "last token",
} as const;

/** One of the values of `STEP`. */
export type Step = (typeof STEP)[keyof typeof STEP];

/** Called when a request reaches a step. */
export type StepListener = (step: Step) => void;

/** Steps of a plain request, in order. */
export const PLAIN_STEPS: readonly Step[] = [
  STEP.asked,
  STEP.accepted,
  STEP.intentSent,
  STEP.intentAcknowledged,
  STEP.sentUpstream,
  STEP.ran,
  STEP.resultRecorded,
  STEP.reply,
];

/** Steps of a model request, in order. */
export const MODEL_STEPS: readonly Step[] = [
  STEP.asked,
  STEP.accepted,
  STEP.queued,
  STEP.leased,
  STEP.prefill,
  STEP.transfer,
  STEP.decode,
  STEP.lastToken,
];
