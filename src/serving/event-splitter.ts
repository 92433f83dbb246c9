/** Splits a stream of server-sent events into complete events without changing a byte. */

const EVENT_END = Buffer.from("\n\n");
const SEPARATOR = "\n\n";
const ID_FIELD = /^id: ?(.*)$/m;
/** Fields of an event; a block without them is a comment or blank. */
const EVENT_FIELD = /^(?:data|id)(?::|$)/m;
/** Maximum size of an event; no runner sends a longer one. */
const MAX_EVENT_BYTES = 1_048_576;

/** Complete events, and comments between them, byte for byte as received. */
export interface CompleteEvents {
  readonly bytes: Buffer;
  readonly count: number;
  /** Id of the first event, if it has one. */
  readonly firstId: string | undefined;
  /** Id of the last event, if it has one. */
  readonly lastId: string | undefined;
}

const NO_EVENTS: CompleteEvents = {
  bytes: Buffer.alloc(0),
  count: 0,
  firstId: undefined,
  lastId: undefined,
};

/** Buffers the bytes of an event until it is complete. */
export class EventSplitter {
  #rest: Buffer = Buffer.alloc(0);
  #hasEvents = false;

  /** Bytes of an incomplete event. */
  get rest(): Buffer {
    return this.#rest;
  }

  /**
   * Adds bytes and returns the events that are complete. Comments before the first event are held until it is complete.
   *
   * @throws when an event exceeds `MAX_EVENT_BYTES`.
   */
  push(chunk: Buffer): CompleteEvents {
    const all = this.#rest.byteLength === 0 ? chunk : Buffer.concat([this.#rest, chunk]);
    const lastEnd = all.lastIndexOf(EVENT_END);
    const length = lastEnd < 0 ? 0 : lastEnd + EVENT_END.byteLength;
    const events = createCompleteEvents(all.subarray(0, length));
    this.#hasEvents ||= events.count > 0;
    this.#rest = this.#hasEvents ? all.subarray(length) : all;
    if (this.#rest.byteLength > MAX_EVENT_BYTES) throw new Error("event is too long");
    return this.#hasEvents ? events : NO_EVENTS;
  }
}

function createCompleteEvents(bytes: Buffer): CompleteEvents {
  const blocks = bytes.toString("utf8").split(SEPARATOR).slice(0, -1);
  const events = blocks.filter((block) => EVENT_FIELD.test(block));
  const firstId = findId(events[0]);
  const lastId = events.length > 1 ? findId(events.at(-1)) : firstId;
  return { bytes, count: events.length, firstId, lastId };
}

function findId(event: string | undefined): string | undefined {
  return ID_FIELD.exec(event ?? "")?.[1];
}
