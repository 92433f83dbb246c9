/**
 * Replicates documents between nodes. The version of the active document is piggybacked on probes
 * and, right after a change, announced to a few random peers. A node that receives a newer version
 * pulls the document from the sender, unless a pull is in progress or the version was rejected.
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

const GOSSIP_TOPIC = "configuration";
/** Hexadecimal digits of a digest that are sent with probes. */
const SHORT_DIGEST_DIGITS = 16;
/** Peers notified right after a change. */
const ANNOUNCE_PEERS = 3;
/** Peers queried by a starting node. */
const QUERIED_PEERS = 3;
const CALL_TIMEOUT_MS = 1000;
/** Time limit of the whole transfer of a document. */
const PULL_TIMEOUT_MS = 5000;
/** Maximum number of rejected versions remembered, so that they are not pulled repeatedly. */
const MAX_REJECTED_VERSIONS = 16;

const shortVersionCodec = fields.createFieldCodec(
  zod.object({
    revision: zod.int().min(1),
    digest: zod.string().regex(/^[0-9a-f]{16}$/),
  }),
);

/** Services that the replicator uses. */
export interface DocumentReplicatorOptions {
  readonly network: network.PeerNetwork;
  readonly membership: membership.Membership;
  readonly store: configurationStore.ConfigurationStore;
  readonly clock: clocks.Clock;
  readonly random: randoms.RandomSource;
  readonly log: telemetry.EventLog;
}

type PullItem = zod.infer<typeof calls.PULL.reply>;

/** Announces the active version, receives the versions of peers, and pulls newer documents. */
export class DocumentReplicator {
  readonly #options: DocumentReplicatorOptions;
  readonly #rejectedVersions: string[] = [];
  readonly #encoder = new documentTransfer.DocumentEncoder();
  #isPulling = false;

  constructor(options: DocumentReplicatorOptions) {
    this.#options = options;
    const { network: peers, membership: members, store } = options;
    members.onGossip(GOSSIP_TOPIC, {
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
    store.onChange((active) => void this.#sendVersion(active));
  }

  /**
   * Reads the versions of a few peers and pulls each document that is newer than the active one.
   *
   * @returns whether a peer answered; also true if there is no peer to query.
   */
  async pullFromPeers(): Promise<boolean> {
    const queried = this.#choosePeers(QUERIED_PEERS);
    const calling = queried.map(async (peer) => {
      const options = { timeoutMs: CALL_TIMEOUT_MS };
      const reply = await this.#options.network.call(peer.vm, calls.READ_VERSION, {}, options);
      return { vm: peer.vm, version: reply.version };
    });
    const settled = await Promise.allSettled(calling);
    const replies = settled.flatMap((result) =>
      result.status === "fulfilled" ? [result.value] : [],
    );
    for (const { version, vm } of replies) {
      if (version !== undefined && this.#isPullNeeded(version))
        await this.#pullVersion(version, vm);
    }
    return queried.length === 0 || replies.length > 0;
  }

  #handleVersion(version: digests.DocumentVersion, from: network.PeerIdentity): void {
    if (this.#isPulling || !this.#isPullNeeded(version)) return;
    void this.#pullVersion(version, from.vm);
  }

  async #pullVersion(version: digests.DocumentVersion, vm: string): Promise<void> {
    this.#isPulling = true;
    try {
      const digest = await this.#pullDocument(vm);
      const isPulledVersion = digest?.startsWith(version.digest) === true;
      if (isPulledVersion && this.#isPullNeeded(version)) this.#addRejected(version);
    } catch (error) {
      const details = { vm, error: String(error) };
      this.#options.log.write(logEvents.LOG_EVENTS.configurationPullFailed, details);
    } finally {
      this.#isPulling = false;
    }
  }

  #isPullNeeded(version: digests.DocumentVersion): boolean {
    const short = createShortVersion(version);
    if (this.#rejectedVersions.includes(formatVersion(short))) return false;
    const { current } = this.#options.store;
    return digests.isNewer(short, current === undefined ? undefined : createShortVersion(current));
  }

  #addRejected(version: digests.DocumentVersion): void {
    this.#rejectedVersions.push(formatVersion(createShortVersion(version)));
    if (this.#rejectedVersions.length > MAX_REJECTED_VERSIONS) this.#rejectedVersions.shift();
  }

  /** Pulls a peer's active document and applies it; returns its digest if there is one. */
  async #pullDocument(vm: string): Promise<string | undefined> {
    const { store } = this.#options;
    const base = store.findText(store.current?.digest ?? "");
    const encoded = await this.#receiveEncoded(vm, base?.digest);
    if (encoded === undefined) return undefined;
    const input: unknown = JSON.parse(documentTransfer.decodeDocument(encoded, base));
    store.apply({ revision: findRevision(input), document: input });
    return encoded.digest;
  }

  async #receiveEncoded(
    vm: string,
    base: string | undefined,
  ): Promise<documentTransfer.EncodedDocument | undefined> {
    const chunks: Uint8Array[] = [];
    let size = 0;
    let first: Omit<documentTransfer.EncodedDocument, "bytes"> | undefined;
    using limit = clocks.createTimeLimit(this.#options.clock, PULL_TIMEOUT_MS);
    const options = { timeoutMs: PULL_TIMEOUT_MS, signal: limit.signal };
    for await (const item of this.#options.network.stream(vm, calls.PULL, { base }, options)) {
      first ??= item;
      size += item.chunk.byteLength;
      if (size > calls.MAX_DOCUMENT_BYTES) {
        throw new Error(`document of ${vm} exceeds ${calls.MAX_DOCUMENT_BYTES} bytes`);
      }
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
    const { digest, isDelta, bytes } = this.#encoder.encode(document, base);
    for (let start = 0; start < bytes.byteLength; start += calls.CHUNK_BYTES) {
      const chunk = bytes.subarray(start, start + calls.CHUNK_BYTES);
      yield await Promise.resolve({ digest, isDelta, chunk });
    }
  }

  async #sendVersion(version: types.ActiveConfiguration): Promise<void> {
    const { revision, digest } = version;
    const options = { timeoutMs: CALL_TIMEOUT_MS };
    const sends = this.#choosePeers(ANNOUNCE_PEERS).map((peer) =>
      this.#options.network.call(peer.vm, calls.ANNOUNCE_VERSION, { revision, digest }, options),
    );
    await Promise.allSettled(sends);
  }

  #choosePeers(count: number): readonly membership.Member[] {
    const { membership: members, random } = this.#options;
    const others = members.listAlive().filter((member) => member.vm !== members.self.vm);
    return randoms.createShuffled(others, random).slice(0, count);
  }
}

function createShortVersion(version: digests.DocumentVersion): digests.DocumentVersion {
  return { revision: version.revision, digest: version.digest.slice(0, SHORT_DIGEST_DIGITS) };
}

function encodeVersion(version: digests.DocumentVersion | undefined): unknown {
  return version === undefined ? undefined : shortVersionCodec.encode(createShortVersion(version));
}

function formatVersion(version: digests.DocumentVersion): string {
  return `${version.revision}/${version.digest}`;
}

function findRevision(input: unknown): number {
  const isRecord = typeof input === "object" && input !== null && "revision" in input;
  return isRecord && typeof input.revision === "number" ? input.revision : 0;
}
