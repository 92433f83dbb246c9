/**
 * Schema and validation of the document that configures the fleet, for the node, the console and
 * the command line.
 */
import * as zod from "zod";
import type * as documentItems from "./document-items.js";
import * as references from "./document-references.js";

const NAME_PATTERN = /^[a-z0-9][a-z0-9._-]{0,62}$/;
const MAX_ITEMS = 10_000;
/** Maximum size of a document as JSON text; the platform stores no larger value. */
export const MAX_DOCUMENT_BYTES = 1_000_000;

const nameSchema = zod.string().regex(NAME_PATTERN, "lower-case letters, digits, '.', '_' and '-'");
const portSchema = zod.int().min(1).max(65_535);
/** Durations of one millisecond to one hour. */
const durationMsSchema = zod.int().min(1).max(3_600_000);

/** Latency targets and deadline of a caller's requests. */
const toleranceSchema = zod.strictObject({
  firstTokenMs: durationMsSchema,
  betweenTokensMs: durationMsSchema,
  deadlineMs: durationMsSchema,
});

const callerSchema = zod.strictObject({
  name: nameSchema,
  displayName: zod.string().min(1).max(200),
  /** SHA-256 of the caller's credential, in hex. */
  credentialSha256: zod.string().regex(/^[0-9a-f]{64}$/, "64 hexadecimal digits"),
  /** 0 is the most urgent. */
  priority: zod.int().min(0).max(9),
  /** Weight of the caller in fair sharing. */
  share: zod.number().positive().max(1000),
  models: zod.array(nameSchema).max(MAX_ITEMS),
  services: zod.array(nameSchema).max(MAX_ITEMS),
  tolerance: toleranceSchema,
});

const modelSchema = zod.strictObject({
  name: nameSchema,
  version: zod.string().min(1).max(100),
  adapters: zod.array(nameSchema).max(1000),
  /** Size of the weights in bytes. */
  weightBytes: zod.int().positive(),
  /** Number of tokens whose KV cache fits into one piece of engine memory. */
  tokensPerPiece: zod.int().positive().max(65_536),
  /** Size of the KV cache of one token in bytes. */
  kvBytesPerToken: zod.int().positive(),
  maxOutputTokens: zod.int().positive().max(1_000_000),
});

const poolSchema = zod.strictObject({
  name: nameSchema,
  role: zod.enum(["prefill", "decode"]),
  model: nameSchema,
});

const runnerSchema = zod.strictObject({
  name: nameSchema,
  host: zod.ipv4(),
  port: portSchema,
  zone: nameSchema,
  pool: nameSchema,
  /** Maximum number of concurrent requests. */
  slots: zod.int().min(1).max(10_000),
  /** Engine memory in pieces. */
  pieces: zod.int().min(1).max(100_000_000),
  /** Prefill throughput in prompt tokens per second. */
  prefillTokensPerSecond: zod.number().positive(),
  /** Duration of one decode step with all slots in use. */
  stepMs: zod.number().positive(),
  /** Whether the runner rejects orders with an outdated fencing number. */
  checksFencing: zod.boolean(),
});

