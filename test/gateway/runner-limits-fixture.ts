/** Plays callers against several gateways while runners name a limit on their requests, and counts what arrives. */
import * as limitCheck from "../../standins/runner-limit-check.js";
import * as crashing from "../../standins/users-platform/crashing-runner.js";
import * as examples from "../../standins/users-platform/examples.js";
import * as failing from "../../standins/users-platform/failing-runner.js";
import * as store from "../../standins/users-platform/store.js";
import * as fixture from "./gateway-fixture.js";

const GATEWAY_COUNT = 6;
const SEEDS = [1, 2, 3];
const SEND_INTERVAL_MS = 15;
/** Time from the start of the traffic to the first answer with a limit. */
const LIMIT_FROM_MS = 1_000;
const PLAY_MS = 12_000;
/** Time between two restarts of a gateway. */
const RESTART_INTERVAL_MS = 1_500;
const HTTP_OK = 200;
const HTTP_UNAVAILABLE = 503;

/** Behaviour of the runners and callers of a play. */
export interface LimitPlayOptions {
  /** Second byte of the loopback network of the gateways. */
  readonly net: number;
  /** Role of the runners that name a limit. */
  readonly role: crashing.RunnerRole;
  readonly runners: number;
  /** Number of the runners that name it; the first ones. */
  readonly limited: number;
  readonly perSecond: number;
  /** Value of the header, if it differs from `perSecond`. */
  readonly header?: string;
  /** Whether the runners reject all requests. */
  readonly rejects?: boolean;
  /** Whether all calls come to the first gateway. */
  readonly atOneGateway?: boolean;
  readonly restartsGateways?: boolean;
  /** Time without calls, from `LIMIT_FROM_MS` plus one second on. */
  readonly quietMs?: number;
  /** Time at which the limit is named no more. */
  readonly limitToMs?: number;
}

/** What the runners and callers of a play observed. */
export interface LimitPlayResult {
  readonly uses: readonly limitCheck.LimitUse[];
  /** Share of the calls that were served. */
  readonly served: number;
  /** Calls that were refused with a time to come back, as a part of those that were not served. */
  readonly refused: number;
  /** Arrivals at each limited runner in the last two seconds. */
  readonly arrivalsAtEnd: readonly number[];
}

class LimitPlay implements AsyncDisposable {
  readonly #options: LimitPlayOptions;
  readonly #platform = new store.StoreStandIn();
  readonly #runners: failing.FailingRunner[] = [];
  readonly #gateways: fixture.TestGateway[] = [];
  readonly #arrivals: Parameters<typeof limitCheck.computeLimitUse>[1][number][] = [];
  readonly #pending: Promise<void>[] = [];
  #startedAt = Infinity;
  #calls = 0;
  #served = 0;
  #refused = 0;

  constructor(options: LimitPlayOptions) {
    this.#options = options;
  }

