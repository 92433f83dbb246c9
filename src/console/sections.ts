/** Sections of the document and their form fields. */
import * as kinds from "./field-kinds.js";

/** A form field. */
export interface Field {
  /** Path within the item, such as `tolerance.deadlineMs`. */
  readonly key: string;
  readonly label: string;
  readonly kind: kinds.FieldKind;
  readonly hint?: string;
  /** Options of a choice or yes-no field, or where its options are named in the document. */
  readonly options?: readonly string[] | SectionName | "zones";
  /** Columns of a `rows` field. */
  readonly columns?: readonly kinds.Column[];
}

/** A section of the document. */
export interface Section {
  readonly title: string;
  /** Singular noun for an item of the section. */
  readonly itemTitle: string;
  readonly fields: readonly Field[];
}

/** Names of the sections that are lists. */
export type SectionName =
  "regions" | "callers" | "models" | "pools" | "runners" | "services" | "links";

const { text, number, yesNo, choice, lines, rows, credential } = kinds.FIELD_KIND;
const NAME_HINT = "lower-case letters, digits, '.', '_' and '-'";
const ADDRESS_FIELDS: readonly Field[] = [
  { key: "host", label: "IP address", kind: text },
  { key: "port", label: "Port", kind: number },
  { key: "zone", label: "Zone", kind: choice, options: "zones" },
];

/** Sections by name, in menu order. */
export const SECTIONS: Readonly<Record<SectionName, Section>> = {
  callers: {
    title: "Callers",
    itemTitle: "caller",
    fields: [
      { key: "name", label: "Name", kind: text, hint: NAME_HINT },
      { key: "displayName", label: "Display name", kind: text },
      {
        key: "credential",
        label: "New credential",
        kind: credential,
        hint: "only its SHA-256 is kept; leave empty to keep the present one",
      },
      { key: "credentialSha256", label: "SHA-256 of the credential", kind: text },
      { key: "priority", label: "Priority", kind: number, hint: "0 is most urgent, 9 least" },
      { key: "share", label: "Share", kind: number, hint: "weight among callers" },
      { key: "models", label: "Models", kind: lines, hint: "one name a line" },
      { key: "services", label: "Services", kind: lines, hint: "one name a line" },
      { key: "tolerance.firstTokenMs", label: "First token within (ms)", kind: number },
      { key: "tolerance.betweenTokensMs", label: "Between tokens (ms)", kind: number },
      { key: "tolerance.deadlineMs", label: "Deadline (ms)", kind: number },
    ],
  },
  pools: {
    title: "Pools",
    itemTitle: "pool",
    fields: [
      { key: "name", label: "Name", kind: text, hint: NAME_HINT },
      { key: "role", label: "Role", kind: choice, options: ["prefill", "decode"] },
      { key: "model", label: "Model", kind: choice, options: "models" },
    ],
  },
  runners: {
    title: "Runners",
    itemTitle: "runner",
    fields: [
      { key: "name", label: "Name", kind: text, hint: NAME_HINT },
      ...ADDRESS_FIELDS,
      { key: "pool", label: "Pool", kind: choice, options: "pools" },
      { key: "slots", label: "Slots", kind: number, hint: "requests it holds at once" },
      { key: "pieces", label: "Pieces of engine memory", kind: number },
      { key: "prefillTokensPerSecond", label: "Prefill tokens a second", kind: number },
      { key: "stepMs", label: "Decode step (ms)", kind: number, hint: "with full slots" },
      {
        key: "checksFencing",
        label: "Refuses orders with an old fencing number",
        kind: yesNo,
        options: ["yes", "no"],
      },
    ],
  },
  services: {
    title: "Services",
    itemTitle: "service",
    fields: [
      { key: "name", label: "Name", kind: text, hint: NAME_HINT },
      { key: "displayName", label: "Display name", kind: text },
      {
        key: "backends",
        label: "Backends",
        kind: rows,
        hint: "one a line: name, IP address, port, zone",
        columns: [
          { key: "name", kind: "text" },
          { key: "host", kind: "text" },
          { key: "port", kind: "number" },
          { key: "zone", kind: "text" },
        ],
      },
      {
        key: "operations",
        label: "Operations",
        kind: rows,
        hint: "one a line: method, path, idempotent (yes or no), deadline in ms",
        columns: [
          { key: "method", kind: "text" },
          { key: "path", kind: "text" },
          { key: "idempotent", kind: "yes-no" },
          { key: "deadlineMs", kind: "number" },
        ],
      },
    ],
  },
  models: {
    title: "Models",
    itemTitle: "model",
    fields: [
      { key: "name", label: "Name", kind: text, hint: NAME_HINT },
      { key: "version", label: "Version", kind: text },
      { key: "adapters", label: "Adapters", kind: lines, hint: "one name a line" },
      { key: "weightBytes", label: "Size of the weights (bytes)", kind: number },
      { key: "tokensPerPiece", label: "Tokens in a piece of engine memory", kind: number },
      { key: "kvBytesPerToken", label: "KV cache of a token (bytes)", kind: number },
      { key: "maxOutputTokens", label: "Longest answer (tokens)", kind: number },
    ],
  },
  links: {
    title: "Links",
    itemTitle: "link",
    fields: [
      { key: "from", label: "From zone", kind: choice, options: "zones" },
      { key: "to", label: "To zone", kind: choice, options: "zones" },
      { key: "bytesPerSecond", label: "Rate (bytes a second)", kind: number },
    ],
  },
  regions: {
    title: "Regions",
    itemTitle: "region",
    fields: [
      { key: "name", label: "Name", kind: text, hint: NAME_HINT },
      { key: "zones", label: "Zones", kind: lines, hint: "one name a line" },
    ],
  },
};

/** Top-level fields of the document. */
export const TOP_LEVEL_FIELDS: readonly Field[] = [
  { key: "operator", label: "Operator", kind: text },
  { key: "revision", label: "Revision", kind: number, hint: "rises with each document" },
  {
    key: "weightStore.bytesPerSecond",
    label: "Rate of the weight store (bytes a second)",
    kind: number,
  },
];

/** Returns the names of all sections. */
export function listSectionNames(): readonly SectionName[] {
  return Object.keys(SECTIONS) as SectionName[];
}

/** Returns whether a string is the name of a section. */
export function isSectionName(name: string): name is SectionName {
  return Object.hasOwn(SECTIONS, name);
}
