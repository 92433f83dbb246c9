/**
 * Decides whether an answer without length or chunks is complete. Its only end is that of its connection, which a runner
 * that crashes ends too.
 */
import * as responseReader from "../upstream/response-reader.js";
import type * as http from "node:http";
import type * as runners from "../runners/types.js";
import * as runnerProbe from "./runner-probe.js";

const { PROBE_RESULT } = runnerProbe;

/** Probe results that show that the process did not end with its answer. */
const OUTLIVED: ReadonlySet<runnerProbe.ProbeResult> = new Set([
  PROBE_RESULT.alive,
  PROBE_RESULT.answered,
]);

/**
 * Checks the end of an answer whose body was read to its end. Resolves at once for an answer with a length or chunks, else
 * once the runner was probed.
 *
 * @throws when the runner ended, or does not answer, so that the answer may be cut short.
 */
export async function checkAnswerEnd(
  options: runnerProbe.ProbeOptions,
  runner: runners.Runner,
  response: http.IncomingMessage,
): Promise<void> {
  if (!responseReader.isEndedByConnection(response)) return;
  const result = await runnerProbe.probeRunner(options, runner);
  if (!OUTLIVED.has(result))
    throw new Error(`answer ended with its connection, and the runner is ${result}`);
}
