/** Plays the callers of two teams against several gateways, each a process, and adds up what the requests that ran cost. */
import * as quotaCheck from "../../standins/team-quota-check.js";
import type * as budgetCheck from "../../standins/retry-budget-check.js";
import * as crashing from "../../standins/users-platform/crashing-runner.js";
import * as examples from "../../standins/users-platform/examples.js";
import * as failing from "../../standins/users-platform/failing-runner.js";
import * as store from "../../standins/users-platform/store.js";
import * as fixture from "./gateway-fixture.js";
import * as gatewayProcess from "./gateway-process.js";

const GATEWAY_COUNT = 6;
const RUNNER_COUNT = 3;
const SEEDS = [1, 2, 3];
const SEND_INTERVAL_MS = 25;
/** Time from the start of the gateways to the traffic. */
const SETTLE_MS = 3_000;
const PLAY_MS = 16_000;
const MS_PER_S = 1_000;
const HTTP_TOO_MANY = 429;

/** Bounds of the deployments with quotas: `quota_window_s`, `quota_over`, `quota_slack`, and `config_ms`. */
const WINDOW_MS = 8_000;
const OVER = 0.25;
const SLACK = 120_000;
const CONFIGURATION_MS = 3_000;
/** Smallest quota of a deployment, in tokens per second; the burst is one second of it. */
const PER_SECOND = 29_000;
const PLAIN_TOKENS = 1_000;
const PROMPT_TOKENS = "14000,800";
const PROMPT_COST = 14_800;
/** One request in this many is as large as a prompt. */
const PROMPT_EVERY = 9;
/** Cost of the traffic per second. */
const PRESS_PER_SECOND =
  (((PROMPT_EVERY - 1) * PLAIN_TOKENS + PROMPT_COST) / PROMPT_EVERY) *
  (MS_PER_S / SEND_INTERVAL_MS);

/** What disturbs the gateways or their configuration during a play. */
export const DISTURBANCE = {
  none: "none",
  killInTurn: "killInTurn",
  killAll: "killAll",
  pausePairs: "pausePairs",
  /** Two of the gateways are cut off from the others, twice. */
  cutPairs: "cutPairs",
  /** Each gateway is cut off from all others, and all are killed and start again. */
  startCutOff: "startCutOff",
  /** The quotas are lowered to a quarter one second after the traffic began. */
  lower: "lower",
} as const;

/** One of the values of `DISTURBANCE`. */
export type Disturbance = (typeof DISTURBANCE)[keyof typeof DISTURBANCE];

/** Traffic and disturbance of a play. */
export interface QuotaPlayOptions {
  /** Second byte of the loopback network of the gateways. */
  readonly net: number;
  readonly disturbance?: Disturbance;
  /** Whether all requests come to the first gateway. */
  readonly atOneGateway?: boolean;
  /** Quota of the team as a part of what it asks for; default a quarter. */
  readonly quotaShare?: number;
}

/** What the callers and runners of a play observed. */
export interface QuotaPlayResult extends quotaCheck.QuotaUse {
  /** Cost of what ran as a part of the rate of the quota, from the second second on. */
  readonly usedShare: number;
  /** Number of requests by the status of their answer; 0 for none. */
  readonly statuses: Readonly<Record<number, number>>;
  /** Refusals for the quota without a time to come back. */
  readonly untimed: number;
}

interface SentRequest {
  readonly cost: number;
  readonly sentAt: number;
}

class QuotaPlay implements AsyncDisposable {
  readonly #options: QuotaPlayOptions;
  readonly #platform = new store.StoreStandIn();
  readonly #processes: gatewayProcess.GatewayProcess[] = [];
  readonly #gateways: gatewayProcess.RemoteGateway[] = [];
  readonly #runners: failing.FailingRunner[] = [];
  readonly #arrivals: budgetCheck.Arrival[] = [];
  readonly #sent = new Map<string, SentRequest>();
  readonly #statuses = new Map<number, number>();
  readonly #pending: Promise<void>[] = [];
  readonly #perSecond: number;
  #startedAt = 0;
  #untimed = 0;

  constructor(options: QuotaPlayOptions) {
    this.#options = options;
    this.#perSecond = (options.quotaShare ?? 1 / 4) * PRESS_PER_SECOND;
  }

