/** Gossip carried by probes: changed member records and the topics of other modules. */
import * as cbor from "cbor-x";
import type * as network from "../protocol/network.js";
import * as logEvents from "../telemetry/log-events.js";
import type * as telemetry from "../telemetry/types.js";
import * as calls from "./membership-calls.js";
import * as records from "./member-record.js";
import * as memberTable from "./member-table.js";
import type * as types from "./types.js";

/** Largest encoded payload of one topic in a probe; a larger one is omitted and logged. */
const MAX_TOPIC_BYTES = 4096;
/**
 * Accusations (reports by peers that a member is suspect or dead) that may wait to be verified by a
 * local probe. Further ones are dropped, as gossip repeats them.
 */
const MAX_PENDING_ACCUSATIONS = 256;

/** Creates outgoing gossip and processes received gossip. */
export class Gossiper {
  readonly #table: memberTable.MemberTable;
  readonly #log: telemetry.EventLog;
  readonly #topics = new Map<string, types.GossipTopic>();
  readonly #accusations = new Map<string, records.MemberRecord>();

  constructor(table: memberTable.MemberTable, log: telemetry.EventLog) {
    this.#table = table;
    this.#log = log;
  }

  /** @throws when the topic already has a handler or there are too many topics. */
  addTopic(topic: string, handler: types.GossipTopic): void {
    if (this.#topics.has(topic)) throw new Error(`gossip topic ${topic} already has a handler`);
    if (this.#topics.size >= calls.MAX_TOPICS)
      throw new Error(`more than ${calls.MAX_TOPICS} gossip topics`);
    this.#topics.set(topic, handler);
  }

  /** Creates gossip for a peer, including any accusation of the peer itself, so that it can refute it. */
  createGossip(peer: string): calls.Gossip {
    const updates = this.#table.shiftUpdates();
    const peerRecord = this.#accusations.get(peer) ?? this.#table.find(peer);
    const isAccused = peerRecord !== undefined && peerRecord.liveness !== records.LIVENESS.alive;
    if (isAccused && !updates.includes(peerRecord)) updates.push(peerRecord);
    return { updates, topics: this.#createTopics(), digest: this.#table.digest };
  }

  /** Processes gossip received from a peer. */
  receiveGossip(gossip: calls.Gossip, from: network.PeerIdentity): void {
    this.receiveRecords(gossip.updates);
    for (const { topic, payload } of gossip.topics) {
      this.#runLoggingErrors(() => this.#topics.get(topic)?.onReceive(payload, from));
    }
    const received = new Set(gossip.topics.map(({ topic }) => topic));
    for (const [topic, handler] of this.#topics)
      if (!received.has(topic)) this.#runLoggingErrors(() => handler.onMissing?.(from));
  }

  /** Merges received records; accusations of alive members are queued for a local probe. */
  receiveRecords(received: readonly records.MemberRecord[], shouldDisseminate = true): void {
    for (const record of received) {
      const result = this.#table.merge(record, shouldDisseminate);
      const isAccusation = result === memberTable.MERGE_RESULT.accusation;
      if (isAccusation && this.#accusations.size < MAX_PENDING_ACCUSATIONS) {
        this.#accusations.set(record.vm, record);
      }
    }
  }

  /** Returns the members whose accusations have not been verified by a local probe yet. */
  listAccused(): readonly string[] {
    return [...this.#accusations.keys()];
  }

  /** Removes an accusation after it was verified. */
  removeAccusation(vm: string): void {
    this.#accusations.delete(vm);
  }

  #createTopics(): calls.Gossip["topics"] {
    const topics: calls.Gossip["topics"] = [];
    for (const [topic, handler] of this.#topics) {
      this.#runLoggingErrors(() => {
        const payload = handler.create();
        if (payload === undefined) return;
        checkSize(topic, payload);
        topics.push({ topic, payload });
      });
    }
    return topics;
  }

  #runLoggingErrors(run: () => void): void {
    try {
      run();
    } catch (error) {
      this.#log.write(logEvents.LOG_EVENTS.unexpectedError, { error: String(error) });
    }
  }
}

/** @throws RangeError when the payload exceeds `MAX_TOPIC_BYTES`. */
function checkSize(topic: string, payload: unknown): void {
  const size = cbor.encode(payload).byteLength;
  if (size > MAX_TOPIC_BYTES) {
    throw new RangeError(`gossip topic ${topic} has ${size} bytes; limit is ${MAX_TOPIC_BYTES}`);
  }
}
