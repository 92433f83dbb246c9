/** Combines abort signals without leaking listeners. */

/** A signal that aborts with any of its sources until it is disposed of. */
export interface JoinedSignal extends Disposable {
  readonly signal: AbortSignal;
}

/**
 * Creates a signal that aborts as soon as one of `sources` is aborted, with its reason. Unlike
 * `AbortSignal.any` it removes its listeners from long-lived sources when it is disposed of.
 *
 * @example using joined = createJoinedSignal([signal, lease.revoked]); await send(joined.signal);
 */
export function createJoinedSignal(sources: readonly AbortSignal[]): JoinedSignal {
  const controller = new AbortController();
  const onAbort = (event: Event): void => {
    controller.abort((event.target as AbortSignal).reason);
  };
  for (const source of sources) {
    if (source.aborted) controller.abort(source.reason);
    else source.addEventListener("abort", onAbort, { once: true });
  }
  return {
    signal: controller.signal,
    [Symbol.dispose]: () => {
      for (const source of sources) source.removeEventListener("abort", onAbort);
    },
  };
}

/**
 * Waits for `result` until `signal` aborts.
 *
 * @throws the signal's reason when it aborts first; a later failure of `result` is ignored.
 */
export function runUntilAborted<Result>(
  signal: AbortSignal,
  result: Promise<Result>,
): Promise<Result> {
  return new Promise((resolve, reject) => {
    const onAbort = (): void => {
      reject(signal.reason as Error);
    };
    if (signal.aborted) onAbort();
    signal.addEventListener("abort", onAbort, { once: true });
    result.then(resolve, reject).finally(() => {
      signal.removeEventListener("abort", onAbort);
    });
  });
}
