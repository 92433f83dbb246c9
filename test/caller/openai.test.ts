import * as test from "node:test";
import * as earl from "earl";
import * as openai from "../../src/caller/openai.js";
import * as codes from "../../src/protocol/result-codes.js";

const METADATA = { id: "cmpl-1", model: "iono-llm", created: 7 };
const TEXTS = ["plain ", 'quotes " and \\ and $&', "Čistý Vzduch\n", "\u0000text", "\u0000text$1"];

test.describe("createTokenFormatter", () => {
  for (const endpoint of Object.values(openai.ENDPOINT)) {
    test.it(`formats ${endpoint} chunks as formatChunk does`, () => {
      const formatToken = openai.createTokenFormatter(endpoint, METADATA);
      for (const text of TEXTS) {
        const expected = openai.formatChunk(endpoint, METADATA, text, undefined);
        earl.expect(JSON.parse(formatToken(text))).toEqual(JSON.parse(JSON.stringify(expected)));
      }
    });
  }
});

test.describe("parseModelRequest", () => {
  test.it("splits the adapter from the model name and builds the prompt of a chat", () => {
    const body = { model: "iono-llm:tile-summary", messages: [{ role: "user", content: "tile" }] };
    const request = openai.parseModelRequest("chat", body);
    earl.expect([request.model, request.adapter]).toEqual(["iono-llm", "tile-summary"]);
    earl.expect(request.prompt).toEqual("<|user|>tile\n<|assistant|>");
  });

  test.it("lists the validation errors of a malformed body", () => {
    earl
      .expect(() => openai.parseModelRequest("completions", { model: "", max_tokens: 0 }))
      .toThrow(codes.RequestError, /model.*max_tokens.*prompt|max_tokens.*prompt/);
  });
});