  async start(): Promise<void> {
    await this.#platform.start();
    this.#platform.set("op/config", examples.createConfiguration(7));
    const { role, runners, limited } = this.#options;
    const { prefill, decode } = crashing.RUNNER_ROLE;
    const beside = {
      [prefill]: decode,
      [decode]: prefill,
      [crashing.RUNNER_ROLE.plain]: undefined,
    };
    for (let index = 1; index <= runners; index += 1)
      await this.#startRunner(`${role}-${index}`, role, index <= limited);
    const other = beside[role];
    if (other !== undefined) await this.#startRunner(`${other}-1`, other, false);
    for (let number = 1; number <= GATEWAY_COUNT; number += 1)
      this.#gateways.push(await this.#startGateway(number));
    await Promise.all(this.#gateways.map(({ ip }) => fixture.waitForReady(ip)));
  }

  async run(): Promise<void> {
    const { restartsGateways = false, quietMs = 0 } = this.#options;
    this.#startedAt = performance.now();
    const restarts = restartsGateways ? this.#restartInTurn() : Promise.resolve();
    const quietFrom = LIMIT_FROM_MS + 1_000;
    for (let count = 0; this.#elapsedMs < PLAY_MS; count += 1) {
      const isQuiet = this.#elapsedMs >= quietFrom && this.#elapsedMs < quietFrom + quietMs;
      if (!isQuiet) this.#pending.push(this.#send(count));
      const nextAt = this.#startedAt + (count + 1) * SEND_INTERVAL_MS;
      await sleep(Math.max(0, nextAt - performance.now()));
    }
    await restarts;
    await Promise.all(this.#pending);
  }

  createResult(): LimitPlayResult {
    const { role, limited, perSecond, limitToMs = PLAY_MS } = this.#options;
    const ids = Array.from({ length: limited }, (_, index) => `${role}-${index + 1}`);
    const from = this.#startedAt + LIMIT_FROM_MS;
    const to = this.#startedAt + limitToMs;
    const uses = ids
      .map((runner) => limitCheck.computeLimitUse({ runner, perSecond, from, to }, this.#arrivals))
      .filter((use) => use !== undefined);
    const endFrom = this.#startedAt + PLAY_MS - 2_000;
    return {
      uses,
      served: this.#served / this.#calls,
      refused: this.#refused / Math.max(1, this.#calls - this.#served),
      arrivalsAtEnd: ids.map(
        (id) => this.#arrivals.filter(({ runner, at }) => runner === id && at >= endFrom).length,
      ),
    };
  }

  async [Symbol.asyncDispose](): Promise<void> {
    for (const gateway of this.#gateways) await gateway[Symbol.asyncDispose]();
    for (const runner of this.#runners) await runner[Symbol.asyncDispose]();
    await this.#platform[Symbol.asyncDispose]();
  }

  get #elapsedMs(): number {
    return performance.now() - this.#startedAt;
  }

  #startGateway(number: number): Promise<fixture.TestGateway> {
    return fixture.startGateway(this.#platform, this.#options.net, number, { seeds: SEEDS });
  }

  async #startRunner(id: string, role: crashing.RunnerRole, isLimited: boolean): Promise<void> {
    const { perSecond, header = String(perSecond), rejects, limitToMs = PLAY_MS } = this.#options;
    const isNamed = (): boolean =>
      this.#elapsedMs >= LIMIT_FROM_MS && this.#elapsedMs < limitToMs && isLimited;
    const failure = rejects === true ? failing.FAILURE.reject : failing.FAILURE.none;
    const behaviour = {
      failure,
      every: 1,
      chooseLimit: () => (isNamed() ? header : undefined),
    };
    const runner = new failing.FailingRunner(id, role, behaviour, this.#arrivals as never);
    this.#runners.push(runner);
    await runner.start(this.#platform);
  }

  async #restartInTurn(): Promise<void> {
    await sleep(LIMIT_FROM_MS);
    for (let count = 1; this.#elapsedMs < PLAY_MS - RESTART_INTERVAL_MS; count += 1) {
      const place = count % GATEWAY_COUNT;
      await this.#gateways[place]?.[Symbol.asyncDispose]();
      this.#gateways[place] = await this.#startGateway(place + 1);
      await sleep(RESTART_INTERVAL_MS);
    }
  }

  async #send(count: number): Promise<void> {
    const { net, role, atOneGateway = false } = this.#options;
    this.#calls += 1;
    const number = atOneGateway ? 1 : 1 + (count % GATEWAY_COUNT);
    const isPlain = role === crashing.RUNNER_ROLE.plain;
    const id = `c${count}`;
    const prompt = { ...fixture.PROMPT, "prompt-prefix": `aa:50,${id}:50` };
    const headers = { "request-id": id, "deadline-ms": "1000", ...(isPlain ? {} : prompt) };
    const ip = `127.${net}.0.${number}`;
    const path = isPlain ? "/status/x" : "/notes/x";
    const answer = await fixture.send(ip, path, headers, `body ${id}`).catch(() => undefined);
    if (answer?.status === HTTP_OK) this.#served += 1;
    const isRefused =
      answer?.status === HTTP_UNAVAILABLE && answer.headers["retry-after"] !== undefined;
    if (isRefused) this.#refused += 1;
  }
}

function sleep(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}

/** Runs a play and returns what was observed. */
export async function runLimitPlay(options: LimitPlayOptions): Promise<LimitPlayResult> {
  await using play = new LimitPlay(options);
  await play.start();
  await play.run();
  return play.createResult();
}
