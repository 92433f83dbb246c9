/** The steps in the life of a request, at which the matrix injects its faults. */

/** Steps of plain and of model requests. */
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

/** Reports a step when it is reached. */
export type StepListener = (step: Step) => void;

/** Steps of a plain request in their order. */
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

/** Steps of a model request in their order. */
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
