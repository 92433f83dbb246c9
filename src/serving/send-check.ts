/**
 * Checks whether a call is still worth sending to a runner. After a stall of the process, the requests of callers and the
 * closes of those that left meanwhile are read in the same turns of the event loop, requests first.
 */
import * as timers from "node:timers/promises";
import type * as clocks from "../kernel/clock.js";
import type * as types from "./types.js";

/** Turns of the event loop after which the end of a connection is known if it arrived before its request was read. */
const TURNS = 2;

/**
 * Returns whether more than `minLeftMs` of the caller's time is left, once closed connections have been noticed.
 *
 * @throws the signal's reason when the caller has left.
 */
export async function checkSendable(
  clock: clocks.Clock,
  call: Pick<types.ServedCall, "deadlineAt" | "signal">,
  minLeftMs = 0,
): Promise<boolean> {
  for (let turn = 0; turn < TURNS; turn += 1) await timers.setImmediate();
  call.signal.throwIfAborted();
  return call.deadlineAt - clock.now() > minLeftMs;
}
