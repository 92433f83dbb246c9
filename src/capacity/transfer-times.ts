/** Expected time from the end of a prefill to the start of decode, learned for each link. */
import * as lru from "lru-cache";
import * as estimates from "./estimates.js";

const MAX_LINKS = 10_000;
/** Quantile of the observed slowness that counts as the link's, free of waits for slots. */
const LINK_QUANTILE = 0.25;
const QUANTILE_STEP = 0.1;
/** Transfers shorter than this tell nothing of the rate. */
const MIN_NOMINAL_MS = 2;

interface LinkRecord {
  slowness: number;
  readonly residual: estimates.Estimate;
}

/** Learns the slowness of links and what comes on top of the transfer. */
export class TransferTimes {
  readonly #links = new lru.LRUCache<string, LinkRecord>({ max: MAX_LINKS });

  /** Records an observed hand-over whose transfer takes `nominalMs` at the link's stated rate. */
  record(from: string, to: string, nominalMs: number, observedMs: number): void {
    const link = this.#getLink(from, to);
    if (nominalMs >= MIN_NOMINAL_MS) {
      const isBelow = observedMs / nominalMs < link.slowness;
      const change = isBelow ? LINK_QUANTILE - 1 : LINK_QUANTILE;
      link.slowness = Math.max(1, link.slowness * (1 + QUANTILE_STEP * change * 4));
    }
    link.residual.add(Math.max(0, observedMs - nominalMs * link.slowness));
  }

  /** Expected time of the transfer alone. */
  computeLink(from: string, to: string, nominalMs: number): number {
    return nominalMs * this.#getLink(from, to).slowness;
  }

  /** Expected hand-over time, with a margin of the observed spread. */
  compute(from: string, to: string, nominalMs: number): number {
    const link = this.#getLink(from, to);
    return nominalMs * link.slowness + (link.residual.mean ?? 0) + link.residual.deviation;
  }

  #getLink(from: string, to: string): LinkRecord {
    const key = `${from}\n${to}`;
    let link = this.#links.get(key);
    if (link === undefined) {
      link = { slowness: 1, residual: new estimates.Estimate() };
      this.#links.set(key, link);
    }
    return link;
  }
}
