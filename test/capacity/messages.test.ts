import * as test from "node:test";
import * as earl from "earl";
import * as messages from "../../src/capacity/messages.js";
import * as codecs from "../../src/protocol/field-codec.js";

test.describe("capacity messages", () => {
  test.it("are equal after encoding and decoding", () => {
    const request: messages.DecodeLeaseRequest = {
      runner: "d0",
      id: "id",
      attempt: 1,
      caller: "caller",
      share: 1.5,
      priority: 5,
      pieces: 10,
      isFirstCandidate: true,
      betweenTokensMs: 60,
      startWithinMs: -5,
      leadMs: 100,
    };
    const requestCodec = codecs.createFieldCodec(messages.LEASE_DECODE.request);
    earl.expect(requestCodec.decode(requestCodec.encode(request))).toEqual(request);
    const refusal = messages.createRefusal(messages.REFUSAL.share, 250);
    const replyCodec = codecs.createFieldCodec(messages.LEASE_DECODE.reply);
    earl.expect(replyCodec.decode(replyCodec.encode(refusal))).toEqual(refusal);
  });
});
