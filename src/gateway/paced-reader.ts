/**
 * Bounds what one connection can make the process do at once. A single read of a socket may hold thousands of requests, chunks or
 * header lines, each of which becomes objects of its own before anybody else has a turn.
 */
import type * as net from "node:net";
import * as bufferBudget from "../kernel/buffer-budget.js";

/** Bytes that are parsed in one piece at most. */
const PIECE_BYTES = 4_096;
/** Lines and ends of heads up to which what was received is parsed at once, whatever its size. */
const LIGHT_LINES = 128;
const LIGHT_HEADS = 2;
/** Pieces that are parsed in one turn of the event loop, of all connections together. */
const TURN_PIECES = 4;
/** Requests of one connection that may be in progress before further ones are read. */
export const MAX_REQUESTS_AHEAD = 16;
/** Memory that holds one line of a head: its name and value, and the places in which they are kept. */
export const LINE_COST_BYTES = 256;
/** Bytes of a read that a socket may buffer behind the one in hand. */
const READ_AHEAD_BYTES = 65_536;
const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;

/** What the HTTP server knows of a connection. */
export interface ConnectionProgress {
  /** Number of requests whose response has not been sent to its end. */
  readonly openCount: number;
  /** Number of requests that were received. */
  readonly requestCount: number;
  /** Whether the body of the latest request has not been received to its end. */
  readonly isInBody: boolean;
}

/** What all connections of a server share. */
export interface ReadPacerOptions {
  readonly budget: Pick<bufferBudget.BufferBudget, "createAccount">;
  readonly findProgress: (socket: net.Socket) => ConnectionProgress;
  /** Called with a connection that holds more than it may, before it is closed. */
  readonly onExceeded: (socket: net.Socket) => void;
}

/** Gives the connections of a server turns to be read, one piece each. */
export class ReadPacer {
  readonly #options: ReadPacerOptions;
  readonly #readers = new WeakMap<net.Socket, PacedReader>();
  readonly #waiting: PacedReader[] = [];
  #isScheduled = false;

  constructor(options: ReadPacerOptions) {
    this.#options = options;
  }

