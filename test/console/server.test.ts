import * as test from "node:test";
import * as earl from "earl";
import * as fastCheck from "fast-check";
import type * as hapi from "@hapi/hapi";
import * as consoleServer from "../../src/console/server.js";
import * as documents from "../../src/settings/document.js";
import * as examples from "../settings/examples.js";

const SEED = 5;
const TOKEN = "console-token-for-tests";
const PUBLISHED = examples.readExample("cisty-vzduch.json");

type Overrides = Partial<consoleServer.ConsoleSettings>;

function createServer(overrides: Overrides = {}): hapi.Server {
  return consoleServer.createConsoleServer({
    host: "127.0.0.1",
    port: 0,
    token: undefined,
    readPublished: () => Promise.resolve(PUBLISHED),
    ...overrides,
  });
}

function sendForm(
  server: hapi.Server,
  fields: Record<string, string>,
  headers: Record<string, string> = {},
): Promise<hapi.ServerInjectResponse> {
  return server.inject({
    method: "POST",
    url: "/edit",
    headers: {
      host: "127.0.0.1",
      "content-type": "application/x-www-form-urlencoded",
      ...headers,
    },
    payload: new URLSearchParams(fields).toString(),
  });
}

function createForm(document: unknown, action: string, base = PUBLISHED): Record<string, string> {
  return {
    document: JSON.stringify(document),
    baseRevision: String(base.revision),
    baseDigest: "",
    action,
  };
}

/** Returns the document embedded in a page. */
function readDocument(page: string): documents.FleetDocument {
  const value = /name="document" value="([^"]*)"/.exec(page)?.[1] ?? "";
  const text = value
    .replaceAll("&quot;", '"')
    .replaceAll("&#39;", "'")
    .replaceAll("&lt;", "<")
    .replaceAll("&gt;", ">")
    .replaceAll("&amp;", "&");
  return JSON.parse(text) as documents.FleetDocument;
}

test.describe("a form of the console", () => {
  test.it("saves a change and shows the validation error next to the field", async () => {
    const fields = { ...createForm(PUBLISHED, "save runners 0"), "field.zone": "sk-east" };
    const { payload } = await sendForm(createServer(), fields);
    earl.expect(readDocument(payload).runners[0]?.zone).toEqual("sk-east");
    earl.expect(payload).toInclude('<span class="fault" id="zone-fault"><span>unknown zone');
    earl.expect(payload).toInclude('aria-describedby="zone-fault" aria-invalid="true"');
  });

  test.it("adds and removes an item with rows", async () => {
    const server = createServer();
    const added = await sendForm(server, {
      ...createForm(PUBLISHED, "save services 1"),
      "field.name": "notes",
      "field.displayName": "Poznámky",
      "field.backends": "notes-1 127.0.0.1 7501 sk-west-a\r\nnotes-2 127.0.0.1 7502 sk-west-b",
      "field.operations": "POST /notes no 3000",
    });
    const document = readDocument(added.payload);
    earl.expect(documents.validateDocument(document).ok).toEqual(true);
    earl.expect(document.services[1]?.backends.length).toEqual(2);
    earl.expect(document.services[1]?.operations[0]?.idempotent).toEqual(false);
    const removed = await sendForm(server, createForm(document, "remove services 1"));
    earl.expect(readDocument(removed.payload).services.length).toEqual(1);
  });

  test.it("stores only the hash of a credential", async () => {
    const fields = {
      ...createForm(PUBLISHED, "save callers 0"),
      "field.credential": "new-secret-1",
    };
    const { payload } = await sendForm(createServer(), fields);
    const hash = readDocument(payload).callers[0]?.credentialSha256;
    earl.expect(hash === PUBLISHED.callers[0]?.credentialSha256).toEqual(false);
    earl.expect(payload.includes("new-secret-1")).toEqual(false);
  });

  test.it("shows in the review how long the weights of a change take to load", async () => {
    const models = PUBLISHED.models.map((model) => ({ ...model, version: "4.3" }));
    const changed = { ...PUBLISHED, revision: 2, models };
    const { payload } = await sendForm(createServer(), createForm(changed, "review"));
    earl.expect(payload).toInclude("All loads together take at least 448 s");
    earl.expect(payload).toInclude("Download revision 2");
  });

  test.it("downloads a valid document, but not an invalid one", async () => {
    const server = createServer();
    const valid = await sendForm(server, createForm(PUBLISHED, "download"));
    earl
      .expect(valid.headers["content-disposition"])
      .toEqual('attachment; filename="ebonyhook-1.json"');
    earl.expect(JSON.parse(valid.payload)).toEqual(PUBLISHED);
    const invalid = await sendForm(server, createForm({ ...PUBLISHED, runners: [{}] }, "download"));
    earl.expect(invalid.headers["content-disposition"]).toEqual(undefined);
    earl.expect(invalid.payload).toInclude("runners[0].name");
  });

  test.it("opens pasted text and an uploaded file", async () => {
    for (const [name, disposition] of [
      ["text", 'name="text"'],
      ["file", 'name="file"; filename="a.json"'],
    ]) {
      const type = name === "file" ? "content-type: application/json\r\n" : "";
      const response = await createServer().inject({
        method: "POST",
        url: "/open",
        headers: { host: "127.0.0.1", "content-type": "multipart/form-data; boundary=b" },
        payload:
          `--b\r\ncontent-disposition: form-data; name="action"\r\n\r\n${name ?? ""}\r\n` +
          `--b\r\ncontent-disposition: form-data; ${disposition ?? ""}\r\n${type}\r\n` +
          `${JSON.stringify(PUBLISHED)}\r\n--b--\r\n`,
      });
      earl.expect(readDocument(response.payload)).toEqual(PUBLISHED);
    }
  });
});

