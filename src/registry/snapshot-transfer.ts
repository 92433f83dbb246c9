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

const requestSchema = zod.object({
  /** Encoded items of which the receiver has the first `offset` bytes. */
  id: zod.string().max(ID_DIGITS).optional(),
  offset: zod.int().min(0),
});

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

/** Encodes the items of a view once for all VMs that ask for them. */
export class SnapshotSender<Value> {
  readonly #clock: clocks.Clock;
  readonly #view: registryView.RegistryView<Value>;
  #encoded: EncodedItems | undefined;

  constructor(clock: clocks.Clock, view: registryView.RegistryView<Value>) {
    this.#clock = clock;
    this.#view = view;
    view.onChange(() => {
      this.#encoded = undefined;
    });
    view.onEpoch(() => {
      this.#encoded = undefined;
    });
  }

  /** Yields the parts that the receiver lacks; at least one, which may be empty. */
  async *streamParts(request: TransferRequest): AsyncGenerator<SnapshotPart, undefined> {
    const { epoch, rewinds, revision, newestRevision } = this.#view;
    const { id, bytes } = this.#useEncoded();
    const epochPart = rewinds > 0 ? { rewinds } : {};
    const position = { epoch, ...epochPart, revision, newestRevision };
    const head = { ...position, id, totalBytes: bytes.byteLength };
    let offset = request.id === id ? Math.min(request.offset, bytes.byteLength) : 0;
    do {
      const part = bytes.subarray(offset, offset + PART_BYTES);
      yield { ...head, offset, bytes: part };
      offset += part.byteLength;
      // Other calls of the process go on between the parts.
      await clocks.sleep(this.#clock, 0);
    } while (offset < bytes.byteLength);
  }

  #useEncoded(): EncodedItems {
    this.#encoded ??= encodeItems(this.#view.list());
    return this.#encoded;
  }
}

/** Encoded items of which a part has been received. */
interface PartialItems {
  readonly id: string;
  readonly parts: Uint8Array[];
  receivedBytes: number;
}

/** What a receiver tells of a transfer. */
export interface TransferProgress {
  /** Called with the size of each part. */
  readonly onPart: (bytes: number) => void;
  /** Called when all parts have been received. */
  readonly onReceived: () => void;
}

/** Receives snapshots. A transfer that breaks off is continued by the next one of the same items, from any peer. */
export class SnapshotReceiver {
  readonly #clock: clocks.Clock;
  readonly #peers: Pick<network.PeerNetwork, "stream">;
  readonly #call: SnapshotCall;
  readonly #progress: TransferProgress | undefined;
  #broken: PartialItems | undefined;

  constructor(
    clock: clocks.Clock,
    peers: Pick<network.PeerNetwork, "stream">,
    call: SnapshotCall,
    progress?: TransferProgress,
  ) {
    this.#progress = progress;
    this.#clock = clock;
    this.#peers = peers;
    this.#call = call;
  }

  /**
   * @param timeoutMs - longest time without a part.
   * @throws PeerCallError, with `failed` from a peer of a build without the call; or an error that names what is malformed.
   */
  async receive(vm: string, timeoutMs: number): Promise<PeerSnapshot> {
    const silence = new AbortController();
    const startLimit = (): (() => void) =>
      this.#clock.schedule(timeoutMs, () => {
        silence.abort(new Error(`no part within ${timeoutMs} ms`));
      });
    const known = this.#broken;
    this.#broken = undefined;
    let items: PartialItems = known ?? { id: "", parts: [], receivedBytes: 0 };
    const request =
      known === undefined ? { offset: 0 } : { id: known.id, offset: known.receivedBytes };
    let cancelLimit = startLimit();
    try {
      const options = { timeoutMs, signal: silence.signal };
      for await (const part of this.#peers.stream(vm, this.#call, request, options)) {
        cancelLimit();
        items = addPart(items, part);
        this.#progress?.onPart(part.bytes.byteLength);
        if (items.receivedBytes === part.totalBytes) {
          this.#progress?.onReceived();
          return decodeSnapshot(part, items.parts);
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

/** @throws when the items are malformed or larger than `MAX_DECODED_BYTES`. */
function decodeSnapshot(
  { epoch, rewinds, revision, newestRevision }: SnapshotPart,
  parts: readonly Uint8Array[],
): PeerSnapshot {
  const limits = { maxOutputLength: MAX_DECODED_BYTES };
  const items = itemsSchema.parse(cbor.decode(zlib.inflateRawSync(Buffer.concat(parts), limits)));
  const epochPart = rewinds === undefined ? {} : { rewinds };
  return { epoch, ...epochPart, revision, newestRevision, items };
}
