/** The console: server-rendered forms whose only output is one validated document. */
import * as hapi from "@hapi/hapi";
import * as documents from "../settings/document.js";
import * as access from "./access.js";
import * as actions from "./actions.js";
import * as forms from "./forms.js";
import * as openPage from "./open-page.js";
import type * as reviews from "./review.js";
import * as styles from "./style.js";
import * as working from "./working-document.js";

/** Settings of the console. */
export interface ConsoleSettings extends access.AccessSettings {
  /** 0 lets the system choose. */
  readonly port: number;
  /** Reads the published document; without it the console works on files alone. */
  readonly readPublished: (() => Promise<unknown>) | undefined;
}

/** A running console. */
export interface RunningConsole extends AsyncDisposable {
  readonly port: number;
}

/** A document in a URL-encoded form grows to at most three times its size. */
const MAX_FORM_BYTES = 4 * documents.MAX_DOCUMENT_BYTES;
const STOP_TIMEOUT_MS = 2000;

/**
 * Starts the console.
 *
 * @throws Error when it is to be bound beyond loopback without a token.
 * @example await using running = await startConsole({ host: "127.0.0.1", port: 0, token: undefined, readPublished: undefined });
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
    const readPublishedState = (): Promise<reviews.PublishedState> => readInForceDocument(settings);
    return createResponse(
      toolkit,
      await actions.runAction(action, { ...submission, readPublishedState: readPublishedState }),
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
  const opened = await OPENERS[form.action](form, settings);
  if (typeof opened === "string") {
    const hasPlatform = settings.readPublished !== undefined;
    return toolkit.response(openPage.renderOpenPage(hasPlatform, [opened])).code(400);
  }
  const readPublishedState = (): Promise<reviews.PublishedState> => readInForceDocument(settings);
  const submission = { ...opened, texts: new Map<string, string>(), readPublishedState };
  return createResponse(toolkit, actions.createTopLevelPage(submission, undefined));
}

type Opened = Pick<actions.Submission, "document" | "base">;
/** Opens a document, or returns why it can't. */
type Opener = (
  form: forms.OpenForm,
  settings: ConsoleSettings,
) => Opened | string | Promise<Opened | string>;

const NO_BASE: reviews.BaseVersion = { revision: undefined, digest: "" };

const OPENERS: Record<forms.OpenForm["action"], Opener> = {
  file: (form) => createOpened(form.file ?? ""),
  text: (form) => createOpened(form.text ?? ""),
  empty: () => ({ document: working.createEmptyDocument(), base: NO_BASE }),
  platform: async (_form, settings) => {
    const inForce = await readInForceDocument(settings);
    if (inForce.state !== "known") return "The document in force can't be read, or has faults.";
    const opened = createOpened(JSON.stringify(inForce.document));
    if (typeof opened === "string") return opened;
    const document = { ...opened.document, revision: inForce.document.revision + 1 };
    return { ...opened, document };
  },
};

function createOpened(text: string): Opened | string {
  const document = working.parseWorkingDocument(text);
  if (document === undefined) {
    return `It is no JSON object, or larger than ${documents.MAX_DOCUMENT_BYTES} bytes.`;
  }
  const { revision } = document;
  if (typeof revision !== "number" || !Number.isSafeInteger(revision) || revision < 0) {
    return { document, base: NO_BASE };
  }
  return { document, base: { revision, digest: actions.computeDocumentDigest(document) } };
}

async function readInForceDocument(settings: ConsoleSettings): Promise<reviews.PublishedState> {
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
