/** Splits a stream of server-sent events into complete events without changing a byte. */

const EVENT_END = Buffer.from("\n\n");
const ID_FIELD = /^id: ?(.*)$/m;
/** Maximum size of an event; no runner sends a longer one. */
const MAX_EVENT_BYTES = 1_048_576;

/** Complete events, byte for byte as received. */
export interface CompleteEvents {
  readonly bytes: Buffer;
  readonly count: number;
  /** Id of the last event, if it has one. */
  readonly lastId: string | undefined;
}

/** Buffers the bytes of an event until it is complete. */
export class EventSplitter {
  #rest: Buffer = Buffer.alloc(0);

  /** Bytes of an incomplete event. */
  get rest(): Buffer {
    return this.#rest;
  }

  /**
   * Adds bytes and returns the events that are complete.
   *
   * @throws when an event exceeds `MAX_EVENT_BYTES`.
   */
  push(chunk: Buffer): CompleteEvents {
    const all = this.#rest.byteLength === 0 ? chunk : Buffer.concat([this.#rest, chunk]);
    const lastEnd = all.lastIndexOf(EVENT_END);
    const length = lastEnd < 0 ? 0 : lastEnd + EVENT_END.byteLength;
    this.#rest = all.subarray(length);
    if (this.#rest.byteLength > MAX_EVENT_BYTES) throw new Error("event is too long");
    return createCompleteEvents(all.subarray(0, length));
  }
}

function createCompleteEvents(bytes: Buffer): CompleteEvents {
  const events = bytes.toString("utf8").split("\n\n").slice(0, -1);
  const lastId = ID_FIELD.exec(events.at(-1) ?? "")?.[1];
  return { bytes, count: events.length, lastId };
}
