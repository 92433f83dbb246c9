/** Finds out which start of a runner is at the other end of a connection. */
import type * as net from "node:net";
import type * as gateway from "../gateway/types.js";
import * as clocks from "../kernel/clock.js";
import type * as runnerCalls from "./runner-calls.js";
import type * as types from "./types.js";

/** Time limit of a query; runners answer it without waiting for a slot, and nothing waits for it. */
const QUERY_TIMEOUT_MS = 1_000;
const MAX_QUERIES = 3;
/** Statuses of a report, and of a runner that has no reports. */
const REPORT_STATUSES: ReadonlySet<number> = new Set([200, 404]);
/** Least time that a runner takes to start again. */
const MIN_RESTART_MS = 500;

/** A connection to a runner. */
export type Connection = Pick<net.Socket, "destroyed">;

/** Services that `ConnectionStarts` uses. */
export interface ConnectionStartsOptions {
  readonly clock: clocks.Clock;
  readonly calls: Pick<runnerCalls.RunnerCalls, "sendMessage">;
  readonly codec: gateway.RunnerCodec;
}

/** The starts at the other end of kept connections. A connection ends with the process to which it was made. */
export class ConnectionStarts {
  readonly #options: ConnectionStartsOptions;
  readonly #starts = new WeakMap<Connection, Promise<number | undefined>>();

  constructor(options: ConnectionStartsOptions) {
    this.#options = options;
  }

  /**
   * Returns the start time of the process at the other end of a connection that is in use, in Unix milliseconds;
   * `undefined` if the runner does not state it. It asks once per connection, over any connection: a process that
   * answers is the one to which the connection was made, unless that has ended, and then the connection has too.
   */
  readStart(runner: types.Runner, connection: Connection): Promise<number | undefined> {
    const known = this.#starts.get(connection);
    if (known !== undefined) return known;
    const start = this.#readWithRetries(runner, connection);
    this.#starts.set(connection, start);
    return start;
  }

  async #readWithRetries(
    runner: types.Runner,
    connection: Connection,
  ): Promise<number | undefined> {
    const { clock } = this.#options;
    const startedAt = clock.now();
    const isSameProcess = (): boolean =>
      !connection.destroyed || clock.now() - startedAt < MIN_RESTART_MS;
    for (let query = 1; query <= MAX_QUERIES && isSameProcess(); query += 1) {
      const bornAt = await this.#readStated(runner);
      if (bornAt !== undefined) return isSameProcess() ? bornAt : undefined;
    }
    return undefined;
  }

  async #readStated(runner: types.Runner): Promise<number | undefined> {
    const { clock, calls, codec } = this.#options;
    using limit = clocks.createTimeLimit(clock, QUERY_TIMEOUT_MS);
    try {
      const message = codec.formatReport(runner);
      const answer = await calls.sendMessage(runner, message, QUERY_TIMEOUT_MS, limit.signal);
      if (!REPORT_STATUSES.has(answer.status)) return undefined;
      const { isOtherRunner, bornAt } = codec.parseProbe(answer.status, answer.body);
      // Runners that state no start in their answers have none in their entries either.
      return isOtherRunner ? undefined : (bornAt ?? 0);
    } catch {
      return undefined;
    }
  }
}
