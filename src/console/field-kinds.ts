/** Conversion between document values and the text of form fields, by kind of field. */

/** Kinds of form fields. */
export const FIELD_KIND = {
  text: "text",
  number: "number",
  yesNo: "yes-no",
  /** One of several options. */
  choice: "choice",
  /** A list of names, one per line. */
  lines: "lines",
  /** A list of objects, one per line, with values separated by whitespace. */
  rows: "rows",
  /** A credential; only its hash is stored. */
  credential: "credential",
} as const;

/** Value of `FIELD_KIND`. */
export type FieldKind = (typeof FIELD_KIND)[keyof typeof FIELD_KIND];

/** Column of a `rows` field. */
export interface Column {
  readonly key: string;
  readonly kind: "text" | "number" | "yes-no";
}

interface FieldCodec {
  format(value: unknown, columns: readonly Column[]): string;
  parse(text: string, columns: readonly Column[]): unknown;
}

const YES = "yes";
const NO = "no";

const FIELD_CODECS: Record<FieldKind, FieldCodec> = {
  [FIELD_KIND.text]: { format: formatScalar, parse: (text) => text },
  [FIELD_KIND.choice]: { format: formatScalar, parse: (text) => text },
  [FIELD_KIND.number]: { format: formatScalar, parse: parseNumber },
  [FIELD_KIND.yesNo]: { format: formatScalar, parse: parseYesNo },
  [FIELD_KIND.lines]: {
    format: (value) => listValues(value).map(formatScalar).join("\n"),
    parse: parseLines,
  },
  [FIELD_KIND.rows]: {
    format: (value, columns) =>
      listValues(value)
        .map((row) => formatRow(row, columns))
        .join("\n"),
    parse: (text, columns) => parseLines(text).map((line) => parseRow(line, columns)),
  },
  [FIELD_KIND.credential]: { format: () => "", parse: (text) => text },
};

/** Formats a document value as the text of a field. */
export function formatFieldValue(
  kind: FieldKind,
  value: unknown,
  columns: readonly Column[] = [],
): string {
  return FIELD_CODECS[kind].format(value, columns);
}

/** Parses the text of a field. Text that can't be parsed is kept, so that validation reports it. */
export function parseFieldValue(
  kind: FieldKind,
  text: string,
  columns: readonly Column[] = [],
): unknown {
  return FIELD_CODECS[kind].parse(text.trim(), columns);
}

function formatScalar(value: unknown): string {
  if (typeof value === "boolean") return value ? YES : NO;
  if (typeof value === "string") return value;
  return typeof value === "number" ? String(value) : "";
}

function parseNumber(text: string): unknown {
  return text !== "" && Number.isFinite(Number(text)) ? Number(text) : text;
}

function parseYesNo(text: string): unknown {
  if (text === YES) return true;
  return text === NO ? false : text;
}

function parseLines(text: string): string[] {
  return text
    .split("\n")
    .map((line) => line.trim())
    .filter((line) => line !== "");
}

function formatRow(row: unknown, columns: readonly Column[]): string {
  const values = new Map(Object.entries(row ?? {}));
  return columns.map((column) => formatScalar(values.get(column.key))).join(" ");
}

/** Parses a line. Words beyond the columns become a field `surplus`, which validation reports. */
function parseRow(line: string, columns: readonly Column[]): object {
  const words = line.split(/\s+/);
  const entries = columns.map((column, index) => [
    column.key,
    parseFieldValue(column.kind, words[index] ?? ""),
  ]);
  const surplus = words.slice(columns.length);
  if (surplus.length > 0) entries.push(["surplus", surplus.join(" ")]);
  return Object.fromEntries(entries) as object;
}

function listValues(value: unknown): readonly unknown[] {
  return Array.isArray(value) ? (value as readonly unknown[]) : [];
}
