import * as test from "node:test";
import * as earl from "earl";
import * as fastCheck from "fast-check";
import * as frames from "../../src/protocol/frame-decoder.js";

const payloads = fastCheck.array(fastCheck.uint8Array({ minLength: 1, maxLength: 50 }));

test.describe("FrameDecoder", () => {
  test.it("yields the same payloads for any chunk size", () => {
    fastCheck.assert(
      fastCheck.property(payloads, fastCheck.integer({ min: 1, max: 20 }), (sent, chunkBytes) => {
        const stream = Buffer.concat(
          sent.flatMap((payload) => [frames.encodeFrameHeader(payload.byteLength), payload]),
        );
        const decoder = new frames.FrameDecoder();
        const received: string[] = [];
        for (let start = 0; start < stream.byteLength; start += chunkBytes) {
          const chunk = stream.subarray(start, start + chunkBytes);
          for (const payload of decoder.decode(chunk)) received.push(formatHex(payload));
        }
        earl.expect(received).toEqual(sent.map(formatHex));
      }),
      { seed: 7 },
    );
  });

  test.it("throws as soon as it reads a length of zero or above the limit", () => {
    const oversize = Buffer.alloc(frames.FRAME_HEADER_BYTES);
    oversize.writeUInt32BE(frames.MAX_FRAME_BYTES + 1);
    for (const header of [oversize, Buffer.alloc(frames.FRAME_HEADER_BYTES)]) {
      const decoder = new frames.FrameDecoder();
      earl.expect(() => decoder.decode(header)).toThrow(frames.FrameLengthError);
    }
  });
});

function formatHex(bytes: Uint8Array): string {
  return Buffer.from(bytes).toString("hex");
}
