/**
 * A runner that sends bytes without end took the memory of the whole machine, or its processor: the bytes of all calls to it were held
 * at a time, what had been dropped stayed resident, and each block was worked on at once. Requests to other runners ended with it.
 */
import * as test from "node:test";
import * as earl from "earl";
import * as endless from "./endless-answers-fixture.js";

/** Memory of the smallest machines. */
const MEMORY_MB = 178;
/**
 * Share of the sound requests, and of those to the endless runner, that may have no answer in time beyond the share that a busy test
 * machine loses without that runner. The users' rule on late answers is broken by more than half.
 */
const MAX_LOST_SHARE = 0.5;
const CHUNK = Buffer.alloc(65_536, "b");
const MODEL_ENTRY = { service: "model", stage: "decode", slots: 64 };

const createHead = (id: string): string =>
  `HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nResponse-Stamp: s\r\n`;

function startStream(
  socket: Parameters<endless.EndlessAnswer>[0],
  id: string,
  bytes: string,
): void {
  const type = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
  socket.write(`${createHead(id)}${type}`);
  endless.pour(socket, `${bytes.length.toString(16)}\r\n${bytes}\r\n`);
}

const plain = { path: "/status/x", entry: {} };
const model = { path: "/notes/x", entry: MODEL_ENTRY };

const PLAYS: readonly (Pick<endless.EndlessPlay, "answer" | "path" | "entry" | "callers"> & {
  readonly name: string;
})[] = [
  {
    name: "a body without a length",
    ...{ ...plain, callers: 60 },
    answer: (socket, id) => {
      socket.write(`${createHead(id)}\r\n`);
      endless.pour(socket, CHUNK);
    },
  },
  {
    name: "tiny chunks",
    ...{ ...plain, callers: 20 },
    answer: (socket, id) => {
      socket.write(`${createHead(id)}Transfer-Encoding: chunked\r\n\r\n`);
      endless.pour(socket, "10\r\nbbbbbbbbbbbbbbbb\r\n".repeat(3_000));
    },
  },
  {
    name: "interim answers",
    ...{ ...plain, callers: 20 },
    answer: (socket) => {
      endless.pour(socket, "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n".repeat(1_000));
    },
  },
  {
    name: "an event",
    ...{ ...model, callers: 40 },
    answer: (socket, id) => {
      startStream(socket, id, "x".repeat(4_096));
    },
  },
  {
    name: "blank lines",
    ...{ ...model, callers: 40 },
    answer: (socket, id) => {
      startStream(socket, id, "\n".repeat(4_096));
    },
  },
];

test.describe("a runner that answers without end", () => {
  for (const [index, { name, ...play }] of PLAYS.entries())
    test.it(`takes neither the memory nor the processor of others: ${name}`, async () => {
      const result = await endless.playEndless({
        ...play,
        ...{ net: 150 + index, memoryMb: MEMORY_MB, nodeFlags: endless.DEPLOY_FLAGS },
      });
      const maxShare = MAX_LOST_SHARE + result.baselineLostShare;
      const verdict = {
        isRunning: result.isRunning,
        fits: result.peakMb <= MEMORY_MB,
        answers: result.late <= maxShare * result.calls,
        servesOthers: result.soundLost <= maxShare * result.sound,
      };
      const expected = { isRunning: true, fits: true, answers: true, servesOthers: true };
      earl.expect({ ...result, ...verdict }).toEqual({ ...result, ...expected });
    });
});
