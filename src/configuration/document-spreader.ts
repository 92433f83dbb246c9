/**
 * Spreads documents between nodes: versions travel in the probes and, right after a change, to a
 * few random peers; whoever hears of a newer version pulls the document from the node that told it.
 */
import * as zod from "zod";
import * as clocks from "../kernel/clock.js";
import * as randoms from "../kernel/random.js";
import type * as membership from "../membership/types.js";
import * as fields from "../protocol/field-codec.js";
import type * as network from "../protocol/network.js";
import * as logEvents from "../telemetry/log-events.js";
import type * as telemetry from "../telemetry/types.js";
import * as calls from "./configuration-calls.js";
import type * as configurationStore from "./configuration-store.js";
import * as documentTransfer from "./document-transfer.js";
import * as digests from "./document-digest.js";
import type * as types from "./types.js";

const TOPIC = "configuration";
/** Hexadecimal digits of a digest that travel in the probes. */
const SHORT_DIGEST_DIGITS = 16;
/** Peers told right after a change. */
const ANNOUNCE_COUNT = 3;
/** Peers asked by a starting node. */
const ASKED_PEERS = 3;
const CALL_LIMIT_MS = 1000;
const PULL_LIMIT_MS = 5000;
/** Versions remembered as not applicable, so that they are not pulled again and again. */
const MAX_REJECTED = 16;

const shortVersionCodec = fields.createFieldCodec(
  zod.object({
    revision: zod.int().min(1),
    digest: zod.string().regex(/^[0-9a-f]{16}$/),
  }),
);

/** What the spreader works with. */
export interface SpreaderOptions {
  readonly network: network.PeerNetwork;
  readonly membership: membership.Membership;
  readonly store: configurationStore.ConfigurationStore;
  readonly clock: clocks.Clock;
  readonly random: randoms.RandomSource;
  readonly log: telemetry.EventLog;
}

type PullItem = zod.infer<typeof calls.PULL.reply>;

/** Tells, hears and pulls. */
export class DocumentSpreader {
  readonly #options: SpreaderOptions;
  readonly #rejected: string[] = [];
  readonly #packer = new documentTransfer.DocumentPacker();
  #isPulling = false;

