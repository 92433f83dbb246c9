/** Estimates the handover: the time from the end of prefill to the start of decode, per link. */
import * as lru from "lru-cache";
import * as estimates from "./estimates.js";

const MAX_LINKS = 10_000;
/** Quantile of observed slowdowns used for the link; a low one excludes waits for decode slots. */
const LINK_QUANTILE = 0.25;
/** Relative size of an upward step of the quantile estimate; a downward step is three times it. */
const QUANTILE_STEP = 0.1;
/** Minimum nominal duration of a transfer from which the link's rate is learned. */
const MIN_NOMINAL_MS = 2;

interface LinkRecord {
  /** Estimated ratio of observed to nominal transfer time. */
  slowdown: number;
  /** Time of a handover beyond the transfer. */
  readonly extraMs: estimates.Estimate;
}

/** Learns the slowdown of each link and the additional delay beyond the transfer. */
export class TransferTimes {
  readonly #links = new lru.LRUCache<string, LinkRecord>({ max: MAX_LINKS });

  /** Records a handover; `nominalMs` is its transfer time at the link's configured bandwidth. */
  record(from: string, to: string, nominalMs: number, observedMs: number): void {
    const link = this.#getLink(from, to);
    if (nominalMs >= MIN_NOMINAL_MS) {
      const isBelow = observedMs / nominalMs < link.slowdown;
      const change = isBelow ? LINK_QUANTILE - 1 : LINK_QUANTILE;
      link.slowdown = Math.max(1, link.slowdown * (1 + QUANTILE_STEP * change * 4));
    }
    link.extraMs.add(Math.max(0, observedMs - nominalMs * link.slowdown));
  }

  /** Expected time of the transfer of the KV cache alone. */
  computeTransferMs(from: string, to: string, nominalMs: number): number {
    return nominalMs * this.#getLink(from, to).slowdown;
  }

  /** Expected handover time, plus the mean deviation as a margin. */
  computeHandoverMs(from: string, to: string, nominalMs: number): number {
    const link = this.#getLink(from, to);
    return nominalMs * link.slowdown + (link.extraMs.mean ?? 0) + link.extraMs.deviation;
  }

  #getLink(from: string, to: string): LinkRecord {
    const key = `${from}\n${to}`;
    let link = this.#links.get(key);
    if (link === undefined) {
      link = { slowdown: 1, extraMs: new estimates.Estimate() };
      this.#links.set(key, link);
    }
    return link;
  }
}
