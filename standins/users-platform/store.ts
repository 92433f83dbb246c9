/** The emulated store of the users' platform: range reads, watches, outages and compaction. */
import * as events from "node:events";
import * as http from "node:http";
import type * as net from "node:net";

const MAX_WAIT_MS = 30_000;
/** Limits of one page of a range. */
const MAX_PAGE_ITEMS = 500;
const MAX_PAGE_BYTES = 1_000_000;

interface Item {
  readonly key: string;
  readonly value: string;
  readonly revision: number;
}

interface Change extends Partial<Item> {
  readonly key: string;
  readonly revision: number;
  readonly removed?: true;
}

/** What the store keeps. */
export interface StoreCopy {
  readonly items: ReadonlyMap<string, Item>;
  readonly history: readonly Change[];
  readonly compactedRevision: number;
  readonly revision: number;
}

/** How the store responds: normally, with status 503, or not at all. */
export const STORE_MODE = { sound: "sound", busy: "busy", silent: "silent" } as const;

/** One of the values of `STORE_MODE`. */
export type StoreMode = (typeof STORE_MODE)[keyof typeof STORE_MODE];

/** An emulated store that listens on loopback. */
export class StoreStandIn implements AsyncDisposable {
  mode: StoreMode = STORE_MODE.sound;
  /** Number of calls received. */
  calls = 0;
  #items = new Map<string, Item>();
  readonly #changed = new events.EventEmitter();
  readonly #server = http.createServer((request, response) => {
    void this.#handle(request, response);
  });
  #history: Change[] = [];
  #compactedRevision = 0;
  #revision = 1;
  #era: string | undefined = "1";

  constructor() {
    this.#changed.setMaxListeners(0);
  }

  get address(): string {
    const { address, port } = this.#server.address() as net.AddressInfo;
    return `${address}:${port}`;
  }

  async start(): Promise<void> {
    this.#server.listen(0, "127.0.0.1");
    await events.default.once(this.#server, "listening");
  }

  /** Writes a value at a new revision: bytes unchanged, anything else as JSON. */
  set(key: string, value: unknown): void {
    const bytes = Buffer.isBuffer(value) ? value : Buffer.from(JSON.stringify(value));
    this.#revision += 1;
    const item = { key, value: bytes.toString("base64"), revision: this.#revision };
    this.#items.set(key, item);
    this.#add(item);
  }

  remove(key: string): void {
    this.#revision += 1;
    this.#items.delete(key);
    this.#add({ key, revision: this.#revision, removed: true });
  }

  /** Sets what the header of all answers names as the era; `undefined` for no header. */
  setEra(era: string | undefined): void {
    this.#era = era;
  }

  /** Returns a copy of what the store keeps now. */
  copy(): StoreCopy {
    return {
      items: new Map(this.#items),
      history: [...this.#history],
      compactedRevision: this.#compactedRevision,
      revision: this.#revision,
    };
  }

  /**
   * Comes back from a copy: what was written since is gone, and its revisions are given out again. The era rises, unless the
   * store names none.
   */
  restore({ items, history, compactedRevision, revision }: StoreCopy): void {
    this.#server.closeAllConnections();
    this.#items = new Map(items);
    this.#history = [...history];
    this.#compactedRevision = compactedRevision;
    this.#revision = revision;
    if (this.#era !== undefined) this.#era = String(Number(this.#era) + 1);
    this.#changed.emit("change");
  }

  /** Discards the history so far; watches from an earlier revision than the current one get 410. */
  compact(): void {
    this.#history = [];
    this.#compactedRevision = this.#revision;
    this.#changed.emit("change");
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#server.closeAllConnections();
    this.#server.close();
    await events.default.once(this.#server, "close");
  }

  #add(change: Change): void {
    this.#history.push(change);
    this.#changed.emit("change");
  }

  async #handle(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    this.calls += 1;
    if (this.mode === STORE_MODE.silent) return;
    if (this.mode === STORE_MODE.busy) {
      response.writeHead(503).end();
      return;
    }
    const url = new URL(request.url ?? "/", "http://store.invalid");
    const prefix = url.searchParams.get("path_prefix") ?? "";
    const isWatch = url.pathname === "/-/kv-watch";
    const answer = isWatch ? await this.#watch(url, prefix) : this.#createRange(url, prefix);
    const era = this.#era === undefined ? {} : { "store-era": this.#era };
    const headers = { "content-type": "application/json", ...era };
    if (answer === undefined) response.writeHead(410, era).end();
    else response.writeHead(200, headers).end(JSON.stringify(answer));
  }

  /** Returns a page of the items after the given key, in the order of their keys. */
  #createRange(url: URL, prefix: string): unknown {
    const after = url.searchParams.get("after") ?? "";
    const rest = [...this.#items.values()]
      .filter(({ key }) => key.startsWith(prefix) && key > after)
      .sort((one, other) => (one.key < other.key ? -1 : 1));
    let bytes = 0;
    const end = rest.findIndex(({ value }, index) => {
      bytes += value.length;
      return index > 0 && (index >= MAX_PAGE_ITEMS || bytes > MAX_PAGE_BYTES);
    });
    const items = end < 0 ? rest : rest.slice(0, end);
    return { items, truncated: end >= 0, as_of: this.#revision };
  }

  async #watch(url: URL, prefix: string): Promise<unknown> {
    const after = Number(url.searchParams.get("after"));
    const waitMs = Math.min(MAX_WAIT_MS, Number(url.searchParams.get("wait_ms")));
    const signal = AbortSignal.timeout(waitMs);
    while (after >= this.#compactedRevision && after <= this.#revision) {
      const changes = this.#history.filter(
        (change) => change.revision > after && change.key.startsWith(prefix),
      );
      if (changes.length > 0 || signal.aborted) return { events: changes, as_of: this.#revision };
      await events.default.once(this.#changed, "change", { signal }).catch(() => undefined);
    }
    return undefined;
  }
}
