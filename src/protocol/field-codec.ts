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
  pack(value: unknown): unknown;
  unpack(wire: unknown): unknown;
}

const IDENTITY: Packer = { pack: (value) => value, unpack: (wire) => wire };

/**
 * Creates the codec of a schema. Objects below objects, arrays and optionals lose their names too;
 * other types (unions, records) travel as they are. Unknown trailing fields are ignored.
 *
 * @example createFieldCodec(zod.object({ vm: zod.string() })).encode({ vm: "a" }); // ["a"]
 */
export function createFieldCodec<Value>(schema: zod.ZodType<Value>): FieldCodec<Value> {
  const packer = createPacker(schema);
  return {
    encode: (value) => packer.pack(value),
    decode: (wire) => schema.parse(packer.unpack(wire)),
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
    pack: (value) => {
      const record = value as Readonly<Record<string, unknown>>;
      return removeTrailingUndefined(fields.map((field) => field.packer.pack(record[field.name])));
    },
    unpack: (wire) => {
      if (!Array.isArray(wire)) return wire;
      const record: Record<string, unknown> = {};
      fields.forEach((field, index) => {
        const value: unknown = field.packer.unpack(wire[index]);
        if (value !== undefined) record[field.name] = value;
      });
      return record;
    },
  };
}

function createArrayPacker(item: Packer): Packer {
  return {
    pack: (value) => (value as unknown[]).map((entry) => item.pack(entry)),
    unpack: (wire) => (Array.isArray(wire) ? wire.map((entry) => item.unpack(entry)) : wire),
  };
}

function createOptionalPacker(inner: Packer): Packer {
  return {
    pack: (value) => (value === undefined ? undefined : inner.pack(value)),
    unpack: (wire) => (wire === undefined ? undefined : inner.unpack(wire)),
  };
}

function removeTrailingUndefined(list: unknown[]): unknown[] {
  while (list.length > 0 && list[list.length - 1] === undefined) list.pop();
  return list;
}
