/** Reads documents from files and from the platform. */
import * as wreck from "@hapi/wreck";
import * as zod from "zod";
import * as documents from "../settings/document.js";
import * as commandSettings from "./command-settings.js";
import type * as terminals from "./terminal.js";

const READ_TIMEOUT_MS = 5000;
/** Limit on the response of the platform: a document and the JSON object that contains it. */
const MAX_PUBLISHED_BYTES = documents.MAX_DOCUMENT_BYTES + 1024;

const publishedDocumentSchema = zod.object({ revision: zod.int(), document: zod.unknown() });

/**
 * Reads and parses a JSON file, or standard input if the path is `-`.
 *
 * @throws UsageError if it cannot be read or is not JSON.
 */
export async function readDocumentFile(
  terminal: terminals.Terminal,
  path: string,
): Promise<unknown> {
  const text = await readText(terminal, path);
  try {
    return JSON.parse(text);
  } catch (error) {
    const reason = error instanceof Error ? error.message : "not JSON";
    throw new commandSettings.UsageError(`${path}: ${reason}`);
  }
}

/**
 * Reads the document that the platform publishes.
 *
 * @throws Error if the platform is unreachable or its response is not valid.
 */
export async function readPublishedDocument(platformUrl: string): Promise<unknown> {
  const url = new URL(
    "v1/configuration",
    platformUrl.endsWith("/") ? platformUrl : `${platformUrl}/`,
  );
  const { payload } = await wreck.default.get<Buffer>(url.href, {
    timeout: READ_TIMEOUT_MS,
    maxBytes: MAX_PUBLISHED_BYTES,
  });
  const published = publishedDocumentSchema.parse(JSON.parse(payload.toString("utf8")));
  return published.document;
}

/** Formats each fault, which is a validation error of a document, as one line of text. */
export function formatFaults(faults: readonly documents.DocumentFault[]): string[] {
  return faults.map((fault) => `${fault.path === "" ? "document" : fault.path}: ${fault.reason}`);
}

async function readText(terminal: terminals.Terminal, path: string): Promise<string> {
  try {
    return await terminal.readText(path);
  } catch (error) {
    const reason = error instanceof Error ? error.message : "can't be read";
    throw new commandSettings.UsageError(`${path}: ${reason}`);
  }
}
