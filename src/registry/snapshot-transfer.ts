/**
 * Transfers snapshots of a registry between VMs: compressed, and in parts that continue where a broken transfer stopped, so that
 * neither the size of a snapshot nor a slow link keeps it from arriving.
 */
import * as crypto from "node:crypto";
import * as zlib from "node:zlib";
import * as cbor from "cbor-x";
import * as zod from "zod";
import * as clocks from "../kernel/clock.js";
import * as network from "../protocol/network.js";
import type * as registryView from "./registry-view.js";
import type * as types from "./types.js";
import type * as valueHistory from "./value-history.js";

/** Size of the parts; a link of 10 Mbit/s carries one in 13 ms. */
const PART_BYTES = 16_384;
/** Limits of an encoded snapshot and of its decoded items. */
const MAX_ENCODED_BYTES = 8 * 1_048_576;
const MAX_DECODED_BYTES = 16 * 1_048_576;
const MAX_ITEMS = 20_000;
const ID_DIGITS = 16;

const positionSchema = zod.int().min(0);

const itemsSchema = zod
  .array(
    zod.object({ key: zod.string(), revision: positionSchema, value: zod.unknown().optional() }),
  )
  .max(MAX_ITEMS);

/** Schema of a snapshot in one message, as VMs of earlier builds exchange it. */
export const snapshotSchema = zod.object({
  revision: positionSchema,
  items: itemsSchema,
  /** Newest change in the sender's view; absent from nodes of an earlier version. */
  newestRevision: positionSchema.optional(),
  /** Epoch of all revisions, and its part; absent from nodes of an earlier version. */
  epoch: positionSchema.optional(),
  rewinds: positionSchema.optional(),
});

/** A snapshot of a peer's view, whose values have not been checked. */
export type PeerSnapshot = zod.infer<typeof snapshotSchema>;

/** Limit on the items of which a receiver names its values. */
const MAX_BASES = 16;

const baseSchema = zod.object({
  key: zod.string(),
  revision: positionSchema,
  hash: positionSchema,
});

const requestSchema = zod.object({
  /** Encoded items of which the receiver has the first `offset` bytes. */
  id: zod.string().max(ID_DIGITS).optional(),
  offset: zod.int().min(0),
  /** The receiver's values, from which differences may start; absent from nodes of an earlier version. */
  bases: zod.array(baseSchema).max(MAX_BASES).optional(),
});

/** Items as differences from the values that the receiver named. */
const deltasSchema = zod
  .array(
    zod.object({
      key: zod.string(),
      baseRevision: positionSchema,
      baseHash: positionSchema,
      revision: positionSchema,
      delta: zod.unknown(),
    }),
  )
  .max(MAX_BASES);

const partSchema = zod.object({
  epoch: positionSchema,
  /** Part of the epoch; absent from nodes of an earlier version. */
  rewinds: positionSchema.optional(),
  revision: positionSchema,
  newestRevision: positionSchema,
  /** Hash of the encoded items; equal items may have different encodings. */
  id: zod.string().length(ID_DIGITS),
  offset: zod.int().min(0),
  totalBytes: zod.int().min(1).max(MAX_ENCODED_BYTES),
  bytes: zod.instanceof(Uint8Array),
  /** Whether the bytes are differences; absent from nodes of an earlier version. */
  isDelta: zod.boolean().optional(),
});

type TransferRequest = zod.infer<typeof requestSchema>;
type SnapshotPart = zod.infer<typeof partSchema>;

/** Streamed call that transfers a snapshot. */
export type SnapshotCall = network.PeerCall<TransferRequest, SnapshotPart>;

/** @param kind - number of the peer call; unique among all peer calls. */
export function createSnapshotCall(kind: number, name: string): SnapshotCall {
  return network.createPeerCall<TransferRequest, SnapshotPart>(
    kind,
    `stream-${name}`,
    requestSchema,
    partSchema,
  );
}

interface EncodedItems {
  readonly id: string;
  readonly bytes: Buffer<ArrayBuffer>;
}

/** Encodes the items of a view, and differences to them, once for all VMs that ask for them. */
export class SnapshotSender<Value> {
  readonly #clock: clocks.Clock;
  readonly #view: registryView.RegistryView<Value>;
  readonly #history: valueHistory.ValueHistory<Value> | undefined;
  #encoded: EncodedItems | undefined;
  /** Encoded differences, by the bases from which they start. */
  readonly #encodedDeltas = new Map<string, EncodedItems>();

