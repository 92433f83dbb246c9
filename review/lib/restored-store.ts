/** The platform's store, which can come back from a copy some seconds old, as in a drill. */
import * as events from "node:events";
import * as http from "node:http";
import type * as net from "node:net";

const MAX_WAIT_MS = 30_000;
const ERA_HEADER = "store-era";

interface Item {
  readonly key: string;
  readonly value: string;
  readonly revision: number;
}

interface State {
  readonly items: ReadonlyMap<string, Item>;
  readonly history: readonly Item[];
  readonly revision: number;
}

const EMPTY: State = { items: new Map(), history: [], revision: 1 };

/** A store that listens on loopback; it serves ranges and watches. */
export class RestoredStore implements AsyncDisposable {
  #state = EMPTY;
  #era = 1;
  #isAway = false;
  readonly #changed = new events.EventEmitter();
  readonly #server = http.createServer((request, response) => {
    void this.#handle(request.url ?? "/", response);
  });

  constructor() {
    this.#changed.setMaxListeners(0);
  }

  get address(): string {
    const { address, port } = this.#server.address() as net.AddressInfo;
    return `${address}:${port}`;
  }

  get revision(): number {
    return this.#state.revision;
  }

  async start(): Promise<void> {
    this.#server.listen(0, "127.0.0.1");
    await events.default.once(this.#server, "listening");
  }

  set(key: string, value: unknown): void {
    const revision = this.#state.revision + 1;
    const item = { key, value: Buffer.from(JSON.stringify(value)).toString("base64"), revision };
    const items = new Map(this.#state.items).set(key, item);
    this.#state = { items, history: [...this.#state.history, item], revision };
    this.#changed.emit("change");
  }

  /** Returns a copy of what the store holds now. */
  copy(): State {
    return this.#state;
  }

  /** Ends all connections and answers 503 until `restore`. */
  leave(): void {
    this.#isAway = true;
    this.#server.closeAllConnections();
  }

  /** Comes back from a copy: what was written since is gone, and its revisions are given out again. */
  restore(state: State): void {
    this.#state = state;
    this.#era += 1;
    this.#isAway = false;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#server.closeAllConnections();
    this.#server.close();
    await events.default.once(this.#server, "close");
  }

  async #handle(target: string, response: http.ServerResponse): Promise<void> {
    const url = new URL(target, "http://store.invalid");
    const isWatch = url.pathname === "/-/kv-watch";
    const prefix = url.searchParams.get("path_prefix") ?? "";
    const answer = isWatch ? await this.#watch(url, prefix) : this.#createRange(prefix);
    const status = this.#isAway ? 503 : answer === undefined ? 410 : 200;
    response.writeHead(status, {
      "content-type": "application/json",
      [ERA_HEADER]: String(this.#era),
    });
    response.end(status === 200 ? JSON.stringify(answer) : "");
  }

  #createRange(prefix: string): unknown {
    const items = [...this.#state.items.values()].filter(({ key }) => key.startsWith(prefix));
    return { items, truncated: false, as_of: this.#state.revision };
  }

  async #watch(url: URL, prefix: string): Promise<unknown> {
    const after = Number(url.searchParams.get("after"));
    const waitMs = Math.min(MAX_WAIT_MS, Number(url.searchParams.get("wait_ms")));
    const signal = AbortSignal.timeout(waitMs);
    while (!this.#isAway && after <= this.#state.revision) {
      const { history, revision } = this.#state;
      const changes = history.filter(
        (item) => item.revision > after && item.key.startsWith(prefix),
      );
      if (changes.length > 0 || signal.aborted) return { events: changes, as_of: revision };
      await events.default.once(this.#changed, "change", { signal }).catch(() => undefined);
    }
    return undefined;
  }
}
