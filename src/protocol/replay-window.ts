/** Rejects datagrams that were received before, as RFC 4303 (section 3.4.3) describes it. */
import * as lru from "lru-cache";
import type * as network from "./network.js";

/** Number of sequence numbers below the highest one that may still arrive out of order. */
const WINDOW_SIZE = 32;
const MAX_SENDERS = 4_096;

interface Window {
  readonly incarnation: number;
  highest: number;
  /** Bit `n` is set if sequence number `highest - n` was received. */
  received: number;
}

/** Sequence numbers received from each sender. */
export class ReplayWindow {
  readonly #windows = new lru.LRUCache<string, Window>({ max: MAX_SENDERS });

  /** Records a sequence number; returns whether it is new and not older than the window. */
  record({ vm, incarnation }: network.PeerIdentity, sequence: number): boolean {
    const known = this.#windows.get(vm);
    if (known === undefined || known.incarnation < incarnation) {
      this.#windows.set(vm, { incarnation, highest: sequence, received: 1 });
      return true;
    }
    if (known.incarnation > incarnation) return false;
    const ahead = sequence - known.highest;
    if (ahead > 0) {
      known.received = ahead >= WINDOW_SIZE ? 1 : ((known.received << ahead) | 1) >>> 0;
      known.highest = sequence;
      return true;
    }
    if (ahead <= -WINDOW_SIZE) return false;
    const bit = (1 << -ahead) >>> 0;
    if ((known.received & bit) !== 0) return false;
    known.received = (known.received | bit) >>> 0;
    return true;
  }
}