  /** @param history - earlier values, without which whole items are sent. */
  constructor(
    clock: clocks.Clock,
    view: registryView.RegistryView<Value>,
    history?: valueHistory.ValueHistory<Value>,
  ) {
    this.#clock = clock;
    this.#view = view;
    this.#history = history;
    const onNewItems = (): void => {
      this.#encoded = undefined;
      this.#encodedDeltas.clear();
    };
    view.onChange(onNewItems);
    view.onEpoch(onNewItems);
  }

  /** Yields the parts that the receiver lacks; at least one, which may be empty. */
  async *streamParts(request: TransferRequest): AsyncGenerator<SnapshotPart, undefined> {
    const { epoch, rewinds, revision, newestRevision } = this.#view;
    const deltas = this.#useEncodedDeltas(request.bases ?? []);
    const { id, bytes } = deltas ?? this.#useEncoded();
    const epochPart = rewinds > 0 ? { rewinds } : {};
    const position = { epoch, ...epochPart, revision, newestRevision };
    const head = { ...position, id, totalBytes: bytes.byteLength };
    const kind = deltas === undefined ? {} : { isDelta: true };
    let offset = request.id === id ? Math.min(request.offset, bytes.byteLength) : 0;
    do {
      const part = bytes.subarray(offset, offset + PART_BYTES);
      yield { ...head, offset, bytes: part, ...kind };
      offset += part.byteLength;
      // Other calls of the process go on between the parts.
      if (offset < bytes.byteLength) await clocks.sleep(this.#clock, 0);
    } while (offset < bytes.byteLength);
  }

  #useEncoded(): EncodedItems {
    this.#encoded ??= encodeItems(this.#view.list());
    return this.#encoded;
  }

  /** Returns the differences from the bases; `undefined` unless they make up all items. */
  #useEncodedDeltas(bases: readonly (types.ItemBase & { readonly key: string })[]) {
    const history = this.#history;
    const items = this.#view.list();
    if (history === undefined || bases.length === 0 || bases.length !== items.length)
      return undefined;
    const name = bases.map(({ key, revision, hash }) => `${key}@${revision}/${hash}`).join(" ");
    const known = this.#encodedDeltas.get(name);
    if (known !== undefined) return known;
    const deltas = bases.flatMap((base) => {
      const { key, revision: baseRevision, hash: baseHash } = base;
      const made = history.createDelta(key, base);
      const isNewest = made?.revision === items.find((item) => item.key === key)?.revision;
      return made === undefined || !isNewest ? [] : [{ key, baseRevision, baseHash, ...made }];
    });
    if (deltas.length !== items.length) return undefined;
    const encoded = encodeItems(deltas);
    this.#encodedDeltas.set(name, encoded);
    return encoded;
  }
}

/** Encoded items of which a part has been received. */
interface PartialItems {
  readonly id: string;
  readonly parts: Uint8Array[];
  receivedBytes: number;
}

/** What a transfer took. */
export interface TransferProgress {
  /** Called with each part. */
  readonly onPart: (bytes: number) => void;
  /** Called when all parts have been received. */
  readonly onReceived: () => void;
}

/** Dependencies of a `SnapshotReceiver`. */
export interface SnapshotReceiverOptions<Value> {
  readonly clock: clocks.Clock;
  readonly peers: Pick<network.PeerNetwork, "stream">;
  readonly call: SnapshotCall;
  /** This VM's values, from which differences may start; without them, whole items are asked for. */
  readonly known?: {
    readonly view: registryView.RegistryView<Value>;
    readonly history: valueHistory.ValueHistory<Value>;
  };
  readonly progress?: TransferProgress;
}

/** Receives snapshots. A transfer that breaks off is continued by the next one of the same items, from any peer. */
export class SnapshotReceiver<Value> {
  readonly #options: SnapshotReceiverOptions<Value>;
  #broken: PartialItems | undefined;
  /** Whether differences did not fit this VM's values, so that whole items are asked for. */
  #needsWhole = false;

  constructor(options: SnapshotReceiverOptions<Value>) {
    this.#options = options;
  }

