import type * as net from "node:net";
import * as test from "node:test";
import * as earl from "earl";
import * as fixture from "./crowd-fixture.js";

const { formatChunkedHead, sendBytes } = fixture;

/** Just below `max_body_bytes`. */
const LARGE_CHUNKS = 68;
const LARGE_CHUNK_BYTES = 60_000;
const SMALL_CHUNKS = 200_000;
const SMALL_CHUNKS_PER_WRITE = 5_000;
/** Just below `max_header_bytes`. */
const SHORT_LINES = 2_400;
const REQUESTS_AHEAD = 20_000;
const REQUESTS_PER_WRITE = 1_000;

/** Sends a body in chunks but for its end. */
async function sendChunks(socket: net.Socket, index: number, text: string, count: number) {
  await sendBytes(socket, formatChunkedHead(`c${index}`));
  for (let sent = 0; sent < count; sent += 1) await sendBytes(socket, text);
}

function formatChunk(bytes: number): string {
  return `${bytes.toString(16)}\r\n${"x".repeat(bytes)}\r\n`;
}

const CROWDS: Readonly<Record<string, fixture.Crowd>> = {
  "chunked bodies in very small chunks that stop short of their end": {
    ...{ net: 171, connections: 60, returns: true },
    run: (socket, index) => {
      socket.resume();
      const text = formatChunk(1).repeat(SMALL_CHUNKS_PER_WRITE);
      return sendChunks(socket, index, text, SMALL_CHUNKS / SMALL_CHUNKS_PER_WRITE);
    },
  },
  "chunked bodies in large chunks that stop short of their end": {
    ...{ net: 172, connections: 60, returns: true },
    run: (socket, index) => {
      socket.resume();
      return sendChunks(socket, index, formatChunk(LARGE_CHUNK_BYTES), LARGE_CHUNKS);
    },
  },
  "requests sent ahead without the usual headers, whose answers are not read": {
    ...{ net: 173, connections: 40, returns: true },
    run: async (socket) => {
      socket.pause();
      const text = "GET /status/x HTTP/1.0\r\nConnection: keep-alive\r\n\r\n";
      for (let sent = 0; sent < REQUESTS_AHEAD; sent += REQUESTS_PER_WRITE)
        await sendBytes(socket, text.repeat(REQUESTS_PER_WRITE));
    },
  },
  "heads of many short lines before bodies that stop short of their end": {
    ...{ net: 174, connections: 200, returns: true },
    run: async (socket, index) => {
      socket.resume();
      const lines = Array.from({ length: SHORT_LINES }, (_, line) => `${line.toString(36)}: `);
      await sendBytes(socket, `${formatChunkedHead(`h${index}`, lines)}1\r\nx\r\n`);
    },
  },
  "heads of many short lines that stop short of their end": {
    ...{ net: 175, connections: 200, returns: true },
    run: async (socket) => {
      socket.resume();
      const lines = "a:\r\n".repeat(15_000);
      await sendBytes(socket, `GET /status/x HTTP/1.1\r\nHost: api.example\r\n${lines}`);
    },
  },
  "very many connections, part of which leave early": {
    ...{ net: 176, connections: 3_000, returns: true },
    run: async (socket, index) => {
      socket.resume();
      const isLeaving = index % 3 === 0;
      const head = formatChunkedHead(`m${index}`);
      if (index % 2 === 0) await sendBytes(socket, isLeaving ? `${head}1\r\nx\r\n` : head);
      if (!isLeaving) return;
      await new Promise((resolve) => setTimeout(resolve, index % 1_000));
      socket.destroy();
    },
  },
};

// Guards against an end of the process: what held the bytes of clients, and the connections themselves, counted for nothing.
test.describe("a gateway lives and answers others after a crowd", { concurrency: 1 }, () => {
  for (const [name, crowd] of Object.entries(CROWDS))
    test.it(`of ${name}`, async () => {
      const result = await fixture.playCrowd(crowd);
      const { isRunning, fitsMemory, fitsDescriptors, answersAfterwards } = result;
      const verdict = { isRunning, fitsMemory, fitsDescriptors, answersAfterwards };
      const isKept = Object.values(verdict).every((holds) => holds);
      earl.expect(isKept ? "kept" : `CROWD ${JSON.stringify(result)}`).toEqual("kept");
    });
});