const operationSchema = zod.strictObject({
  method: zod.enum(["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]),
  /** Path below the service; `*` matches one segment, a trailing `**` any remaining segments. */
  path: zod.string().startsWith("/").max(500),
  idempotent: zod.boolean(),
  deadlineMs: durationMsSchema,
});

const backendSchema = zod.strictObject({
  name: nameSchema,
  host: zod.ipv4(),
  port: portSchema,
  zone: nameSchema,
});

const plainServiceSchema = zod.strictObject({
  name: nameSchema,
  displayName: zod.string().min(1).max(200),
  backends: zod.array(backendSchema).min(1).max(MAX_ITEMS),
  operations: zod.array(operationSchema).min(1).max(1000),
});

const linkSchema = zod.strictObject({
  from: nameSchema,
  to: nameSchema,
  bytesPerSecond: zod.number().positive(),
});

const regionSchema = zod.strictObject({
  name: nameSchema,
  zones: zod.array(nameSchema).min(1).max(100),
});

/** Schema of the document, without the checks across items. */
export const documentSchema = zod.strictObject({
  format: zod.literal(1),
  /** Increases with each published document. */
  revision: zod.int().min(1),
  operator: zod.string().min(1).max(200),
  regions: zod.array(regionSchema).min(1).max(100),
  callers: zod.array(callerSchema).max(MAX_ITEMS),
  models: zod.array(modelSchema).max(1000),
  pools: zod.array(poolSchema).max(1000),
  runners: zod.array(runnerSchema).max(MAX_ITEMS),
  services: zod.array(plainServiceSchema).max(1000),
  /** Transfer links between zones; `from` and `to` may be the same zone. */
  links: zod.array(linkSchema).max(MAX_ITEMS),
  weightStore: zod.strictObject({ bytesPerSecond: zod.number().positive() }),
});

/** A valid document. */
export type FleetDocument = zod.infer<typeof documentSchema>;
/** A region and its zones. */
export type Region = zod.infer<typeof regionSchema>;
/** A team or service that sends requests. */
export type Caller = zod.infer<typeof callerSchema>;
/** A model. */
export type Model = zod.infer<typeof modelSchema>;
/** A pool of runners with the same role and model. */
export type Pool = zod.infer<typeof poolSchema>;
/** A model runner. */
export type Runner = zod.infer<typeof runnerSchema>;
/** A plain service. */
export type PlainService = zod.infer<typeof plainServiceSchema>;
/** A backend of a plain service. */
export type Backend = zod.infer<typeof backendSchema>;
/** A transfer link between two zones. */
export type Link = zod.infer<typeof linkSchema>;
/** An operation of a plain service. */
export type Operation = zod.infer<typeof operationSchema>;

/** A validation error of a document. */
export interface DocumentFault {
  /** Path such as `runners[2].zone`. */
  readonly path: string;
  readonly reason: string;
}

/** Result of a validation. */
export type Validation =
  | { readonly ok: true; readonly document: FleetDocument }
  | { readonly ok: false; readonly faults: readonly DocumentFault[] };

/** Names of the sections, which are lists of items. */
export type SectionName =
  "regions" | "callers" | "models" | "pools" | "runners" | "services" | "links";

/** Parsers that omit invalid fields, for a document that the schema has rejected. */
const LENIENT_PARSERS: documentItems.ItemParsers = {
  regions: createLenientParser(regionSchema),
  callers: createLenientParser(callerSchema),
  models: createLenientParser(modelSchema),
  pools: createLenientParser(poolSchema),
  runners: createLenientParser(runnerSchema),
  services: createLenientParser(plainServiceSchema),
  links: createLenientParser(linkSchema),
};

/** Parsers for a document whose items the schema has already validated. */
const PASS_THROUGH_PARSERS: documentItems.ItemParsers = {
  regions: (item) => item as Region,
  callers: (item) => item as Caller,
  models: (item) => item as Model,
  pools: (item) => item as Pool,
  runners: (item) => item as Runner,
  services: (item) => item as PlainService,
  links: (item) => item as Link,
};

/**
 * Validates a document and lists every fault with its path.
 *
 * @example const result = validateDocument(JSON.parse(text)); if (!result.ok) print(result.faults);
 */
export function validateDocument(input: unknown): Validation {
  const parsed = documentSchema.safeParse(input);
  const issues = parsed.error?.issues ?? [];
  const parsers = parsed.success ? PASS_THROUGH_PARSERS : LENIENT_PARSERS;
  const faults = [
    ...issues.map((issue) => ({ path: formatPath(issue.path), reason: issue.message })),
    ...checkSize(input),
    ...references.checkReferences(input, parsers),
  ];
  const isValid = parsed.success && faults.length === 0;
  return isValid ? { ok: true, document: parsed.data } : { ok: false, faults };
}

/**
 * Creates the JSON Schema (draft 2020-12) of the document, without the checks across items.
 *
 * @example JSON.stringify(createDocumentJsonSchema());
 */
export function createDocumentJsonSchema(): object {
  return zod.toJSONSchema(documentSchema);
}

/**
 * Formats a document for publishing, indented unless that exceeds the size limit of the platform.
 */
export function formatDocument(document: FleetDocument): string {
  const indented = `${JSON.stringify(document, undefined, 2)}\n`;
  const fits = Buffer.byteLength(indented) <= MAX_DOCUMENT_BYTES;
  return fits ? indented : JSON.stringify(document);
}

function checkSize(input: unknown): readonly DocumentFault[] {
  const text = JSON.stringify(input) as string | undefined;
  const bytes = Buffer.byteLength(text ?? "");
  if (bytes <= MAX_DOCUMENT_BYTES) return [];
  return [{ path: "", reason: `has ${bytes} bytes, at most ${MAX_DOCUMENT_BYTES} are allowed` }];
}

function formatPath(path: readonly PropertyKey[]): string {
  let text = "";
  for (const key of path) {
    text += typeof key === "number" ? `[${key}]` : `${text === "" ? "" : "."}${String(key)}`;
  }
  return text;
}

/** Creates a parser that omits invalid fields. */
function createLenientParser<Shape extends zod.ZodRawShape>(
  schema: zod.ZodObject<Shape>,
): (item: unknown) => Partial<zod.infer<typeof schema>> | undefined {
  const fields = Object.entries(schema.shape) as [string, zod.ZodType][];
  const lenient = zod.object(
    Object.fromEntries(fields.map(([key, field]) => [key, field.optional().catch(undefined)])),
  );
  return (item) => lenient.safeParse(item).data as Partial<zod.infer<typeof schema>> | undefined;
}
