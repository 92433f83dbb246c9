/** News in probes: changed records, and the topics of other parts. */
import * as cbor from "cbor-x";
import type * as network from "../protocol/network.js";
import * as logEvents from "../telemetry/log-events.js";
import type * as telemetry from "../telemetry/types.js";
import * as calls from "./membership-calls.js";
import * as records from "./member-record.js";
import * as memberTable from "./member-table.js";
import type * as types from "./types.js";

/** Bytes of one topic in a probe at most; a larger one is left out and logged. */
const MAX_TOPIC_BYTES = 4096;
/** Accusations that wait for an own probe at most; further ones come again by gossip. */
const MAX_ACCUSATIONS = 256;

/** Composes and takes in what probes tell. */
export class Gossiper {
  readonly #table: memberTable.MemberTable;
  readonly #log: telemetry.EventLog;
  readonly #topics = new Map<string, types.GossipTopic>();
  readonly #accusations = new Map<string, records.MemberRecord>();

  constructor(table: memberTable.MemberTable, log: telemetry.EventLog) {
    this.#table = table;
    this.#log = log;
  }

  /** @throws when the topic is taken or there are too many. */
  addTopic(topic: string, handler: types.GossipTopic): void {
    if (this.#topics.has(topic)) throw new Error(`gossip topic ${topic} has two handlers`);
    if (this.#topics.size >= calls.MAX_TOPICS) throw new Error("too many gossip topics");
    this.#topics.set(topic, handler);
  }

  /** Returns news for a peer, with what is held against the peer itself, so that it can refute it. */
  createGossip(peer: string): calls.Gossip {
    const updates = this.#table.shiftUpdates();
    const about = this.#accusations.get(peer) ?? this.#table.find(peer);
    const isAccused = about !== undefined && about.liveness !== records.LIVENESS.alive;
    if (isAccused && !updates.includes(about)) updates.push(about);
    return { updates, topics: this.#createTopics(), digest: this.#table.digest };
  }

  /** Takes in news of a peer. */
  receiveGossip(gossip: calls.Gossip, from: network.PeerIdentity): void {
    this.receiveRecords(gossip.updates);
    for (const { topic, payload } of gossip.topics) {
      this.#runGuarded(() => this.#topics.get(topic)?.onReceive(payload, from));
    }
  }

  /** Takes in records; accusations of members held alive wait for an own probe. */
  receiveRecords(told: readonly records.MemberRecord[], isNews = true): void {
    for (const record of told) {
      const result = this.#table.merge(record, isNews);
      const isAccusation = result === memberTable.MERGE_RESULT.accusation;
      if (isAccusation && this.#accusations.size < MAX_ACCUSATIONS) {
        this.#accusations.set(record.vm, record);
      }
    }
  }

  /** Returns members that peers accuse, to be probed. */
  listAccused(): readonly string[] {
    return [...this.#accusations.keys()];
  }

  /** Forgets an accusation, once it was checked. */
  removeAccusation(vm: string): void {
    this.#accusations.delete(vm);
  }

  #createTopics(): calls.Gossip["topics"] {
    const topics: calls.Gossip["topics"] = [];
    for (const [topic, handler] of this.#topics) {
      this.#runGuarded(() => {
        const payload = handler.create();
        if (payload === undefined) return;
        checkSize(topic, payload);
        topics.push({ topic, payload });
      });
    }
    return topics;
  }

  #runGuarded(run: () => void): void {
    try {
      run();
    } catch (error) {
      this.#log.write(logEvents.LOG_EVENTS.unexpectedError, { error: String(error) });
    }
  }
}

/** @throws RangeError when a payload would make probes too large. */
function checkSize(topic: string, payload: unknown): void {
  const size = cbor.encode(payload).byteLength;
  if (size > MAX_TOPIC_BYTES) throw new RangeError(`gossip topic ${topic} has ${size} bytes`);
}