  /**
   * @param timeoutMs - longest time without a part.
   * @throws PeerCallError, with `failed` from a peer of a build without the call; or an error that names what is malformed.
   */
  async receive(vm: string, timeoutMs: number): Promise<PeerSnapshot> {
    const { clock, peers, call, progress } = this.#options;
    const silence = new AbortController();
    const startLimit = (): (() => void) =>
      clock.schedule(timeoutMs, () => {
        silence.abort(new Error(`no part within ${timeoutMs} ms`));
      });
    let items: PartialItems = this.#broken ?? { id: "", parts: [], receivedBytes: 0 };
    const request = this.#createRequest(this.#broken);
    this.#broken = undefined;
    let cancelLimit = startLimit();
    try {
      const options = { timeoutMs, signal: silence.signal };
      for await (const part of peers.stream(vm, call, request, options)) {
        cancelLimit();
        items = addPart(items, part);
        progress?.onPart(part.bytes.byteLength);
        if (items.receivedBytes === part.totalBytes) {
          progress?.onReceived();
          return this.#decode(part, items.parts);
        }
        cancelLimit = startLimit();
      }
      throw new Error(`snapshot of ${vm} ended after ${items.receivedBytes} bytes`);
    } catch (error) {
      if (items.receivedBytes > 0) this.#broken = items;
      throw error;
    } finally {
      cancelLimit();
    }
  }

  #createRequest(broken: PartialItems | undefined): TransferRequest {
    const bases = this.#needsWhole ? [] : this.#listBases();
    const named = bases.length === 0 || bases.length > MAX_BASES ? {} : { bases };
    if (broken === undefined) return { offset: 0, ...named };
    return { id: broken.id, offset: broken.receivedBytes, ...named };
  }

  #listBases() {
    const { known } = this.#options;
    const items = known?.view.list() ?? [];
    return items.flatMap(({ key }) => {
      const base = known?.history.findBase(key);
      return base === undefined ? [] : [{ key, ...base }];
    });
  }

  /** @throws when the items are malformed, larger than `MAX_DECODED_BYTES`, or differences from values that are not known. */
  #decode(part: SnapshotPart, parts: readonly Uint8Array[]): PeerSnapshot {
    const { epoch, rewinds, revision, newestRevision, isDelta = false } = part;
    const decoded = decodeParts(parts);
    const items = isDelta ? this.#applyDeltas(decoded) : itemsSchema.parse(decoded);
    this.#needsWhole = false;
    const epochPart = rewinds === undefined ? {} : { rewinds };
    return { epoch, ...epochPart, revision, newestRevision, items };
  }

  #applyDeltas(decoded: unknown): PeerSnapshot["items"] {
    const { known } = this.#options;
    this.#needsWhole = true;
    const items = deltasSchema.parse(decoded).map((item) => {
      const { key, baseRevision, baseHash, revision, delta } = item;
      const base = { revision: baseRevision, hash: baseHash };
      return { key, revision, value: known?.history.applyDelta(key, base, delta) };
    });
    this.#needsWhole = false;
    return items;
  }
}

/** @throws when the part does not continue what was received. */
function addPart(items: PartialItems, part: SnapshotPart): PartialItems {
  const continued = part.id === items.id ? items : { id: part.id, parts: [], receivedBytes: 0 };
  if (part.offset !== continued.receivedBytes)
    throw new Error(`part at ${part.offset}, expected at ${continued.receivedBytes}`);
  continued.parts.push(part.bytes);
  continued.receivedBytes += part.bytes.byteLength;
  return continued;
}

function encodeItems(items: readonly unknown[]): EncodedItems {
  const level = zlib.constants.Z_BEST_SPEED;
  const bytes = Buffer.from(zlib.deflateRawSync(cbor.encode(items), { level }));
  const id = crypto.createHash("sha256").update(bytes).digest("hex").slice(0, ID_DIGITS);
  return { id, bytes };
}

/** @throws when the bytes are malformed or decode to more than `MAX_DECODED_BYTES`. */
function decodeParts(parts: readonly Uint8Array[]): unknown {
  const limits = { maxOutputLength: MAX_DECODED_BYTES };
  return cbor.decode(zlib.inflateRawSync(Buffer.concat(parts), limits));
}
