/** Updates the node's estimates from the measurements of reservations. */
import type * as clocks from "../kernel/clock.js";
import type * as catalogs from "./catalog.js";
import type * as prefixes from "./prefix-index.js";
import type * as reservations from "./reservation.js";
import type * as health from "./runner-health.js";
import * as selectors from "./runner-selector.js";
import type * as transfers from "./transfer-times.js";

/** Estimates that the observer updates. */
export interface ObserverParts {
  readonly clock: clocks.Clock;
  readonly health: health.RunnerHealth;
  readonly transfers: transfers.TransferTimes;
  readonly prefixIndex: prefixes.PrefixIndex;
  readonly getCatalog: () => catalogs.Catalog;
}

/** Creates the observer of a node's reservations. */
export function createObserver(parts: ObserverParts): reservations.Observer {
  const { clock, health: observed, transfers: links, prefixIndex, getCatalog } = parts;
  return {
    onPrefillEnd: ({ runner }, demand) => {
      observed.recordSuccess(runner.name);
      prefixIndex.add(runner.name, demand.prefixes, clock.now());
    },
    onDecodeStart: (prefill, decode, demand, ms) => {
      observed.recordSuccess(decode.runner.name);
      const nominalMs = selectors.computeNominalTransferMs(
        getCatalog(),
        demand.promptTokens,
        prefill.runner,
        decode.runner,
      );
      links.record(prefill.runner.zone, decode.runner.zone, nominalMs, ms);
    },
    onTokenGap: (runner, gapMs) => {
      observed.recordGap(runner, gapMs);
    },
    onFailure: (runner) => {
      observed.recordFailure(runner);
    },
  };
}
