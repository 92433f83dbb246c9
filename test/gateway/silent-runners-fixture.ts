/** Plays callers against several gateways while one of the plain runners takes calls and answers none. */
import type * as net from "node:net";
import * as examples from "../../standins/users-platform/examples.js";
import * as store from "../../standins/users-platform/store.js";
import * as raw from "../runners/raw-runner.js";
import * as fixture from "./gateway-fixture.js";

const RUNNER_COUNT = 3;
const DEADLINE_MS = 1_000;
const HTTP_OK = 200;
const SLOTS = 6;

/** A play of silent runners. */
export interface SilentPlay {
  /** Second byte of the loopback network, and number of the first gateway there. */
  readonly net: number;
  readonly first: number;
  readonly gateways: number;
  /** Path of the calls. */
  readonly path: string;
  /** Number of the runners that fall silent, after the start of the traffic. */
  readonly silent: number;
  /** Whether silent runners still answer queries. */
  readonly answersQueries: boolean;
  readonly playMs: number;
  /** Calls a second at each gateway. */
  readonly perSecond: number;
  /** Time that sound runners work on a call. */
  readonly workMs: number;
}

/** What callers and runners observed. */
export interface SilentResult {
  readonly calls: number;
  /** Calls without a success, by gateway. */
  readonly lost: readonly number[];
  /** Calls without a success that were sent in the second half of the play, by gateway. */
  readonly lostLate: readonly number[];
  /** Calls that arrived at silent runners. */
  readonly arrivals: number;
  /** Those of them that arrived after the first of them had failed. */
  readonly arrivalsAfter: number;
  /** Calls that were refused, having reached no runner. */
  readonly refused: number;
}

function parseId(head: string): string {
  return /request-id: (\S+)/i.exec(head)?.[1] ?? "";
}

/** What a play has started; it is closed in reverse order. */
class Started implements AsyncDisposable {
  readonly #items: AsyncDisposable[] = [];

  use<Item extends AsyncDisposable>(item: Item): Item {
    this.#items.push(item);
    return item;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    for (const item of this.#items.reverse()) await item[Symbol.asyncDispose]();
  }
}

/** Runs a play and returns what was observed. */
export async function runSilentPlay(play: SilentPlay): Promise<SilentResult> {
  const { gateways } = play;
  const lost = Array.from({ length: gateways }, () => 0);
  const lostLate = [...lost];
  const arrivedAt: number[] = [];
  let [startedAt, refused, calls] = [Infinity, 0, 0];
  const elapsed = (): number => performance.now() - startedAt;
  await using platform = new store.StoreStandIn();
  await platform.start();
  platform.set("op/config", examples.createConfiguration(7));
  await using started = new Started();
  for (let index = 1; index <= RUNNER_COUNT; index += 1) {
    const isSilent = (): boolean => index <= play.silent && elapsed() > 0;
    const answer = (socket: net.Socket, head: string): void => {
      if (isSilent()) arrivedAt.push(elapsed());
      else
        setTimeout(() => {
          socket.write(raw.formatResponse(parseId(head), "booked"));
        }, play.workMs);
    };
    const answerQuery = (socket: net.Socket): void => {
      if (play.answersQueries || !isSilent())
        socket.write("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
    };
    const runner = started.use(
      await raw.startRawRunner(
        `s${index}`,
        (socket, _count, head) => {
          answer(socket, head);
        },
        answerQuery,
      ),
    );
    const entry = examples.createRunnerEntry(`127.0.0.1:${runner.runner.port}`, { slots: SLOTS });
    platform.set(`servers/s${index}`, entry);
  }
  const ips: string[] = [];
  for (let index = 0; index < gateways; index += 1) {
    const changes = { seeds: [play.first] };
    const number = play.first + index;
    ips.push(started.use(await fixture.startGateway(platform, play.net, number, changes)).ip);
  }
  await Promise.all(ips.map((ip) => fixture.waitForReady(ip)));
  const send = async (count: number, place: number, isLate: boolean): Promise<void> => {
    const headers = { "request-id": `c${count}`, "deadline-ms": String(DEADLINE_MS) };
    const body = `body ${count}`;
    const { status } = await fixture.send(ips[place] ?? "", play.path, headers, body);
    if (status === HTTP_OK) return;
    if (status === 503) refused += 1;
    lost[place] = (lost[place] ?? 0) + 1;
    if (isLate) lostLate[place] = (lostLate[place] ?? 0) + 1;
  };
  const pending: Promise<void>[] = [];
  startedAt = performance.now();
  const intervalMs = 1_000 / play.perSecond / gateways;
  for (; elapsed() < play.playMs; calls += 1) {
    pending.push(send(calls, calls % gateways, elapsed() > play.playMs / 2));
    const waitMs = Math.max(0, startedAt + (calls + 1) * intervalMs - performance.now());
    await new Promise((resolve) => setTimeout(resolve, waitMs));
  }
  await Promise.all(pending);
  const failedAt = (arrivedAt[0] ?? 0) + DEADLINE_MS;
  const arrivalsAfter = arrivedAt.filter((at) => at > failedAt).length;
  return { calls, lost, lostLate, arrivals: arrivedAt.length, arrivalsAfter, refused };
}
