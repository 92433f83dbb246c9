/** Choice of a prefill and a decode runner for a request, from this node's knowledge. */
import * as rendezvous from "../membership/rendezvous.js";
import type * as random from "../kernel/random.js";
import type * as catalogs from "./catalog.js";
import * as messages from "./messages.js";
import type * as policies from "./policy.js";
import type * as prefixes from "./prefix-index.js";
import type * as health from "./runner-health.js";
import type * as views from "./runner-views.js";
import type * as transfers from "./transfer-times.js";
import type * as types from "./types.js";

/** Worth of one free slot against a millisecond of wait. */
const FREE_SLOT_MS = 1;
const MS_PER_SECOND = 1000;

/** What the choice is made from. */
export interface SelectionParts {
  readonly random: random.RandomSource;
  readonly policy: policies.CapacityPolicy;
  readonly health: health.RunnerHealth;
  readonly views: views.RunnerViews;
  readonly transfers: transfers.TransferTimes;
  readonly prefixIndex: prefixes.PrefixIndex;
  readonly now: () => number;
}

/** A prefill runner and its expected times. */
export interface PrefillChoice {
  readonly runner: catalogs.CatalogRunner;
  readonly waitMs: number;
  readonly workMs: number;
}

/** Chooses runners; all decisions are made on the spot, without messages. */
export class Selection {
  readonly #parts: SelectionParts;

  constructor(parts: SelectionParts) {
    this.#parts = parts;
  }

  /** Returns the prefill runner that is expected to end first. */
  choosePrefill(
    catalog: catalogs.Catalog,
    demand: types.Demand,
    excluded: ReadonlySet<string>,
  ): PrefillChoice | undefined {
    const runners = this.#listUsable(catalog.listServing(demand.model, "prefill"), excluded);
    const choices = runners.map((runner) => this.#computePrefill(runner, demand));
    const home = this.#findHome(runners, demand);
    const drawn = this.#chooseRandom(choices, this.#parts.policy.choices);
    const known = choices.filter((choice) => choice.runner.name === home);
    return [...known, ...drawn].reduce<PrefillChoice | undefined>(
      (best, choice) =>
        best === undefined || choice.waitMs + choice.workMs < best.waitMs + best.workMs
          ? choice
          : best,
      undefined,
    );
  }

  /** Returns the best of a few decode runners drawn at random. */
  chooseDecode(
    catalog: catalogs.Catalog,
    demand: types.Demand,
    prefill: catalogs.CatalogRunner,
    excluded: ReadonlySet<string>,
  ): catalogs.CatalogRunner | undefined {
    const usable = this.#listUsable(catalog.listServing(demand.model, "decode"), excluded);
    const quick = usable.filter(
      (runner) => !this.#parts.views.isSlow(runner.name, demand.betweenTokensMs),
    );
    const drawn = this.#chooseRandom(quick, this.#parts.policy.choices);
    const scored = drawn.map((runner) => ({
      runner,
      score: this.#computeDecodeScore(catalog, demand, prefill, runner),
    }));
    scored.sort((left, right) => left.score - right.score);
    return scored[0]?.runner;
  }

  /** Expected time from the end of prefill to the start of decode. */
  computeTransfer(
    catalog: catalogs.Catalog,
    promptTokens: number,
    prefill: catalogs.CatalogRunner,
    decode: catalogs.CatalogRunner,
  ): number {
    const nominalMs = computeNominalTransfer(catalog, promptTokens, prefill, decode);
    return this.#parts.transfers.compute(prefill.zone, decode.zone, nominalMs);
  }

  /** Expected time of the transfer alone. */
  computeLink(
    catalog: catalogs.Catalog,
    promptTokens: number,
    prefill: catalogs.CatalogRunner,
    decode: catalogs.CatalogRunner,
  ): number {
    const nominalMs = computeNominalTransfer(catalog, promptTokens, prefill, decode);
    return this.#parts.transfers.computeLink(prefill.zone, decode.zone, nominalMs);
  }

  #computePrefill(runner: catalogs.CatalogRunner, demand: types.Demand): PrefillChoice {
    const { policy, prefixIndex, views: known, now } = this.#parts;
    const matched = policy.prefixAffinity
      ? prefixIndex.findMatch(
          runner.name,
          messages.choosePrefixes(demand.prefixes, demand.promptTokens),
          now(),
        )
      : 0;
    const tokens = Math.max(0, demand.promptTokens - matched);
    const nominalMs = (tokens / runner.prefillTokensPerSecond) * MS_PER_SECOND;
    return {
      runner,
      waitMs: known.computeWait(runner.name),
      workMs: nominalMs * known.getSlowness(runner.name),
    };
  }

  #computeDecodeScore(
    catalog: catalogs.Catalog,
    demand: types.Demand,
    prefill: catalogs.CatalogRunner,
    runner: catalogs.CatalogRunner,
  ): number {
    const { policy, views: known } = this.#parts;
    const transferMs = policy.linkTerm
      ? this.computeTransfer(catalog, demand.promptTokens, prefill, runner)
      : 0;
    return (
      known.computeWait(runner.name) + transferMs - FREE_SLOT_MS * known.countFree(runner.name)
    );
  }

  #listUsable(
    runners: readonly catalogs.CatalogRunner[],
    excluded: ReadonlySet<string>,
  ): catalogs.CatalogRunner[] {
    const { health: observed, views: known } = this.#parts;
    return runners.filter(
      ({ name }) => !excluded.has(name) && !observed.isExcluded(name) && known.isAvailable(name),
    );
  }

  /** Runner on which every node without better knowledge puts prompts that begin alike. */
  #findHome(runners: readonly catalogs.CatalogRunner[], demand: types.Demand): string | undefined {
    const first = demand.prefixes[0];
    if (first === undefined || !this.#parts.policy.prefixAffinity) return undefined;
    const names = runners.map((runner) => runner.name);
    return rendezvous.chooseByRendezvous(first, names, 1)[0];
  }

  #chooseRandom<Item>(items: readonly Item[], count: number): Item[] {
    const left = [...items];
    const drawn: Item[] = [];
    while (drawn.length < count && left.length > 0) {
      drawn.push(...left.splice(this.#parts.random.nextInteger(left.length), 1));
    }
    return drawn;
  }
}

/** Time of a transfer at the link's stated rate. */
export function computeNominalTransfer(
  catalog: catalogs.Catalog,
  promptTokens: number,
  prefill: catalogs.CatalogRunner,
  decode: catalogs.CatalogRunner,
): number {
  const bytes = promptTokens * prefill.kvBytesPerToken;
  return (bytes / catalog.getLinkRate(prefill.zone, decode.zone)) * MS_PER_SECOND;
}