  /** Reads a connection in pieces from now on. */
  add(socket: net.Socket): void {
    const reader = new PacedReader(socket, this.#options, () => {
      this.#waiting.push(reader);
      this.#scheduleTurn();
    });
    this.#readers.set(socket, reader);
  }

  /** Goes on with a connection that had too many requests in progress, once one of them has been answered. */
  resume(socket: net.Socket): void {
    this.#readers.get(socket)?.resume();
  }

  #scheduleTurn(): void {
    if (this.#isScheduled) return;
    this.#isScheduled = true;
    setImmediate(() => {
      this.#isScheduled = false;
      for (const reader of this.#waiting.splice(0, TURN_PIECES)) reader.pushNext();
      if (this.#waiting.length > 0) this.#scheduleTurn();
    });
  }
}

/** A piece of what was received, up to the end of a head if there is one. */
interface Piece {
  readonly bytes: Buffer;
  readonly lines: number;
}

/** Passes on what a socket received in pieces. It takes the place of the stream's own `push` and `_read`. */
class PacedReader {
  readonly #socket: net.Socket;
  readonly #options: ReadPacerOptions;
  readonly #onWaiting: () => void;
  readonly #account: bufferBudget.BufferAccount;
  readonly #push: (chunk: Buffer | null) => boolean;
  readonly #read: (size: number) => void;
  /** What was received and not passed on. */
  #rest: Buffer = Buffer.alloc(0);
  #hasEnded = false;
  /** Whether the consumer asked for more while there was a rest. */
  #isWanted = false;
  #isWaiting = false;
  /** Memory that is charged for the rest while it may not be passed on, and for a head that is not complete. */
  #blockedBytes = 0;
  #headBytes = 0;
  #requestCount = 0;

  /** @param onWaiting - called when the reader is to be given a turn. */
  constructor(socket: net.Socket, options: ReadPacerOptions, onWaiting: () => void) {
    this.#socket = socket;
    this.#options = options;
    this.#onWaiting = onWaiting;
    this.#account = options.budget.createAccount();
    this.#push = socket.push.bind(socket);
    this.#read = socket._read.bind(socket);
    socket.push = (chunk: Buffer | null) => this.#receive(chunk);
    socket._read = (size) => {
      this.#handleWanted(size);
    };
    // The HTTP parser reads from the handle of the socket unless somebody listens to its data.
    socket.on("data", () => undefined);
    socket.once("close", () => {
      this.#rest = Buffer.alloc(0);
      this.#account[Symbol.dispose]();
    });
  }

  /** Asks for a turn if there is something to pass on. */
  resume(): void {
    if (this.#rest.length > 0) this.#wait();
  }

  /** Passes on the next piece, if the connection may be read. */
  pushNext(): void {
    this.#isWaiting = false;
    if (this.#socket.destroyed || this.#rest.length === 0) return;
    if (this.#isBlocked()) {
      this.#setBlockedBytes(this.#rest.length + READ_AHEAD_BYTES);
      return;
    }
    this.#setBlockedBytes(0);
    this.#isWanted = false;
    const piece = cutPiece(this.#rest);
    this.#rest = this.#rest.subarray(piece.bytes.length);
    const isWanted = this.#pushPiece(piece) || this.#isWanted;
    if (this.#isClosed()) return;
    if (this.#rest.length > 0) {
      if (isWanted) this.#wait();
      return;
    }
    if (this.#hasEnded) this.#push(null);
    else if (isWanted) this.#read(this.#socket.readableHighWaterMark);
  }

  /** Handles what was received, or the end of the connection; returns whether more is wanted at once. */
  #receive(chunk: Buffer | null): boolean {
    if (chunk === null) {
      this.#hasEnded = true;
      return this.#rest.length === 0 && this.#push(null);
    }
    if (this.#rest.length === 0 && !this.#isBlocked()) {
      const { lines, isLight } = computeWeight(chunk);
      if (isLight) return this.#pushPiece({ bytes: chunk, lines });
    }
    this.#rest = this.#rest.length === 0 ? chunk : Buffer.concat([this.#rest, chunk]);
    this.#wait();
    return false;
  }

  /** Handles that the consumer wants more. */
  #handleWanted(size: number): void {
    if (this.#rest.length === 0) {
      this.#read(size);
      return;
    }
    this.#isWanted = true;
    this.#wait();
  }

  #wait(): void {
    if (this.#isWaiting || this.#socket.destroyed) return;
    this.#isWaiting = true;
    this.#onWaiting();
  }

  #pushPiece({ bytes, lines }: Piece): boolean {
    const wasInBody = this.#options.findProgress(this.#socket).isInBody;
    const isWanted = this.#push(bytes);
    const { requestCount, isInBody } = this.#options.findProgress(this.#socket);
    const isHead = requestCount === this.#requestCount && !wasInBody && !isInBody;
    this.#requestCount = requestCount;
    const headBytes = isHead ? this.#headBytes + bytes.length + lines * LINE_COST_BYTES : 0;
    this.#updateCharge(headBytes - this.#headBytes);
    this.#headBytes = headBytes;
    return isWanted;
  }

  #isClosed(): boolean {
    return this.#socket.destroyed;
  }

  #isBlocked(): boolean {
    return this.#options.findProgress(this.#socket).openCount >= MAX_REQUESTS_AHEAD;
  }

  #setBlockedBytes(bytes: number): void {
    this.#updateCharge(bytes - this.#blockedBytes);
    this.#blockedBytes = bytes;
  }

  /** Charges memory to the connection, or releases it; closes a connection that may not hold it. */
  #updateCharge(bytes: number): void {
    if (this.#socket.destroyed) return;
    if (bytes <= 0) {
      this.#account.release(-bytes);
      return;
    }
    try {
      this.#account.add(bytes);
    } catch (error) {
      if (!(error instanceof bufferBudget.BufferLimitError)) throw error;
      this.#options.onExceeded(this.#socket);
      this.#socket.destroy();
    }
  }
}

/** Counts the lines of what was received, and tells whether it is cheap to parse at once. */
function computeWeight(bytes: Buffer): { readonly lines: number; readonly isLight: boolean } {
  let lines = 0;
  let heads = 0;
  for (let at = bytes.indexOf(LINE_FEED); at !== -1; at = bytes.indexOf(LINE_FEED, at + 1)) {
    lines += 1;
    if (findHeadEnd(bytes, at) !== undefined) heads += 1;
    if (lines > LIGHT_LINES || heads > LIGHT_HEADS) return { lines, isLight: false };
  }
  return { lines, isLight: true };
}

/** Returns the first piece: up to the end of the first head, at most `PIECE_BYTES`. */
function cutPiece(bytes: Buffer): Piece {
  const limit = Math.min(PIECE_BYTES, bytes.length);
  let lines = 0;
  let at = bytes.indexOf(LINE_FEED);
  while (at !== -1 && at < limit) {
    lines += 1;
    const end = findHeadEnd(bytes, at);
    if (end !== undefined) return { bytes: bytes.subarray(0, end), lines };
    at = bytes.indexOf(LINE_FEED, at + 1);
  }
  return { bytes: bytes.subarray(0, limit), lines };
}

/** Returns the end of the empty line that follows the line end at `at`, if one does. */
function findHeadEnd(bytes: Buffer, at: number): number | undefined {
  const next = bytes[at + 1] === CARRIAGE_RETURN ? at + 2 : at + 1;
  return bytes[next] === LINE_FEED ? next + 1 : undefined;
}