test.describe("the review of the console", () => {
  async function readReview(overrides: Overrides, fields: Record<string, string>) {
    return (await sendForm(createServer(overrides), fields)).payload;
  }

  test.it("warns that the base revision has been superseded", async () => {
    const readPublished = () => Promise.resolve({ ...PUBLISHED, revision: 4 });
    const page = await readReview({ readPublished }, createForm(PUBLISHED, "review"));
    earl.expect(page).toInclude("The base revision 1 is no longer in force: revision 4 is.");
    earl.expect(page).toInclude("Use revision 5");
  });

  test.it("warns that another document has the same revision", async () => {
    const other = { ...PUBLISHED, operator: "other" };
    const readPublished = () => Promise.resolve(other);
    const page = await readReview({ readPublished }, createForm(PUBLISHED, "review"));
    earl.expect(page).toInclude("Another document took revision 1 since editing began.");
    earl.expect(page).toInclude("Another document already has revision 1.");
  });

  test.it("warns that the platform can't be read", async () => {
    const readPublished = () => Promise.reject(new Error("down"));
    const page = await readReview({ readPublished }, createForm(PUBLISHED, "review"));
    earl.expect(page).toInclude("The platform can&#39;t be read (down)");
  });
});

test.describe("the access control of the console", () => {
  const form = createForm(PUBLISHED, "top");

  test.it("requires a token to bind to an address other than loopback", () => {
    earl.expect(() => createServer({ host: "10.0.0.1" })).toThrow("needs a token");
  });

  test.it("requires the token as Basic password or bearer token", async () => {
    const server = createServer({ token: TOKEN });
    const basic = `Basic ${Buffer.from(`operator:${TOKEN}`).toString("base64")}`;
    for (const [authorization, status] of [
      ["", 401],
      ["Basic bm9uZQ==", 401],
      ["Bearer wrong", 401],
      [basic, 200],
      [`Bearer ${TOKEN}`, 200],
    ] as const) {
      const response = await sendForm(server, form, { authorization });
      earl.expect(response.statusCode).toEqual(status);
    }
  });

  // Guards against forms that another site submits from the operator's browser (CSRF), and against
  // host names that another site resolves to this machine (DNS rebinding).
  test.it(
    "rejects forms of other sites and host names other than the local machine's",
    async () => {
      const server = createServer();
      for (const headers of [
        { "sec-fetch-site": "cross-site" },
        { origin: "http://evil.example" },
        { host: "evil.example" },
      ]) {
        earl.expect((await sendForm(server, form, headers as never)).statusCode).toEqual(403);
      }
    },
  );

  test.it("sets the security headers on pages and errors", async () => {
    const server = createServer();
    for (const url of ["/", "/none"]) {
      const { headers } = await server.inject({ url, headers: { host: "localhost" } });
      earl
        .expect(headers["content-security-policy"])
        .toEqual(earl.expect.includes("default-src 'none'"));
      earl.expect(headers["cache-control"]).toEqual("no-store");
    }
  });
});

test.describe("the console with hostile input", () => {
  test.it("rejects undeclared fields and invalid values", async () => {
    const server = createServer();
    const validForm = createForm(PUBLISHED, "top");
    const changes: Record<string, string>[] = [
      { extra: "1" },
      { "field.nope": "1" },
      { action: "explode" },
      { action: "edit nothing 1" },
      { action: "edit runners -1" },
      { document: "[]" },
      { document: "{" },
      { baseRevision: "x" },
    ];
    for (const change of changes) {
      earl.expect((await sendForm(server, { ...validForm, ...change })).statusCode).toEqual(400);
    }
  });

  test.it("escapes values from the document", async () => {
    const server = createServer();
    const marker = "<img src=x onerror=alert(1)>\"'";
    const runners = PUBLISHED.runners.map((runner) => ({ ...runner, name: marker, zone: marker }));
    const hostile = { ...PUBLISHED, operator: marker, runners };
    for (const action of ["top", "section runners", "edit runners 0", "review"]) {
      const { payload } = await sendForm(server, createForm(hostile, action));
      earl.expect(payload.includes("<img")).toEqual(false);
      earl.expect(readDocument(payload).operator).toEqual(marker);
    }
  });

  test.it("renders a page for arbitrary JSON values in the document", async () => {
    const server = createServer();
    const actions = fastCheck.constantFrom("top", "section runners", "edit callers 0", "review");
    const document = fastCheck.record(
      { operator: fastCheck.json(), runners: fastCheck.array(fastCheck.jsonValue()) },
      { requiredKeys: [] },
    );
    const property = fastCheck.asyncProperty(document, actions, async (value, action) => {
      const response = await sendForm(server, createForm({ ...PUBLISHED, ...value }, action));
      earl.expect(response.statusCode).toEqual(200);
    });
    await fastCheck.assert(property, { seed: SEED, numRuns: 60 });
  });
});
