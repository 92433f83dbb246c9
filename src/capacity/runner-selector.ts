/** Selects a prefill and a decode runner for a request from this node's local state. */
import * as rendezvous from "../membership/rendezvous.js";
import type * as random from "../kernel/random.js";
import type * as catalogs from "./runner-catalog.js";
import * as messages from "./messages.js";
import type * as policies from "./policy.js";
import type * as prefixes from "./prefix-index.js";
import type * as health from "./runner-health.js";
import type * as views from "./runner-views.js";
import type * as transfers from "./transfer-times.js";
import type * as types from "./types.js";

/** Wait time that one free slot offsets in the score of a decode runner; lower scores are better. */
const FREE_SLOT_BONUS_MS = 1;
const MS_PER_SECOND = 1000;

/** Services, state and functions that the selector uses. */
export interface RunnerSelectorOptions {
  readonly random: random.RandomSource;
  readonly policy: policies.CapacityPolicy;
  readonly health: health.RunnerHealth;
  readonly views: views.RunnerViews;
  readonly transfers: transfers.TransferTimes;
  readonly prefixIndex: prefixes.PrefixIndex;
  readonly now: () => number;
}

/** A prefill runner with the expected wait and duration of a request's prefill on it. */
export interface PrefillChoice {
  readonly runner: catalogs.CatalogRunner;
  readonly waitMs: number;
  readonly workMs: number;
}

/** Selects runners without sending messages. */
export class RunnerSelector {
  readonly #options: RunnerSelectorOptions;

  constructor(options: RunnerSelectorOptions) {
    this.#options = options;
  }

  /**
   * Returns the prefill runner with the earliest expected end of prefill, out of a random sample and
   * the affinity runner; `undefined` if none is usable.
   */
  choosePrefill(
    catalog: catalogs.RunnerCatalog,
    demand: types.Demand,
    excluded: ReadonlySet<string>,
  ): PrefillChoice | undefined {
    const runners = this.#listUsable(catalog.listServing(demand.model, "prefill"), excluded);
    const candidates = runners.map((runner) => this.#estimatePrefill(runner, demand));
    const affinityRunner = this.#findAffinityRunner(runners, demand);
    const sampled = this.#chooseRandomly(candidates, this.#options.policy.sampleSize);
    const preferred = candidates.filter((choice) => choice.runner.name === affinityRunner);
    return [...preferred, ...sampled].reduce<PrefillChoice | undefined>(
      (best, choice) =>
        best === undefined || choice.waitMs + choice.workMs < best.waitMs + best.workMs
          ? choice
          : best,
      undefined,
    );
  }

  /**
   * Returns the decode runner with the best score out of a random sample; `undefined` if none is
   * usable. A runner that is too slow is eligible if a probe of it is due.
   */
  chooseDecode(
    catalog: catalogs.RunnerCatalog,
    demand: types.Demand,
    prefill: catalogs.CatalogRunner,
    excluded: ReadonlySet<string>,
  ): catalogs.CatalogRunner | undefined {
    const usable = this.#listUsable(catalog.listServing(demand.model, "decode"), excluded);
    const eligible = usable.filter(
      (runner) => !this.#options.views.isRefusedAsSlow(runner.name, demand.betweenTokensMs),
    );
    const sampled = this.#chooseRandomly(eligible, this.#options.policy.sampleSize);
    const scored = sampled.map((runner) => ({
      runner,
      score: this.#computeDecodeScore(catalog, demand, prefill, runner),
    }));
    scored.sort((left, right) => left.score - right.score);
    return scored[0]?.runner;
  }

  /** Expected time from the end of prefill to the start of decode, including waits. */
  computeHandoverMs(
    catalog: catalogs.RunnerCatalog,
    promptTokens: number,
    prefill: catalogs.CatalogRunner,
    decode: catalogs.CatalogRunner,
  ): number {
    const nominalMs = computeNominalTransferMs(catalog, promptTokens, prefill, decode);
    return this.#options.transfers.computeHandoverMs(prefill.zone, decode.zone, nominalMs);
  }

  /** Expected time of the transfer of the KV cache alone. */
  computeTransferMs(
    catalog: catalogs.RunnerCatalog,
    promptTokens: number,
    prefill: catalogs.CatalogRunner,
    decode: catalogs.CatalogRunner,
  ): number {
    const nominalMs = computeNominalTransferMs(catalog, promptTokens, prefill, decode);
    return this.#options.transfers.computeTransferMs(prefill.zone, decode.zone, nominalMs);
  }

  #estimatePrefill(runner: catalogs.CatalogRunner, demand: types.Demand): PrefillChoice {
    const { policy, prefixIndex, views: runnerViews, now } = this.#options;
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
      waitMs: runnerViews.computeWaitMs(runner.name),
      workMs: nominalMs * runnerViews.getSlowdown(runner.name),
    };
  }

  #computeDecodeScore(
    catalog: catalogs.RunnerCatalog,
    demand: types.Demand,
    prefill: catalogs.CatalogRunner,
    runner: catalogs.CatalogRunner,
  ): number {
    const { policy, views: runnerViews } = this.#options;
    const transferMs = policy.transferCost
      ? this.computeHandoverMs(catalog, demand.promptTokens, prefill, runner)
      : 0;
    return (
      runnerViews.computeWaitMs(runner.name) +
      transferMs -
      FREE_SLOT_BONUS_MS * runnerViews.countFreeSlots(runner.name)
    );
  }

  /** Returns the runners that the request may use, that have not just failed and that are available. */
  #listUsable(
    runners: readonly catalogs.CatalogRunner[],
    excluded: ReadonlySet<string>,
  ): catalogs.CatalogRunner[] {
    const { health: runnerHealth, views: runnerViews } = this.#options;
    return runners.filter(
      ({ name }) =>
        !excluded.has(name) && !runnerHealth.isExcluded(name) && runnerViews.isAvailable(name),
    );
  }

  /**
   * Returns the runner to prefer for all prompts with the same first block, so that they share its
   * prefix cache. Nodes that see the same usable runners compute the same one.
   */
  #findAffinityRunner(
    runners: readonly catalogs.CatalogRunner[],
    demand: types.Demand,
  ): string | undefined {
    const first = demand.prefixes[0];
    if (first === undefined || !this.#options.policy.prefixAffinity) return undefined;
    const names = runners.map((runner) => runner.name);
    return rendezvous.chooseByRendezvous(first, names, 1)[0];
  }

  #chooseRandomly<Item>(items: readonly Item[], count: number): Item[] {
    const remaining = [...items];
    const sampled: Item[] = [];
    while (sampled.length < count && remaining.length > 0) {
      sampled.push(...remaining.splice(this.#options.random.nextInteger(remaining.length), 1));
    }
    return sampled;
  }
}

/** Time of a transfer at the configured bandwidth of the link. */
export function computeNominalTransferMs(
  catalog: catalogs.RunnerCatalog,
  promptTokens: number,
  prefill: catalogs.CatalogRunner,
  decode: catalogs.CatalogRunner,
): number {
  const bytes = promptTokens * prefill.kvBytesPerToken;
  return (bytes / catalog.getLinkRate(prefill.zone, decode.zone)) * MS_PER_SECOND;
}
