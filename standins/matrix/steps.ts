/** The steps in the life of a plain request, at which the matrix injects its faults. */

/** Steps in their order. */
export const STEP = {
  asked: "address asked",
  accepted: "accepted",
  intentSent: "intent sent",
  intentAcknowledged: "intent acknowledged",
  sentUpstream: "sent upstream",
  ran: "ran",
  resultRecorded: "result recorded",
  reply: "reply under way",
} as const;

/** One of the values of `STEP`. */
export type Step = (typeof STEP)[keyof typeof STEP];

/** Reports a step when it is reached. */
export type StepListener = (step: Step) => void;
