/**
 * Access control of the console: by token, or restricted to the local machine if there is no token.
 */
import type * as hapi from "@hapi/hapi";
import * as credentials from "../settings/credentials.js";

/** Bind address and token of the console. */
export interface AccessSettings {
  readonly host: string;
  /** Without a token, the console binds to loopback addresses only. */
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
const BASIC_CHALLENGE = 'Basic realm="ebonyhook console", charset="UTF-8"';
const LOOPBACK_HOSTS: ReadonlySet<string> = new Set(["127.0.0.1", "[::1]", "localhost"]);
const ALLOWED_FETCH_SITES: ReadonlySet<string> = new Set(["same-origin", "none"]);

/** Returns whether an IP address is a loopback address. */
export function isLoopbackAddress(host: string): boolean {
  return /^127\.\d{1,3}\.\d{1,3}\.\d{1,3}$/.test(host) || host === "::1";
}

/**
 * Registers access checks for all requests and security headers for all responses.
 *
 * @throws Error if the bind address is not loopback and there is no token.
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
      ? response.header("www-authenticate", BASIC_CHALLENGE).takeover()
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
  if (tokenHash === undefined && !hasLoopbackHost(request)) {
    return { status: 403, message: "open the console by its IP address" };
  }
  if (!hasAllowedOrigin(request))
    return { status: 403, message: "forms of other sites are refused" };
  if (tokenHash !== undefined && !isAuthorized(request, tokenHash)) {
    return { status: 401, message: "the console's token is required as password" };
  }
  return undefined;
}

/**
 * Returns whether the Host header names the local machine. Any other name may be one that a remote
 * site resolves to this machine (DNS rebinding).
 */
function hasLoopbackHost(request: hapi.Request): boolean {
  const name = (request.info.host || "").replace(/:\d+$/, "");
  return LOOPBACK_HOSTS.has(name) || isLoopbackAddress(name);
}

/**
 * Returns whether a request is a GET, or a form that was not submitted from another site. Other
 * sites must not submit forms with the operator's credentials (CSRF).
 */
function hasAllowedOrigin(request: hapi.Request): boolean {
  if (request.method === "get") return true;
  const site: unknown = request.headers["sec-fetch-site"];
  if (typeof site === "string") return ALLOWED_FETCH_SITES.has(site);
  const origin: unknown = request.headers.origin;
  return typeof origin !== "string" || origin.replace(/^https?:\/\//, "") === request.info.host;
}

/**
 * Returns whether a request has the token, as a bearer token or as the Basic password of any user.
 */
function isAuthorized(request: hapi.Request, tokenHash: string): boolean {
  const header: unknown = request.headers.authorization;
  if (typeof header !== "string") return false;
  const credential = credentials.parseBearer(header) ?? parseBasicPassword(header);
  return credential !== undefined && credentials.checkCredential(credential, tokenHash);
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
