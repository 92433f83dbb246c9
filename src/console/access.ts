/** Who may open the console: a token, or else only programs on the own machine. */
import type * as hapi from "@hapi/hapi";
import * as credentials from "../settings/credentials.js";

/** How the console is opened. */
export interface AccessSettings {
  readonly host: string;
  /** Without one the console binds loopback only. */
  readonly token: string | undefined;
}

const SECURITY_HEADERS: readonly (readonly [name: string, value: string])[] = [
  [
    "content-security-policy",
    "default-src 'none'; style-src 'self'; form-action 'self'; frame-ancestors 'none'; base-uri 'none'",
  ],
  ["x-content-type-options", "nosniff"],
  ["x-frame-options", "DENY"],
  ["referrer-policy", "no-referrer"],
  ["cache-control", "no-store"],
];
const CHALLENGE = 'Basic realm="ebonyhook console", charset="UTF-8"';
const LOOPBACK_NAMES: ReadonlySet<string> = new Set(["127.0.0.1", "[::1]", "localhost"]);
const SAME_SITE: ReadonlySet<string> = new Set(["same-origin", "none"]);

/** Returns whether an IP address is reached from the own machine only. */
export function isLoopbackAddress(host: string): boolean {
  return /^127\.\d{1,3}\.\d{1,3}\.\d{1,3}$/.test(host) || host === "::1";
}

/**
 * Registers the checks of every request and the headers of every response.
 *
 * @throws Error when the console is to be bound beyond loopback without a token.
 */
export function registerAccess(server: hapi.Server, settings: AccessSettings): void {
  const { token, host } = settings;
  if (token === undefined && !isLoopbackAddress(host)) {
    throw new Error("a console that is bound beyond loopback needs a token");
  }
  const tokenHash = token === undefined ? undefined : credentials.computeCredentialHash(token);
  server.ext("onRequest", (request, toolkit) => {
    const refusal = checkRequest(request, tokenHash);
    if (refusal === undefined) return toolkit.continue;
    const response = toolkit.response(refusal.message).code(refusal.status).type("text/plain");
    return refusal.status === 401
      ? response.header("www-authenticate", CHALLENGE).takeover()
      : response.takeover();
  });
  server.ext("onPreResponse", (request, toolkit) => {
    setSecurityHeaders(request);
    return toolkit.continue;
  });
}

interface Refusal {
  readonly status: number;
  readonly message: string;
}

function checkRequest(request: hapi.Request, tokenHash: string | undefined): Refusal | undefined {
  if (tokenHash === undefined && !isOwnHost(request)) {
    return { status: 403, message: "open the console by its IP address" };
  }
  if (!isSameSite(request)) return { status: 403, message: "forms of other sites are refused" };
  if (tokenHash !== undefined && !isAuthorized(request, tokenHash)) {
    return { status: 401, message: "the console's token is required as password" };
  }
  return undefined;
}

/** Refuses names that another site may have pointed at the own machine. */
function isOwnHost(request: hapi.Request): boolean {
  const name = (request.info.host || "").replace(/:\d+$/, "");
  return LOOPBACK_NAMES.has(name) || isLoopbackAddress(name);
}

/** Refuses forms that another site's page sent. */
function isSameSite(request: hapi.Request): boolean {
  if (request.method === "get") return true;
  const site: unknown = request.headers["sec-fetch-site"];
  if (typeof site === "string") return SAME_SITE.has(site);
  const origin: unknown = request.headers.origin;
  return typeof origin !== "string" || origin.replace(/^https?:\/\//, "") === request.info.host;
}

/** Accepts the token as bearer credential, or as the password of any user. */
function isAuthorized(request: hapi.Request, tokenHash: string): boolean {
  const header: unknown = request.headers.authorization;
  if (typeof header !== "string") return false;
  const given = credentials.parseBearer(header) ?? parseBasicPassword(header);
  return given !== undefined && credentials.checkCredential(given, tokenHash);
}

function parseBasicPassword(header: string): string | undefined {
  const match = /^basic +([a-z0-9+/=]+)$/i.exec(header);
  if (match === null) return undefined;
  const text = Buffer.from(match[1] ?? "", "base64").toString("utf8");
  const colon = text.indexOf(":");
  return colon === -1 ? undefined : text.slice(colon + 1);
}

function setSecurityHeaders(request: hapi.Request): void {
  const { response } = request;
  for (const [name, value] of SECURITY_HEADERS) {
    if ("isBoom" in response) {
      response.output.headers[name] = value;
    } else {
      response.header(name, value);
    }
  }
}
