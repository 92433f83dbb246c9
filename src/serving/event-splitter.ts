/** Cuts a stream of server-sent events into whole events, byte for byte. */

const EVENT_END = Buffer.from("\n\n");
const ID_FIELD = /^id: ?(.*)$/m;
/** An event longer than this is none of a runner's. */
const MAX_EVENT_BYTES = 1_048_576;

/** Some whole events as they were sent. */
export interface WholeEvents {
  readonly bytes: Buffer;
  readonly count: number;
  /** Id of the last of them, if it has one. */
  readonly lastId: string | undefined;
}

/** Keeps the bytes of an event until it is whole. */
export class EventSplitter {
  #rest: Buffer = Buffer.alloc(0);

  /** Bytes that are no whole event yet. */
  get rest(): Buffer {
    return this.#rest;
  }

  /**
   * Takes in bytes and returns the events that are whole now.
   *
   * @throws when an event is longer than any runner sends.
   */
  push(chunk: Buffer): WholeEvents {
    const all = this.#rest.byteLength === 0 ? chunk : Buffer.concat([this.#rest, chunk]);
    const lastEnd = all.lastIndexOf(EVENT_END);
    const length = lastEnd < 0 ? 0 : lastEnd + EVENT_END.byteLength;
    this.#rest = all.subarray(length);
    if (this.#rest.byteLength > MAX_EVENT_BYTES) throw new Error("event is too long");
    return createWholeEvents(all.subarray(0, length));
  }
}

function createWholeEvents(bytes: Buffer): WholeEvents {
  const events = bytes.toString("utf8").split("\n\n").slice(0, -1);
  const lastId = ID_FIELD.exec(events.at(-1) ?? "")?.[1];
  return { bytes, count: events.length, lastId };
}
