import * as test from "node:test";
import * as earl from "earl";
import * as fastCheck from "fast-check";
import * as zod from "zod";
import * as fields from "../../src/protocol/field-codec.js";
import * as messages from "../../src/protocol/message-codec.js";

const schema = zod.object({
  name: zod.string(),
  count: zod.int().optional(),
  parts: zod.array(zod.object({ from: zod.int(), bytes: zod.instanceof(Uint8Array) })),
  last: zod.boolean().optional(),
});
const values = fastCheck.record(
  {
    name: fastCheck.string(),
    count: fastCheck.maxSafeInteger(),
    parts: fastCheck.array(
      fastCheck.record({ from: fastCheck.nat(), bytes: fastCheck.uint8Array() }),
    ),
    last: fastCheck.boolean(),
  },
  { requiredKeys: ["name", "parts"] },
);

test.describe("createFieldCodec", () => {
  test.it("encodes objects without field names", () => {
    const codec = fields.createFieldCodec(schema);
    const wire = codec.encode({ name: "a", parts: [] });
    earl.expect(wire).toEqual(["a", undefined, []]);
  });

  test.it("restores the value after a round trip through CBOR", () => {
    const codec = fields.createFieldCodec(schema);
    fastCheck.assert(
      fastCheck.property(values, (value) => {
        const message = { type: 7, correlation: 1, kind: 40, fields: codec.encode(value) };
        const received = messages.decodeMessage(messages.encodeMessage(message));
        const decoded = codec.decode(received.fields);
        earl.expect(formatBytes(decoded)).toEqual(formatBytes(value));
      }),
      { seed: 7 },
    );
  });

  test.it("ignores fields that a newer node appends", () => {
    const codec = fields.createFieldCodec(schema);
    const decoded = codec.decode(["a", undefined, [], undefined, "new"]);
    earl.expect(decoded).toEqual({ name: "a", parts: [] });
  });
});

test.describe("decodeMessage", () => {
  test.it("throws nothing but MalformedMessageError on any bytes", () => {
    fastCheck.assert(
      fastCheck.property(fastCheck.uint8Array({ maxLength: 200 }), (bytes) => {
        try {
          messages.decodeMessage(bytes);
        } catch (error) {
          earl.expect(error).toBeA(messages.MalformedMessageError);
        }
      }),
      { seed: 7, numRuns: 2000 },
    );
  });
});

function formatBytes(value: zod.infer<typeof schema>): unknown {
  const parts = value.parts.map((part) => ({ ...part, bytes: [...part.bytes] }));
  return { ...value, parts };
}
