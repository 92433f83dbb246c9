/** Charges each call of a team with a quota before it is served. */
import * as resultCodes from "../protocol/result-codes.js";
import type * as serving from "../serving/types.js";
import * as logEvents from "../telemetry/log-events.js";
import type * as telemetry from "../telemetry/types.js";
import * as requestCost from "./request-cost.js";
import type * as teamQuotas from "./team-quotas.js";

/** Dependencies of `QuotaServing`. */
export interface QuotaServingOptions {
  readonly quotas: Pick<teamQuotas.TeamQuotas, "reserve">;
  readonly log: telemetry.EventLog;
  readonly metrics: telemetry.Metrics;
  /** Serves calls that are within their quotas. */
  readonly handler: serving.CallHandler;
}

/** Serves calls within the quotas of their teams; those of teams without one as they come. */
export class QuotaServing implements serving.CallHandler {
  readonly #options: QuotaServingOptions;

  constructor(options: QuotaServingOptions) {
    this.#options = options;
  }

  async serve(call: serving.ServedCall): Promise<void> {
    const { quotas, handler } = this.#options;
    const { team } = call;
    if (team?.quota === undefined) {
      await handler.serve(call);
      return;
    }
    const cost = requestCost.computeRequestCost(team.quota, call.head);
    const grant = await quotas.reserve({ team: team.name, cost }, team.quota, call.signal);
    try {
      await handler.serve(call);
      this.#recordUse(call.head.id, team.name, cost, team.quota.perSecond);
    } catch (error) {
      if (hasNotRun(error)) grant.release();
      throw error;
    }
  }

  /** Records what a request that was answered cost its team. */
  #recordUse(request: string, team: string, cost: number, perSecond: number): void {
    const { log, metrics } = this.#options;
    metrics.count("team_cost", { team }, cost);
    metrics.set("team_quota_rate", perSecond, { team });
    log.write(logEvents.LOG_EVENTS.requestCharged, { request, team, cost, perSecond });
  }
}

function hasNotRun(error: unknown): boolean {
  return error instanceof resultCodes.RequestError && error.ran === resultCodes.RAN.no;
}
