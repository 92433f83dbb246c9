/** Decides what a gateway that shuts down may still take on and begin in the time that is left. */
import type * as clocks from "../kernel/clock.js";
import * as answers from "../serving/answers.js";

/**
 * Time for callers to learn that the VM is leaving; new connections are accepted until it has
 * passed.
 */
const NOTICE_MS = 3_000;
/** Maximum share of the shutdown limit that the notice takes. */
const NOTICE_SHARE = 0.375;
/** Time reserved for sending the answers of calls that are ended. */
const ANSWER_MARGIN_MS = 200;
/** Time reserved for process exit before the platform kills the process. */
const EXIT_MARGIN_MS = 400;
/** Maximum share of the shutdown limit that the two margins take. */
const MARGINS_SHARE = 0.125;
/** Share of the time from the notice to the end of all calls in which runs of prompts may begin. */
const START_SHARE = 0.5;

/** Moments of a shutdown, in monotonic time. */
export interface ShutdownTimes {
  /** Until then, every request is taken. */
  readonly noticeUntil: number;
  /** Latest start of a run of a prompt. */
  readonly startUntil: number;
  /** End of all calls. */
  readonly callsUntil: number;
  /** End of the process. */
  readonly exitAt: number;
}

/** Computes the moments of a shutdown that began at `startedAt`; the platform kills the process after `limitMs`. */
export function computeShutdownTimes(startedAt: number, limitMs: number): ShutdownTimes {
  const scale = Math.min(1, (limitMs * MARGINS_SHARE) / (ANSWER_MARGIN_MS + EXIT_MARGIN_MS));
  const noticeUntil = startedAt + Math.min(NOTICE_MS, limitMs * NOTICE_SHARE);
  const exitAt = startedAt + limitMs - EXIT_MARGIN_MS * scale;
  const callsUntil = exitAt - ANSWER_MARGIN_MS * scale;
  const startUntil = noticeUntil + (callsUntil - noticeUntil) * START_SHARE;
  return { noticeUntil, startUntil, callsUntil, exitAt };
}

/** The shutdown of one gateway; before it begins, nothing is limited. */
export class ShutdownGrace {
  readonly #clock: clocks.Clock;
  #times: ShutdownTimes | undefined;

  constructor(clock: clocks.Clock) {
    this.#clock = clock;
  }

  /** Begins the shutdown. */
  start(limitMs: number): ShutdownTimes {
    this.#times = computeShutdownTimes(this.#clock.now(), limitMs);
    return this.#times;
  }

  /**
   * Checks that a request which was received whole can still be taken: once callers know that the VM is leaving, its
   * deadline has to be before the end of all calls.
   *
   * @throws RequestError `leaving` when it cannot.
   */
  checkTaken(deadlineAt: number): void {
    const times = this.#times;
    if (times === undefined || this.#clock.now() < times.noticeUntil) return;
    if (deadlineAt > times.callsUntil) throw answers.createLeavingRefusal();
  }

  /** Returns the deadline of a call, at the latest the end of all calls. */
  computeDeadline(deadlineAt: number): number {
    return Math.min(deadlineAt, this.#times?.callsUntil ?? deadlineAt);
  }

  /** Returns until when a prompt may wait for its place, at the latest the latest start of a run. */
  computeStartLimit(startUntil: number): number {
    return Math.min(startUntil, this.#times?.startUntil ?? startUntil);
  }
}
