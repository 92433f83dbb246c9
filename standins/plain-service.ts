/** An emulated plain service that counts executions by idempotency key. */
import * as httpServer from "./http-server.js";

const MAX_KEYS = 100_000;
const NO_KEY = "none";

/** Faults that a test injects. */
export interface ServiceFaults {
  /** Delay before a call runs. */
  readonly delayMs: number;
  /** Runs calls, then resets the connection without a response. */
  readonly dropReply: boolean;
  /** Accepts calls but neither runs nor answers them. */
  readonly silent: boolean;
  /** Runs calls, then neither answers nor closes the connection. */
  readonly silentAfterRun: boolean;
}

/** Counts of calls and executions, for the assertions of a test. */
export interface ServiceReport {
  readonly total: number;
  /** Executions by `Idempotency-Key`; those without one under `none`. */
  readonly executions: Readonly<Record<string, number>>;
  /** Calls received, whether or not they were run. */
  readonly received: number;
}

const NO_FAULTS: ServiceFaults = {
  delayMs: 0,
  dropReply: false,
  silent: false,
  silentAfterRun: false,
};

/** Counters and faults of one service. */
export class PlainService {
  readonly #name: string;
  readonly #executions = new Map<string, number>();
  #total = 0;
  #received = 0;
  #faults = NO_FAULTS;

  constructor(name: string) {
    this.#name = name;
  }

  get faults(): ServiceFaults {
    return this.#faults;
  }

  /** Replaces the injected faults; those not given are cleared. */
  setFaults(faults: Partial<ServiceFaults>): void {
    this.#faults = { ...NO_FAULTS, ...faults };
  }

  recordReceived(): void {
    this.#received += 1;
  }

  /** Counts one execution of a call and returns the response body. */
  run(key: string | undefined, method: string, path: string, body: Uint8Array): object {
    const countedKey = key ?? NO_KEY;
    this.#total += 1;
    const executions = (this.#executions.get(countedKey) ?? 0) + 1;
    if (this.#executions.size < MAX_KEYS) this.#executions.set(countedKey, executions);
    return {
      service: this.#name,
      method,
      path,
      execution: this.#total,
      body: Buffer.from(body).toString("utf8"),
    };
  }

  getReport(): ServiceReport {
    return {
      total: this.#total,
      executions: Object.fromEntries(this.#executions),
      received: this.#received,
    };
  }
}

/**
 * Starts the HTTP server of a plain service. `GET /judge` returns the report and `POST /control`
 * replaces the faults; all other routes are calls.
 *
 * @example const server = await startPlainService(service, { host: "127.0.0.1", port: 0 });
 */
export function startPlainService(
  service: PlainService,
  address: httpServer.ListenAddress,
): Promise<httpServer.RunningServer> {
  const handlers: Readonly<Record<string, httpServer.Handler>> = {
    "GET /judge": ({ response }) => {
      httpServer.sendJson(response, 200, service.getReport());
    },
    "POST /control": (exchange) => {
      service.setFaults(httpServer.parseJson(exchange) as Partial<ServiceFaults>);
      httpServer.sendJson(exchange.response, 200, {});
    },
  };
  return httpServer.startServer(address, (route) => {
    return handlers[route] ?? ((exchange) => handleCall(service, exchange));
  });
}

async function handleCall(service: PlainService, exchange: httpServer.Exchange): Promise<void> {
  const { request, response, url, body } = exchange;
  service.recordReceived();
  const { delayMs, dropReply, silent, silentAfterRun } = service.faults;
  if (silent) return;
  if (delayMs > 0) await new Promise((resolve) => setTimeout(resolve, delayMs));
  const key = request.headers["idempotency-key"];
  const path = `${url.pathname}${url.search}`;
  const answer = service.run(key as string | undefined, request.method ?? "", path, body);
  if (dropReply) request.socket.resetAndDestroy();
  else if (!silentAfterRun) httpServer.sendJson(response, 200, answer);
}
