/**
 * Chooses the VM that does a duty for the whole fleet, such as placing the requests of a service. The duty may take more than
 * a small VM has, so only VMs of the largest size are eligible; among them rendezvous hashing spreads the duties.
 */
import * as rendezvous from "./rendezvous.js";
import type * as types from "./types.js";

/** Fraction of the largest capacity in the fleet that an eligible VM has at least. */
const ELIGIBLE_SHARE = 0.5;

/** What the choice of a holder depends on. */
export type DutyCandidate = Pick<types.Member, "vm" | "capacity">;

/** Finds the holders of duties, and keeps them until a member changes. */
export class DutyHolders implements Disposable {
  readonly #membership: Pick<types.Membership, "listAlive" | "onChange">;
  readonly #holders = new Map<string, string | undefined>();
  readonly #ranked = new Map<string, readonly string[]>();
  readonly #subscription: Disposable;

  constructor(membership: Pick<types.Membership, "listAlive" | "onChange">) {
    this.#membership = membership;
    this.#subscription = membership.onChange(() => {
      this.#holders.clear();
      this.#ranked.clear();
    });
  }

  /** Returns the VM that does a duty according to this VM's member list; `undefined` if no member is alive. */
  find(duty: string): string | undefined {
    if (!this.#holders.has(duty))
      this.#holders.set(duty, chooseHolder(duty, this.#membership.listAlive()));
    return this.#holders.get(duty);
  }

  /** Returns the VM that does a duty and the one that would be next, according to this VM's member list. */
  listRanked(duty: string): readonly string[] {
    const known = this.#ranked.get(duty);
    if (known !== undefined) return known;
    const ranked = chooseRanked(duty, this.#membership.listAlive());
    this.#ranked.set(duty, ranked);
    return ranked;
  }

  [Symbol.dispose](): void {
    this.#subscription[Symbol.dispose]();
  }
}

/** Returns the holder of a duty among `candidates`; all VMs choose the same one from equal lists. */
export function chooseHolder(
  duty: string,
  candidates: readonly DutyCandidate[],
): string | undefined {
  const vms = listEligible(candidates).map(({ vm }) => vm);
  return rendezvous.chooseByRendezvous(duty, vms, 1)[0];
}

/** Returns the holder of a duty among `candidates` and the one that would be next, which may be a smaller VM. */
export function chooseRanked(
  duty: string,
  candidates: readonly DutyCandidate[],
): readonly string[] {
  const holder = chooseHolder(duty, candidates);
  const next = chooseHolder(
    duty,
    candidates.filter(({ vm }) => vm !== holder),
  );
  return [holder, next].filter((vm) => vm !== undefined);
}

/** Returns the candidates of the largest size: by processor first, then by link. All, if any does not state its capacity. */
function listEligible(candidates: readonly DutyCandidate[]): readonly DutyCandidate[] {
  if (candidates.some(({ capacity }) => capacity === undefined)) return candidates;
  const strong = listLargest(candidates, ({ capacity }) => capacity?.cores ?? 0);
  return listLargest(strong, ({ capacity }) => capacity?.linkMbps ?? 0);
}

function listLargest(
  candidates: readonly DutyCandidate[],
  getSize: (candidate: DutyCandidate) => number,
): readonly DutyCandidate[] {
  const largest = Math.max(...candidates.map(getSize));
  return candidates.filter((candidate) => getSize(candidate) >= ELIGIBLE_SHARE * largest);
}