  async start(): Promise<void> {
    await this.#platform.start();
    this.setQuota(7, 1);
    const behaviour = { failure: failing.FAILURE.none, every: 1 };
    const { plain } = crashing.RUNNER_ROLE;
    for (let index = 1; index <= RUNNER_COUNT; index += 1) {
      const runner = new failing.FailingRunner(`r-${index}`, plain, behaviour, this.#arrivals);
      this.#runners.push(runner);
      await runner.start(this.#platform);
    }
    for (const number of ALL) {
      const child = new gatewayProcess.GatewayProcess();
      this.#processes.push(child);
      const { net } = this.#options;
      const changes = { seeds: SEEDS };
      this.#gateways.push(
        new gatewayProcess.RemoteGateway(child, this.#platform, net, number, changes),
      );
    }
    await Promise.all(this.#gateways.map((gateway) => gateway.start()));
    await Promise.all(this.#gateways.map(({ ip }) => fixture.waitForReady(ip)));
    await sleep(SETTLE_MS);
  }

  /** Publishes a configuration whose quota is the given part of that of the play. */
  setQuota(version: number, part: number): void {
    const { perSecond, burst } = this.#createRule(part);
    this.#platform.set("op/config", {
      ...examples.createConfiguration(version),
      tenants: [
        {
          ...{ name: "press", api_keys: [KEY], unit: "token", plain_tokens: PLAIN_TOKENS },
          ...{ rate_per_s: perSecond, burst },
        },
      ],
    });
  }

  async run(): Promise<void> {
    const { disturbance = DISTURBANCE.none } = this.#options;
    this.#startedAt = performance.now();
    const lengthMs = LENGTHS_MS[disturbance] ?? PLAY_MS;
    const disturbances = DISTURB[disturbance](this);
    for (let count = 0; performance.now() - this.#startedAt < lengthMs; count += 1) {
      this.#pending.push(this.#send(count));
      const nextAt = this.#startedAt + (count + 1) * SEND_INTERVAL_MS;
      await sleep(Math.max(0, nextAt - performance.now()));
    }
    await disturbances;
    await Promise.all(this.#pending);
  }

  createResult(): QuotaPlayResult {
    const { disturbance = DISTURBANCE.none } = this.#options;
    const isLowered = disturbance === DISTURBANCE.lower;
    const requests = this.#listRequests();
    const from = isLowered ? LOWERED_AT_MS + CONFIGURATION_MS + WINDOW_MS : 0;
    const rule = this.#createRule(isLowered ? LOWERED_PART : 1);
    const use = quotaCheck.computeQuotaUse(rule, requests, this.#startedAt + from);
    // From a request that ran on, as none runs while an earlier one is made up for.
    const usedFrom = Math.min(
      ...requests
        .filter(({ arrivedAt }) => arrivedAt !== undefined)
        .map(({ sentAt }) => sentAt)
        .filter((sentAt) => sentAt >= this.#startedAt + Math.max(from, MS_PER_S)),
    );
    const endedAt = Math.max(...requests.map(({ sentAt }) => sentAt));
    const used = quotaCheck.computeCost(requests, usedFrom, Infinity);
    return {
      ...use,
      from: Math.round(use.from - this.#startedAt),
      usedShare: used / ((rule.perSecond * (endedAt - usedFrom)) / MS_PER_S),
      statuses: Object.fromEntries(this.#statuses),
      untimed: this.#untimed,
    };
  }

  /** Kills gateways without a graceful shutdown and starts them again. */
  async restart(numbers: readonly number[]): Promise<void> {
    const ended = this.#gateways.filter((_, index) => numbers.includes(index + 1));
    await Promise.all(ended.map((gateway) => gateway.kill()));
    await Promise.all(ended.map((gateway) => gateway.start()));
  }

  /** Stops the processes of gateways for some time. */
  async pause(numbers: readonly number[], durationMs: number): Promise<void> {
    const paused = this.#processes.filter((_, index) => numbers.includes(index + 1));
    for (const child of paused) child.pause();
    await sleep(durationMs);
    for (const child of paused) child.resume();
  }

  /** Cuts all links between gateways of different groups, in both directions. */
  async cut(computeGroup: (number: number) => number): Promise<void> {
    const getGroup = (host: string): number => computeGroup(Number(host.split(".")[3]));
    const ips = this.#gateways.map(({ ip }) => ip);
    const links = ips.flatMap((from) => ips.map((to) => [from, to] as const));
    const cut = links.filter(([from, to]) => getGroup(from) !== getGroup(to));
    await Promise.all(this.#processes.map((child) => child.setCut(cut)));
  }

  async [Symbol.asyncDispose](): Promise<void> {
    for (const child of this.#processes) await child[Symbol.asyncDispose]();
    for (const runner of this.#runners) await runner[Symbol.asyncDispose]();
    await this.#platform[Symbol.asyncDispose]();
  }

  #createRule(part: number): quotaCheck.QuotaRule {
    const perSecond = part * this.#perSecond;
    // The slack is in proportion to the smallest quota of the deployments.
    const slack = (SLACK * this.#perSecond) / PER_SECOND;
    return { perSecond, burst: perSecond, windowMs: WINDOW_MS, over: OVER, slack };
  }

  #listRequests(): readonly quotaCheck.QuotaRequest[] {
    const arrivedAt = new Map<string, number>();
    for (const { call, at, hasRun } of this.#arrivals)
      if (hasRun && !arrivedAt.has(call)) arrivedAt.set(call, at);
    return [...this.#sent].map(([call, { cost, sentAt }]) => ({
      ...{ team: "press", cost, sentAt },
      arrivedAt: arrivedAt.get(call),
    }));
  }

  async #send(count: number): Promise<void> {
    const { net, atOneGateway = false } = this.#options;
    const number = atOneGateway ? 1 : 1 + (count % GATEWAY_COUNT);
    const id = `q${count}`;
    const isPrompt = count % PROMPT_EVERY === 0;
    this.#sent.set(id, {
      cost: isPrompt ? PROMPT_COST : PLAIN_TOKENS,
      sentAt: performance.now(),
    });
    const headers = {
      ...{ "request-id": id, "deadline-ms": "1000", authorization: `Bearer ${KEY}` },
      ...(isPrompt ? { "token-count": PROMPT_TOKENS } : {}),
    };
    const answer = await fixture
      .send(`127.${net}.0.${number}`, "/status/x", headers)
      .catch(() => undefined);
    const status = answer?.status ?? 0;
    this.#statuses.set(status, (this.#statuses.get(status) ?? 0) + 1);
    const isUntimed = answer?.headers["retry-after"] === undefined;
    if (status === HTTP_TOO_MANY && isUntimed) this.#untimed += 1;
  }
}

const KEY = "key-of-press";
const LOWERED_AT_MS = 1_000;
const LOWERED_PART = 0.25;
const ALL = Array.from({ length: GATEWAY_COUNT }, (_, index) => index + 1);
const PAIRS = [
  [1, 2],
  [3, 4],
  [5, 6],
] as const;

function sleep(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}

/** Lengths of the plays that differ from `PLAY_MS`. */
const LENGTHS_MS: Partial<Record<Disturbance, number>> = {
  lower: LOWERED_AT_MS + CONFIGURATION_MS + 2 * WINDOW_MS + 2_000,
};

/** Disturbances by name. */
const DISTURB: Readonly<Record<Disturbance, (play: QuotaPlay) => Promise<void>>> = {
  none: () => Promise.resolve(),
  killInTurn: async (play) => {
    for (const number of ALL) {
      await sleep(1_800);
      await play.restart([number]);
    }
  },
  killAll: async (play) => {
    for (let time = 0; time < 2; time += 1) {
      await sleep(5_000);
      await play.restart(ALL);
    }
  },
  pausePairs: async (play) => {
    for (const pair of PAIRS) {
      await sleep(1_000);
      await play.pause(pair, 3_000);
    }
  },
  cutPairs: async (play) => {
    for (const pair of PAIRS.slice(0, 2)) {
      await sleep(2_000);
      await play.cut((number) => (pair.some((one) => one === number) ? 0 : 1));
      await sleep(4_000);
      await play.cut(() => 0);
    }
  },
  startCutOff: async (play) => {
    await sleep(3_000);
    await play.cut((number) => number);
    await play.restart(ALL);
  },
  lower: async (play) => {
    await sleep(LOWERED_AT_MS);
    play.setQuota(8, LOWERED_PART);
  },
};

/** Runs a play and returns what was observed. */
export async function runQuotaPlay(options: QuotaPlayOptions): Promise<QuotaPlayResult> {
  await using play = new QuotaPlay(options);
  await play.start();
  await play.run();
  return play.createResult();
}
