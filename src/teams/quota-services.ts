/** Registers the services that keep the quotas of teams. */
import type * as container from "../kernel/container.js";
import * as quotaLedger from "./quota-ledger.js";
import * as quotaServing from "./quota-serving.js";
import * as teamQuotas from "./team-quotas.js";

/** Registers the quotas of a gateway in front of its hand-over. */
export function registerQuotas(kernel: container.Kernel): void {
  kernel.register("quotaLedger", createQuotaLedger);
  kernel.register("teamQuotas", createTeamQuotas);
  kernel.register("quotaServing", createQuotaServing);
}

function createQuotaLedger(kernel: container.Kernel): quotaLedger.QuotaLedger {
  return new quotaLedger.QuotaLedger({
    clock: kernel.use("clock"),
    log: kernel.use("log"),
    metrics: kernel.use("metrics"),
    vm: kernel.use("settings").vm,
    fleetSize: kernel.use("fleetSize"),
    holders: kernel.use("dutyHolders"),
    membership: kernel.use("membership"),
  });
}

function createTeamQuotas(kernel: container.Kernel): teamQuotas.TeamQuotas {
  return new teamQuotas.TeamQuotas({
    clock: kernel.use("clock"),
    log: kernel.use("log"),
    metrics: kernel.use("metrics"),
    network: kernel.use("network"),
    vm: kernel.use("settings").vm,
    holders: kernel.use("dutyHolders"),
    routing: kernel.use("routing"),
    ledger: kernel.use("quotaLedger"),
  });
}

function createQuotaServing(kernel: container.Kernel): quotaServing.QuotaServing {
  return new quotaServing.QuotaServing({
    log: kernel.use("log"),
    metrics: kernel.use("metrics"),
    quotas: kernel.use("teamQuotas"),
    handler: kernel.use("handover"),
  });
}
