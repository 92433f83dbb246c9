import * as stream from "node:stream";
import * as test from "node:test";
import * as v8 from "node:v8";
import * as vm from "node:vm";
import * as earl from "earl";
import * as bufferBudget from "../../src/kernel/buffer-budget.js";
import * as requestBody from "../../src/gateway/request-body.js";

const BODY_BYTES = 400_000;
const MAX_HELD_BYTES = 8 * BODY_BYTES;

v8.setFlagsFromString("--expose-gc");
const collectGarbage = vm.runInNewContext("gc") as () => void;

/** Returns the size of what is in use on the heap. */
function computeHeapBytes(): number {
  collectGarbage();
  return process.memoryUsage().heapUsed;
}

function createAccount(): bufferBudget.BufferAccount {
  return new bufferBudget.BufferBudget({ maxBytes: 10 * BODY_BYTES }).createAccount();
}

/** Yields chunks of the given sizes in turn, and reports how much more the heap holds at the end. */
async function* streamChunks(
  sizes: readonly number[],
  onEnd: (heapBytes: number) => void = () => undefined,
): AsyncGenerator<Buffer> {
  const before = computeHeapBytes();
  let at = 0;
  for (let count = 0; at < BODY_BYTES; count += 1) {
    const size = Math.min(sizes[count % sizes.length] ?? 1, BODY_BYTES - at);
    yield Buffer.from(BODY.subarray(at, at + size));
    at += size;
  }
  onEnd(computeHeapBytes() - before);
  await Promise.resolve();
}

const BODY = Buffer.from(Array.from({ length: BODY_BYTES }, (_, index) => index % 251));

test.describe("readRequestBody", () => {
  test.it("joins chunks of all sizes in order", async () => {
    for (const sizes of [[1], [1, 2_000, 3, 1_024, 1_023], [70_000], [BODY_BYTES]]) {
      const chunks = stream.Readable.from(streamChunks(sizes)) as AsyncIterable<Buffer>;
      const body = await requestBody.readRequestBody(chunks, BODY_BYTES, createAccount());
      earl.expect(body.equals(BODY)).toEqual(true);
    }
  });

  // Guards against an end of the process: each chunk of one byte was kept as an object of some hundred.
  test.it("holds few objects for a body in very small chunks", async () => {
    let heldBytes = Infinity;
    const chunks = streamChunks([1], (heapBytes) => {
      heldBytes = heapBytes;
    });
    await requestBody.readRequestBody(chunks, BODY_BYTES, createAccount());
    earl.expect(heldBytes <= MAX_HELD_BYTES ? "few" : heldBytes).toEqual("few");
  });
});
