/**
 * Passes what reservations measure at their runners to the health records, the transfer times and
 * the prefix index.
 */
import type * as clocks from "../kernel/clock.js";
import type * as catalogs from "./runner-catalog.js";
import type * as prefixes from "./prefix-index.js";
import type * as reservations from "./reservation.js";
import type * as health from "./runner-health.js";
import * as selectors from "./runner-selector.js";
import type * as transfers from "./transfer-times.js";

/** Records that the observer updates, and what it needs to update them. */
export interface ObserverOptions {
  readonly clock: clocks.Clock;
  readonly health: health.RunnerHealth;
  readonly transfers: transfers.TransferTimes;
  readonly prefixIndex: prefixes.PrefixIndex;
  readonly getCatalog: () => catalogs.RunnerCatalog;
}

/** Creates the observer of a node's reservations. */
export function createObserver(options: ObserverOptions): reservations.ReservationObserver {
  const {
    clock,
    health: runnerHealth,
    transfers: transferTimes,
    prefixIndex,
    getCatalog,
  } = options;
  return {
    onPrefillEnd: ({ runner }, demand) => {
      runnerHealth.recordSuccess(runner.name);
      prefixIndex.add(runner.name, demand.prefixes, clock.now());
    },
    onDecodeStart: (prefill, decode, demand, handoverMs) => {
      runnerHealth.recordSuccess(decode.runner.name);
      const nominalMs = selectors.computeNominalTransferMs(
        getCatalog(),
        demand.promptTokens,
        prefill.runner,
        decode.runner,
      );
      transferTimes.record(prefill.runner.zone, decode.runner.zone, nominalMs, handoverMs);
    },
    onTokenGap: (runner, gapMs) => {
      runnerHealth.recordGap(runner, gapMs);
    },
    onFailure: (runner) => {
      runnerHealth.recordFailure(runner);
    },
  };
}
