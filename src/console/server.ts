/** HTTP server of the console: server-rendered forms whose only output is a validated document. */
import * as hapi from "@hapi/hapi";
import * as documents from "../settings/document.js";
import * as access from "./access.js";
import * as actions from "./actions.js";
import * as forms from "./forms.js";
import * as openPage from "./open-page.js";
import type * as reviews from "./review.js";
import * as styles from "./style.js";
import * as workingDocuments from "./working-document.js";

/** Settings of the console. */
export interface ConsoleSettings extends access.AccessSettings {
  /** 0 lets the operating system choose a port. */
  readonly port: number;
  /** Reads the published document; without it the console only works on local documents. */
  readonly readPublished: (() => Promise<unknown>) | undefined;
}

/** A running console. */
export interface RunningConsole extends AsyncDisposable {
  /** Port the console listens on. */
  readonly port: number;
}

/**
 * Limit on a submitted form. Percent-encoding at most triples the size of a document; the rest is
 * for the other fields.
 */
const MAX_FORM_BYTES = 4 * documents.MAX_DOCUMENT_BYTES;
const STOP_TIMEOUT_MS = 2000;

/**
 * Starts the console.
 *
 * @throws Error if the bind address is not loopback and there is no token.
 * @example await using running = await startConsole(settings);
 */
export async function startConsole(settings: ConsoleSettings): Promise<RunningConsole> {
  const server = createConsoleServer(settings);
  await server.start();
  return {
    port: Number(server.info.port),
    [Symbol.asyncDispose]: () => server.stop({ timeout: STOP_TIMEOUT_MS }),
  };
}

/** Creates the server without starting it. */
export function createConsoleServer(settings: ConsoleSettings): hapi.Server {
  const server = hapi.server({ host: settings.host, port: settings.port });
  access.registerAccess(server, settings);
  server.route([
    {
      method: "GET",
      path: "/style.css",
      handler: (_request, toolkit) => toolkit.response(styles.STYLE).type("text/css"),
    },
    {
      method: "GET",
      path: "/",
      handler: () => openPage.renderOpenPage(settings.readPublished !== undefined),
    },
    {
      method: "POST",
      path: "/open",
      options: { payload: { maxBytes: MAX_FORM_BYTES, multipart: { output: "data" } } },
      handler: (request, toolkit) => handleOpen(settings, request, toolkit),
    },
    {
      method: "POST",
      path: "/edit",
      options: {
        payload: { maxBytes: MAX_FORM_BYTES, allow: "application/x-www-form-urlencoded" },
      },
      handler: (request, toolkit) => handleEdit(settings, request, toolkit),
    },
  ]);
  return server;
}

async function handleEdit(
  settings: ConsoleSettings,
  request: hapi.Request,
  toolkit: hapi.ResponseToolkit,
): Promise<hapi.ResponseObject> {
  const form = forms.parseEditForm(request.payload);
  if (form === undefined) return createBadRequest(toolkit);
  const { action, ...submission } = form;
  try {
    const readPublishedState = (): Promise<reviews.PublishedState> => readPlatformState(settings);
    return createResponse(
      toolkit,
      await actions.runAction(action, { ...submission, readPublishedState }),
    );
  } catch (error) {
    if (error instanceof actions.ActionError) return createBadRequest(toolkit);
    throw error;
  }
}

async function handleOpen(
  settings: ConsoleSettings,
  request: hapi.Request,
  toolkit: hapi.ResponseToolkit,
): Promise<hapi.ResponseObject> {
  const form = forms.parseOpenForm(request.payload);
  if (form === undefined) return createBadRequest(toolkit);
  const openedDocument = await DOCUMENT_OPENERS[form.action](form, settings);
  if (typeof openedDocument === "string") {
    const hasPlatform = settings.readPublished !== undefined;
    return toolkit.response(openPage.renderOpenPage(hasPlatform, [openedDocument])).code(400);
  }
  const readPublishedState = (): Promise<reviews.PublishedState> => readPlatformState(settings);
  const submission = {
    ...openedDocument,
    fieldValues: new Map<string, string>(),
    readPublishedState,
  };
  return createResponse(toolkit, actions.createTopLevelPage(submission, undefined));
}

type OpenedDocument = Pick<actions.Submission, "document" | "base">;
/** Opens a document, or returns the reason why it can't be opened. */
type DocumentOpener = (
  form: forms.OpenForm,
  settings: ConsoleSettings,
) => OpenedDocument | string | Promise<OpenedDocument | string>;

const NO_BASE_VERSION: reviews.BaseVersion = { revision: undefined, digest: "" };

const DOCUMENT_OPENERS: Record<forms.OpenForm["action"], DocumentOpener> = {
  file: (form) => parseOpenedDocument(form.file ?? ""),
  text: (form) => parseOpenedDocument(form.text ?? ""),
  empty: () => ({ document: workingDocuments.createEmptyDocument(), base: NO_BASE_VERSION }),
  platform: async (_form, settings) => {
    const published = await readPlatformState(settings);
    if (published.state !== "known") return "The document in force can't be read, or has faults.";
    const openedDocument = parseOpenedDocument(JSON.stringify(published.document));
    if (typeof openedDocument === "string") return openedDocument;
    const document = { ...openedDocument.document, revision: published.document.revision + 1 };
    return { ...openedDocument, document };
  },
};

function parseOpenedDocument(text: string): OpenedDocument | string {
  const document = workingDocuments.parseWorkingDocument(text);
  if (document === undefined) {
    return `It is no JSON object, or larger than ${documents.MAX_DOCUMENT_BYTES} bytes.`;
  }
  const { revision } = document;
  if (typeof revision !== "number" || !Number.isSafeInteger(revision) || revision < 0) {
    return { document, base: NO_BASE_VERSION };
  }
  return { document, base: { revision, digest: actions.computeDocumentDigest(document) } };
}

async function readPlatformState(settings: ConsoleSettings): Promise<reviews.PublishedState> {
  if (settings.readPublished === undefined) return { state: "unconfigured" };
  try {
    const validation = documents.validateDocument(await settings.readPublished());
    return validation.ok ? { state: "known", document: validation.document } : { state: "faulty" };
  } catch (error) {
    return { state: "unreachable", reason: error instanceof Error ? error.message : "no answer" };
  }
}

function createResponse(
  toolkit: hapi.ResponseToolkit,
  result: actions.ActionResult,
): hapi.ResponseObject {
  if (result.type === "page") return toolkit.response(result.text).type("text/html");
  return toolkit
    .response(result.text)
    .type("application/json")
    .header("content-disposition", `attachment; filename="${result.name}"`);
}

function createBadRequest(toolkit: hapi.ResponseToolkit): hapi.ResponseObject {
  return toolkit.response("The form is not one of the console's.").code(400).type("text/plain");
}
