/** How each kind of form field turns a value of the document into text and back. */

/** Kinds of fields. */
export const FIELD_KIND = {
  text: "text",
  number: "number",
  yesNo: "yes-no",
  /** One of several values. */
  choice: "choice",
  /** A list of names, one a line. */
  lines: "lines",
  /** A list of objects, one a line, their values separated by blanks. */
  rows: "rows",
  /** A credential, of which only the hash is kept. */
  credential: "credential",
} as const;

/** One of the values of `FIELD_KIND`. */
export type FieldKind = (typeof FIELD_KIND)[keyof typeof FIELD_KIND];

/** Column of a `rows` field. */
export interface Column {
  readonly key: string;
  readonly kind: "text" | "number" | "yes-no";
}

interface KindHandler {
  format(value: unknown, columns: readonly Column[]): string;
  parse(text: string, columns: readonly Column[]): unknown;
}

const YES = "yes";
const NO = "no";

const KIND_HANDLERS: Record<FieldKind, KindHandler> = {
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

/** Formats a value of the document for a field. */
export function formatFieldValue(
  kind: FieldKind,
  value: unknown,
  columns: readonly Column[] = [],
): string {
  return KIND_HANDLERS[kind].format(value, columns);
}

/** Parses a field's text; text that does not fit is kept, so that validation shows its fault. */
export function parseFieldValue(
  kind: FieldKind,
  text: string,
  columns: readonly Column[] = [],
): unknown {
  return KIND_HANDLERS[kind].parse(text.trim(), columns);
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
