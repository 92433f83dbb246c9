/** Messages without field names: objects travel as lists in the order of their schema. */
import * as zod from "zod";

/** Changes a value between its typed shape and its shape on the wire. */
export interface FieldCodec<Value> {
  /** Returns the value as it travels. */
  encode(value: Value): unknown;
  /**
   * Returns the typed value.
   *
   * @throws zod.ZodError when the schema doesn't accept it.
   */
  decode(wire: unknown): Value;
}

interface Packer {
  encode(value: unknown): unknown;
  decode(wire: unknown): unknown;
}

const IDENTITY: Packer = { encode: (value) => value, decode: (wire) => wire };

/**
 * Creates the codec of a schema. Objects below objects, arrays and optionals lose their names too;
 * other types (unions, records) travel as they are. Unknown trailing fields are ignored.
 *
 * @example createFieldCodec(zod.object({ vm: zod.string() })).encode({ vm: "a" }); // ["a"]
 */
export function createFieldCodec<Value>(schema: zod.ZodType<Value>): FieldCodec<Value> {
  const packer = createPacker(schema);
  return {
    encode: (value) => packer.encode(value),
    decode: (wire) => schema.parse(packer.decode(wire)),
  };
}

function createPacker(schema: unknown): Packer {
  if (schema instanceof zod.ZodObject) return createObjectPacker(schema);
  if (schema instanceof zod.ZodArray) return createArrayPacker(createPacker(schema.element));
  if (schema instanceof zod.ZodOptional) return createOptionalPacker(createPacker(schema.unwrap()));
  return IDENTITY;
}

function createObjectPacker(schema: zod.ZodObject): Packer {
  const fields = Object.entries(schema.shape).map(([name, field]) => ({
    name,
    packer: createPacker(field),
  }));
  return {
    encode: (value) => {
      const record = value as Readonly<Record<string, unknown>>;
      return removeTrailingUndefined(
        fields.map((field) => field.packer.encode(record[field.name])),
      );
    },
    decode: (wire) => {
      if (!Array.isArray(wire)) return wire;
      const record: Record<string, unknown> = {};
      fields.forEach((field, index) => {
        const value: unknown = field.packer.decode(wire[index]);
        if (value !== undefined) record[field.name] = value;
      });
      return record;
    },
  };
}

function createArrayPacker(item: Packer): Packer {
  return {
    encode: (value) => (value as unknown[]).map((entry) => item.encode(entry)),
    decode: (wire) => (Array.isArray(wire) ? wire.map((entry) => item.decode(entry)) : wire),
  };
}

function createOptionalPacker(inner: Packer): Packer {
  return {
    encode: (value) => (value === undefined ? undefined : inner.encode(value)),
    decode: (wire) => (wire === undefined ? undefined : inner.decode(wire)),
  };
}

function removeTrailingUndefined(list: unknown[]): unknown[] {
  while (list.length > 0 && list[list.length - 1] === undefined) list.pop();
  return list;
}
