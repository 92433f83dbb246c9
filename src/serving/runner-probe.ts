/** Probes a runner after a run of it ended without an answer. */
import type * as gateway from "../gateway/types.js";
import * as clocks from "../kernel/clock.js";
import type * as runnerCalls from "../runners/runner-calls.js";
import type * as runners from "../runners/types.js";
import * as upstream from "../upstream/types.js";

/**
 * Time limit of a probe: a crashed process refuses connections at once, and a healthy one answers within this time.
 */
const PROBE_TIMEOUT_MS = 150;

/** What a probe shows of one start of a runner. */
export const PROBE_RESULT = {
  crashed: "crashed",
  alive: "alive",
  /** A process answers that does not state its start. */
  answered: "answered",
  unknown: "unknown",
} as const;

/** One of the values of `PROBE_RESULT`. */
export type ProbeResult = (typeof PROBE_RESULT)[keyof typeof PROBE_RESULT];

/** Services that a probe uses. */
export interface ProbeOptions {
  readonly clock: clocks.Clock;
  readonly calls: runnerCalls.RunnerCalls;
  readonly codec: gateway.RunnerCodec;
  /**
   * Whether a runner that refused a connection of this VM has ended, as other VMs see it; without it every refusal shows that.
   */
  readonly hasEnded?: (runner: runners.Runner) => Promise<boolean>;
}

/** Probes a runner over a new connection. */
export async function probeRunner(
  options: ProbeOptions,
  runner: runners.Runner,
): Promise<ProbeResult> {
  const { clock, calls, codec, hasEnded } = options;
  using limit = clocks.createTimeLimit(clock, PROBE_TIMEOUT_MS);
  try {
    const message = { ...codec.formatReport(runner), newConnection: true };
    const answer = await calls.sendMessage(runner, message, PROBE_TIMEOUT_MS, limit.signal);
    const { isOtherRunner, bornAt } = codec.parseProbe(answer.status, answer.body);
    if (isOtherRunner) return PROBE_RESULT.crashed;
    if (bornAt === undefined) return PROBE_RESULT.answered;
    return bornAt === runner.bornAt ? PROBE_RESULT.alive : PROBE_RESULT.crashed;
  } catch (error) {
    // A runner that does not answer in time may only be slow.
    const isRefused = isUnsent(error) && !limit.signal.aborted;
    const isCrashed = isRefused && ((await hasEnded?.(runner)) ?? true);
    return isCrashed ? PROBE_RESULT.crashed : PROBE_RESULT.unknown;
  }
}

/** Whether a call failed before it was sent. */
export function isUnsent(error: unknown): boolean {
  return (
    error instanceof upstream.UpstreamError &&
    error.failure === upstream.UPSTREAM_FAILURE.notConnected
  );
}
