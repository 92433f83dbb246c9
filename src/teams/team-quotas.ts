/** Charges requests to the quotas of their teams, at the VMs that grant these. */
import * as lru from "lru-cache";
import * as zod from "zod";
import type * as clocks from "../kernel/clock.js";
import type * as dutyHolders from "../membership/duty-holders.js";
import * as network from "../protocol/network.js";
import * as resultCodes from "../protocol/result-codes.js";
import type * as routingState from "../routing/routing-state.js";
import type * as routing from "../routing/types.js";
import * as answers from "../serving/answers.js";
import * as logEvents from "../telemetry/log-events.js";
import type * as telemetry from "../telemetry/types.js";
import * as quotaLedger from "./quota-ledger.js";

/** Wait for the answer to a datagram, before the question is sent over a connection. */
const DATAGRAM_TIMEOUT_MS = 100;
/** Long enough for an unanswered call to cast doubt on its connection, so that the next one opens another. */
const TAKE_TIMEOUT_MS = 250;
const RELEASE_TIMEOUT_MS = 500;
/** Time for which a VM that did not answer is not asked again. */
const HOLDER_BACKOFF_MS = 500;
/** Retry time when no VM that grants a quota is reached; another VM may reach one. */
const NO_HOLDER_RETRY_MS = 250;
/** Limit on the VMs and teams that are remembered. */
const MAX_REMEMBERED = 10_000;

const chargeSchema = zod.object({
  team: zod.string().max(1_000),
  cost: zod.number().min(0),
});

const TAKE = network.createPeerCall(
  85,
  "take-quota",
  chargeSchema.extend({
    /** Version of the configuration that the quota is from. */
    version: zod.int(),
    perSecond: zod.number().min(0),
    burst: zod.number().min(0),
  }),
  zod.object({
    outcome: zod.enum(quotaLedger.QUOTA_OUTCOME),
    waitMs: zod.number().min(0).optional(),
  }),
);

const RELEASE = network.createPeerCall(86, "release-quota", chargeSchema, zod.object({}));

type TakeRequest = zod.infer<typeof TAKE.request>;

/** A request that was charged to the quota of its team. */
export interface QuotaGrant {
  /** Returns what was charged, if the request did not run. */
  release(): void;
}

/** Services that `TeamQuotas` uses. */
export interface TeamQuotasOptions {
  readonly clock: clocks.Clock;
  readonly log: telemetry.EventLog;
  readonly metrics: telemetry.Metrics;
  readonly network: network.PeerNetwork;
  readonly vm: string;
  readonly holders: Pick<dutyHolders.DutyHolders, "listRanked">;
  readonly routing: Pick<routingState.RoutingState, "current">;
  readonly ledger: Pick<quotaLedger.QuotaLedger, "grant" | "release">;
}

/** Asks for the quotas of teams, and answers the questions of other VMs. */
export class TeamQuotas {
  readonly #options: TeamQuotasOptions;
  /** Monotonic time until which a VM is not asked. */
  readonly #failedUntil = new lru.LRUCache<string, number>({ max: MAX_REMEMBERED });
  /** Monotonic time until which the requests of a team are refused. */
  readonly #refusedUntil = new lru.LRUCache<string, number>({ max: MAX_REMEMBERED });

