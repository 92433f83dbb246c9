/** Compact wire format: objects are encoded as lists, without field names, in schema order. */
import * as zod from "zod";

/** Converts values between their typed form and their wire format. */
export interface FieldCodec<Value> {
  /** Returns the value in its wire format. */
  encode(value: Value): unknown;
  /**
   * Returns the typed value.
   *
   * @throws zod.ZodError when the value does not match the schema.
   */
  decode(wire: unknown): Value;
}

interface UntypedCodec {
  encode(value: unknown): unknown;
  decode(wire: unknown): unknown;
}

const IDENTITY_CODEC: UntypedCodec = { encode: (value) => value, decode: (wire) => wire };

/**
 * Creates the codec of a schema. Objects nested in objects, arrays and optionals are encoded as
 * lists too; other types (unions, records) are passed through unchanged. Unknown trailing fields
 * are ignored, so that a newer node may append fields.
 *
 * @example createFieldCodec(zod.object({ vm: zod.string() })).encode({ vm: "a" }); // ["a"]
 */
export function createFieldCodec<Value>(schema: zod.ZodType<Value>): FieldCodec<Value> {
  const codec = createUntypedCodec(schema);
  return {
    encode: (value) => codec.encode(value),
    decode: (wire) => schema.parse(codec.decode(wire)),
  };
}

function createUntypedCodec(schema: unknown): UntypedCodec {
  if (schema instanceof zod.ZodObject) return createObjectCodec(schema);
  if (schema instanceof zod.ZodArray) return createArrayCodec(createUntypedCodec(schema.element));
  if (schema instanceof zod.ZodOptional)
    return createOptionalCodec(createUntypedCodec(schema.unwrap()));
  return IDENTITY_CODEC;
}

function createObjectCodec(schema: zod.ZodObject): UntypedCodec {
  const fields = Object.entries(schema.shape).map(([name, field]) => ({
    name,
    codec: createUntypedCodec(field),
  }));
  return {
    encode: (value) => {
      const record = value as Readonly<Record<string, unknown>>;
      return removeTrailingUndefined(fields.map((field) => field.codec.encode(record[field.name])));
    },
    decode: (wire) => {
      if (!Array.isArray(wire)) return wire;
      const record: Record<string, unknown> = {};
      fields.forEach((field, index) => {
        const value: unknown = field.codec.decode(wire[index]);
        if (value !== undefined) record[field.name] = value;
      });
      return record;
    },
  };
}

function createArrayCodec(item: UntypedCodec): UntypedCodec {
  return {
    encode: (value) => (value as unknown[]).map((entry) => item.encode(entry)),
    decode: (wire) => (Array.isArray(wire) ? wire.map((entry) => item.decode(entry)) : wire),
  };
}

function createOptionalCodec(inner: UntypedCodec): UntypedCodec {
  return {
    encode: (value) => (value === undefined ? undefined : inner.encode(value)),
    decode: (wire) => (wire === undefined ? undefined : inner.decode(wire)),
  };
}

function removeTrailingUndefined(list: unknown[]): unknown[] {
  while (list.length > 0 && list[list.length - 1] === undefined) list.pop();
  return list;
}