  constructor(options: SpreaderOptions) {
    this.#options = options;
    const { network: peers, membership: members, store } = options;
    members.onGossip(TOPIC, {
      create: () => encodeVersion(store.current),
      onReceive: (payload, from) => {
        this.#handleVersion(shortVersionCodec.decode(payload), from);
      },
    });
    peers.onCall(calls.READ_VERSION, () => ({ version: store.current }));
    peers.onCall(calls.ANNOUNCE_VERSION, (version, from) => {
      this.#handleVersion(version, from);
      return {};
    });
    peers.onStream(calls.PULL, (request) => this.#sendChunks(request.base));
    store.onChange((inForce) => void this.#sendVersion(inForce));
  }

  /**
   * Asks a few peers for their document and takes the newest.
   *
   * @returns whether one answered, or there is none to ask.
   */
  async callPeers(): Promise<boolean> {
    const asked = this.#chooseOthers(ASKED_PEERS);
    const answers = asked.map(async (peer) => {
      const options = { timeoutMs: CALL_LIMIT_MS };
      const reply = await this.#options.network.call(peer.vm, calls.READ_VERSION, {}, options);
      return { vm: peer.vm, version: reply.version };
    });
    const settled = await Promise.allSettled(answers);
    const replies = settled.flatMap((result) =>
      result.status === "fulfilled" ? [result.value] : [],
    );
    for (const { version, vm } of replies) {
      if (version !== undefined && this.#isWanted(version)) await this.#readGuarded(version, vm);
    }
    return asked.length === 0 || replies.length > 0;
  }

  #handleVersion(version: digests.DocumentVersion, from: network.PeerIdentity): void {
    if (this.#isPulling || !this.#isWanted(version)) return;
    void this.#readGuarded(version, from.vm);
  }

  async #readGuarded(version: digests.DocumentVersion, vm: string): Promise<void> {
    this.#isPulling = true;
    try {
      const digest = await this.#readDocument(vm);
      const hasTold = digest?.startsWith(version.digest) === true;
      if (hasTold && this.#isWanted(version)) this.#addRejected(version);
    } catch (error) {
      const details = { vm, error: String(error) };
      this.#options.log.write(logEvents.LOG_EVENTS.configurationPullFailed, details);
    } finally {
      this.#isPulling = false;
    }
  }

  #isWanted(version: digests.DocumentVersion): boolean {
    const told = formatShortVersion(version);
    if (this.#rejected.includes(formatVersion(told))) return false;
    const { current } = this.#options.store;
    return digests.isNewer(told, current === undefined ? undefined : formatShortVersion(current));
  }

  #addRejected(version: digests.DocumentVersion): void {
    this.#rejected.push(formatVersion(formatShortVersion(version)));
    if (this.#rejected.length > MAX_REJECTED) this.#rejected.shift();
  }

  /** Reads the document in force at a peer and applies it; returns its digest if there is one. */
  async #readDocument(vm: string): Promise<string | undefined> {
    const { store } = this.#options;
    const base = store.findText(store.current?.digest ?? "");
    const packed = await this.#readPacked(vm, base?.digest);
    if (packed === undefined) return undefined;
    const input: unknown = JSON.parse(documentTransfer.decodeDocument(packed, base));
    store.apply({ revision: findRevision(input), document: input });
    return packed.digest;
  }

  async #readPacked(
    vm: string,
    base: string | undefined,
  ): Promise<documentTransfer.PackedDocument | undefined> {
    const chunks: Uint8Array[] = [];
    let size = 0;
    let first: Omit<documentTransfer.PackedDocument, "bytes"> | undefined;
    using limit = clocks.createTimeLimit(this.#options.clock, PULL_LIMIT_MS);
    const options = { timeoutMs: PULL_LIMIT_MS, signal: limit.signal };
    for await (const item of this.#options.network.stream(vm, calls.PULL, { base }, options)) {
      first ??= item;
      size += item.chunk.byteLength;
      if (size > calls.MAX_DOCUMENT_BYTES) throw new Error(`document of ${vm} is too large`);
      chunks.push(item.chunk);
    }
    if (first === undefined) return undefined;
    return { ...first, bytes: Buffer.concat(chunks) };
  }

  async *#sendChunks(baseDigest: string | undefined): AsyncGenerator<PullItem> {
    const { store } = this.#options;
    const document = store.findText(store.current?.digest ?? "");
    if (document === undefined) return;
    const base = store.findText(baseDigest ?? "");
    const { digest, isDifference, bytes } = this.#packer.encode(document, base);
    for (let start = 0; start < bytes.byteLength; start += calls.CHUNK_BYTES) {
      const chunk = bytes.subarray(start, start + calls.CHUNK_BYTES);
      yield await Promise.resolve({ digest, isDifference, chunk });
    }
  }

  async #sendVersion(version: types.InForce): Promise<void> {
    const { revision, digest } = version;
    const options = { timeoutMs: CALL_LIMIT_MS };
    const sends = this.#chooseOthers(ANNOUNCE_COUNT).map((peer) =>
      this.#options.network.call(peer.vm, calls.ANNOUNCE_VERSION, { revision, digest }, options),
    );
    await Promise.allSettled(sends);
  }

  #chooseOthers(count: number): readonly membership.Member[] {
    const { membership: members, random } = this.#options;
    const others = members.listAlive().filter((member) => member.vm !== members.self.vm);
    return randoms.createShuffled(others, random).slice(0, count);
  }
}

function formatShortVersion(version: digests.DocumentVersion): digests.DocumentVersion {
  return { revision: version.revision, digest: version.digest.slice(0, SHORT_DIGEST_DIGITS) };
}

function encodeVersion(version: digests.DocumentVersion | undefined): unknown {
  return version === undefined ? undefined : shortVersionCodec.encode(formatShortVersion(version));
}

function formatVersion(version: digests.DocumentVersion): string {
  return `${version.revision}/${version.digest}`;
}

function findRevision(input: unknown): number {
  const isRecord = typeof input === "object" && input !== null && "revision" in input;
  return isRecord && typeof input.revision === "number" ? input.revision : 0;
}