  constructor(options: TeamQuotasOptions) {
    this.#options = options;
    options.network.onCall(TAKE, (request) => this.#grant(request));
    // A question that arrives twice charges twice, which errs on the side of the quota.
    options.network.acceptDatagrams(TAKE);
    options.network.onCall(RELEASE, (charge) => {
      options.ledger.release(charge);
      return {};
    });
  }

  /**
   * Charges a request to the quota of its team.
   *
   * @throws RequestError `quotaExceeded` when the team is above its quota; `overloaded` when no VM that grants the quota is
   * reached.
   */
  async reserve(
    charge: quotaLedger.QuotaCharge,
    quota: quotaLedger.QuotaLimits,
    signal: AbortSignal,
  ): Promise<QuotaGrant> {
    const { clock, holders } = this.#options;
    const refusedForMs = (this.#refusedUntil.get(charge.team) ?? -Infinity) - clock.now();
    if (refusedForMs > 0) throw this.#createRefusal(charge.team, refusedForMs);
    for (const vm of holders.listRanked(quotaLedger.formatDuty(charge.team))) {
      if (clock.now() < (this.#failedUntil.get(vm) ?? -Infinity)) continue;
      const answer = await this.#callVm(vm, charge, quota, signal);
      if (answer.outcome === quotaLedger.QUOTA_OUTCOME.declined) continue;
      if (answer.outcome === quotaLedger.QUOTA_OUTCOME.granted)
        return this.#createGrant(vm, charge);
      if (answer.waitMs !== undefined)
        this.#refusedUntil.set(charge.team, clock.now() + answer.waitMs);
      throw this.#createRefusal(charge.team, answer.waitMs);
    }
    this.#count(charge.team, "unreachable");
    throw answers.createRefusal(
      NO_HOLDER_RETRY_MS,
      `no VM that grants the quota of team ${charge.team} is reached`,
    );
  }

  /** Asks a VM; one that does not answer counts as declining. */
  async #callVm(
    vm: string,
    charge: quotaLedger.QuotaCharge,
    { perSecond, burst }: quotaLedger.QuotaLimits,
    signal: AbortSignal,
  ): Promise<quotaLedger.QuotaAnswer> {
    const { clock, network: peers, routing: state, vm: self } = this.#options;
    const version = state.current?.configuration.version ?? 0;
    const request = { ...charge, version, perSecond, burst };
    if (vm === self) return this.#grant(request);
    try {
      const datagramOptions = { timeoutMs: DATAGRAM_TIMEOUT_MS, signal };
      return await peers
        .callByDatagram(vm, TAKE, request, datagramOptions)
        .catch(() => peers.call(vm, TAKE, request, { timeoutMs: TAKE_TIMEOUT_MS, signal }));
    } catch (error) {
      signal.throwIfAborted();
      this.#failedUntil.set(vm, clock.now() + HOLDER_BACKOFF_MS);
      const fields = { team: charge.team, holder: vm, error: String(error) };
      this.#options.log.write(logEvents.LOG_EVENTS.quotaHolderUnreachable, fields);
      return { outcome: quotaLedger.QUOTA_OUTCOME.declined };
    }
  }

  /** Grants a request by the newer of the two configurations. */
  #grant({ team, cost, version, ...asked }: TakeRequest): quotaLedger.QuotaAnswer {
    const quota = this.#findNewerQuota(team, version) ?? asked;
    return this.#options.ledger.grant({ team, cost }, quota);
  }

  #findNewerQuota(team: string, version: number): routing.TeamQuota | undefined {
    const table = this.#options.routing.current?.configuration;
    if (table === undefined || table.version <= version) return undefined;
    return table.teams?.find(({ name }) => name === team)?.quota;
  }

  #createGrant(vm: string, charge: quotaLedger.QuotaCharge): QuotaGrant {
    const { network: peers, ledger, vm: self } = this.#options;
    this.#count(charge.team, quotaLedger.QUOTA_OUTCOME.granted);
    return {
      release: () => {
        this.#count(charge.team, "released");
        if (vm === self) ledger.release(charge);
        else
          peers
            .call(vm, RELEASE, charge, { timeoutMs: RELEASE_TIMEOUT_MS })
            // What is not returned is made up for by the rate.
            .catch(() => undefined);
      },
    };
  }

  #createRefusal(team: string, retryAfterMs: number | undefined): resultCodes.RequestError {
    this.#count(team, quotaLedger.QUOTA_OUTCOME.refused);
    const { RESULT_CODES, RAN } = resultCodes;
    const options = retryAfterMs === undefined ? {} : { retryAfterMs };
    return new resultCodes.RequestError(RESULT_CODES.quotaExceeded, RAN.no, options);
  }

  #count(team: string, outcome: string): void {
    this.#options.metrics.count("team_quota_requests", { team, outcome });
  }
}
