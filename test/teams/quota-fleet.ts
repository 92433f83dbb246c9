/** A fleet on virtual time whose VMs are all asked for more than the quota of a team. */
import * as quotaCheck from "../../standins/team-quota-check.js";
import * as fleetSize from "../../src/membership/fleet-size.js";
import * as quotaServices from "../../src/teams/quota-services.js";
import * as quotaLedger from "../../src/teams/quota-ledger.js";
import * as fleets from "../membership/sharing-fleet.js";

export const TEAM = "press";
/** Smallest quota of the deployments, in tokens per second, and the bounds that hold there. */
export const RULE: quotaCheck.QuotaRule = {
  ...{ perSecond: 29_000, burst: 29_000, windowMs: 8_000, over: 0.25, slack: 120_000 },
};
const STEP_MS = 50;
const PROMPT_COST = 14_800;
const PLAIN_COST = 200;
/** One request in this many is a prompt. */
const PROMPT_EVERY = 8;

/** A fleet that keeps the quota of one team, and what it granted. */
export class QuotaFleet extends fleets.SharingFleet {
  readonly requests: quotaCheck.QuotaRequest[] = [];
  #asked = 0;

  constructor(seed: number) {
    super(seed, (kernel) => {
      kernel.register("routing", () => ({ current: undefined }) as never);
      quotaServices.registerQuotas(kernel);
    });
    this.startExtraServices = (kernel) => {
      kernel.use("teamQuotas");
      return Promise.resolve();
    };
  }

  /** Returns the VM that grants the quota, as a VM sees it. */
  findHolder(vm: string): string | undefined {
    const duty = quotaLedger.formatDuty(TEAM);
    return this.getNode(vm).kernel.use("dutyHolders").find(duty);
  }

  /** Sends requests to the given VMs at each step, by default to all. */
  async press(durationMs: number, vms?: readonly string[]): Promise<void> {
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += STEP_MS) {
      for (const { vm } of this.nodes) if (vms?.includes(vm) ?? true) void this.#send(vm);
      await this.clock.advance(STEP_MS);
    }
  }

  /** Cuts VMs off from all others, or heals their links. */
  setCutOff(vms: readonly string[], isCut: boolean): void {
    const others = this.nodes.map(({ vm }) => vm).filter((vm) => !vms.includes(vm));
    this.setPartition(vms, others, isCut);
  }

  /** Makes the open connections between all VMs silent, while new ones work. */
  silenceConnections(): void {
    const vms = this.nodes.map(({ vm }) => vm);
    for (const first of vms) for (const second of vms) this.network.silence(first, second);
  }

  /** Returns the cost of what was granted from a time on. */
  computeGranted(from: number): number {
    return quotaCheck.computeCost(this.requests, from, Infinity);
  }

  async restart(vms: readonly string[]): Promise<void> {
    for (const vm of vms) await this.kill(vm);
    let left = vms.length;
    const starts = vms.map(async (vm) => {
      await this.startNode(vm);
      left -= 1;
    });
    while (left > 0) await this.press(STEP_MS);
    await Promise.all(starts);
  }

  /** Returns the worst window, of those that start at `from` or later. */
  computeUse(from = 0): quotaCheck.QuotaUse {
    return quotaCheck.computeQuotaUse(RULE, this.requests, from);
  }

  async #send(vm: string): Promise<void> {
    this.#asked += 1;
    const cost = this.#asked % PROMPT_EVERY === 0 ? PROMPT_COST : PLAIN_COST;
    const sentAt = this.clock.now();
    const quotas = this.getNode(vm).kernel.use("teamQuotas");
    const { signal } = new AbortController();
    const isGranted = await quotas.reserve({ team: TEAM, cost }, RULE, signal).then(
      () => true,
      () => false,
    );
    const arrivedAt = this.clock.now();
    if (isGranted) this.requests.push({ team: TEAM, cost, sentAt, arrivedAt });
  }
}

/** Starts a fleet and waits until its VMs know each other. */
export async function startFleet(count: number, seed = 7): Promise<QuotaFleet> {
  const fleet = new QuotaFleet(seed);
  await fleet.start(count);
  await fleet.clock.advance(fleetSize.JOIN_MS + 3_000);
  return fleet;
}
