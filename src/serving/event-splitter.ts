/** Splits a stream of server-sent events into complete events without changing a byte. */

const EVENT_END = Buffer.from("\n\n");
const SEPARATOR = "\n\n";
const LINE_FEED = 0x0a;
const ID_FIELD = /^id: ?(.*)$/m;
/** Fields of an event; a block without them is a comment or blank. */
const EVENT_FIELD = /^(?:data|id)(?::|$)/m;
/** Maximum size of an event; no runner sends a longer one. */
const MAX_EVENT_BYTES = 1_048_576;
/** Maximum size of the comments and blank lines between two events; heartbeats are far shorter. */
const MAX_COMMENT_BYTES = 65_536;

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

/** Buffers the bytes of an event until it is complete. Each byte is scanned once, however small the chunks are. */
export class EventSplitter {
  /** Chunks of an incomplete event. */
  #rest: Buffer[] = [];
  #restBytes = 0;
  /** Comments before the first event. */
  #comments: Buffer[] = [];
  /** Bytes of comments and blank lines since the last event. */
  #commentBytes = 0;
  #hasEvents = false;

  /** Number of bytes that are held: of an incomplete event, and of comments before the first one. */
  get heldBytes(): number {
    return this.#restBytes + (this.#hasEvents ? 0 : this.#commentBytes);
  }

  /**
   * Adds bytes and returns the events that are complete. Comments before the first event are held until it is complete.
   *
   * @throws when an event exceeds `MAX_EVENT_BYTES`, or the comments between two exceed `MAX_COMMENT_BYTES`.
   */
  push(chunk: Buffer): CompleteEvents {
    const end = this.#findLastEnd(chunk);
    if (end === undefined) {
      this.#addRest(chunk);
      return NO_EVENTS;
    }
    const complete = Buffer.concat([...this.#rest, chunk.subarray(0, end)]);
    this.#rest = [];
    this.#restBytes = 0;
    const events = createCompleteEvents(complete);
    this.#recordComments(events);
    this.#addRest(chunk.subarray(end));
    if (this.#hasEvents) return this.#addHeldComments(events);
    this.#comments.push(complete);
    return NO_EVENTS;
  }

  /** Returns the position in a chunk after the last end of an event, which may have begun in the chunk before. */
  #findLastEnd(chunk: Buffer): number | undefined {
    const at = chunk.lastIndexOf(EVENT_END);
    if (at >= 0) return at + EVENT_END.byteLength;
    const endsAcross = this.#rest.at(-1)?.at(-1) === LINE_FEED && chunk[0] === LINE_FEED;
    return endsAcross ? 1 : undefined;
  }

  #addRest(bytes: Buffer): void {
    if (bytes.byteLength === 0) return;
    this.#rest.push(bytes);
    this.#restBytes += bytes.byteLength;
    if (this.#restBytes > MAX_EVENT_BYTES) throw new Error("event is too long");
  }

  #recordComments({ bytes, count }: CompleteEvents): void {
    this.#hasEvents ||= count > 0;
    this.#commentBytes = count > 0 ? 0 : this.#commentBytes + bytes.byteLength;
    if (this.#commentBytes > MAX_COMMENT_BYTES)
      throw new Error(`stream has sent ${this.#commentBytes} bytes without an event`);
  }

  #addHeldComments(events: CompleteEvents): CompleteEvents {
    if (this.#comments.length === 0) return events;
    const bytes = Buffer.concat([...this.#comments, events.bytes]);
    this.#comments = [];
    return { ...events, bytes };
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
