import * as test from "node:test";
import * as earl from "earl";
import * as fastCheck from "fast-check";
import * as digests from "../../src/configuration/document-digest.js";
import * as documentTransfer from "../../src/configuration/document-transfer.js";
import * as textDelta from "../../src/configuration/text-delta.js";
import * as fakeRunners from "../orders/fake-runners.js";

function createText(text: string): documentTransfer.DocumentText {
  return { text, digest: digests.computeDigest(text) };
}

/** Returns a document with 2000 runners; the one at index `changed` has a different port. */
function createLargeText(revision: number, changed: number): documentTransfer.DocumentText {
  const small = fakeRunners.createRunnersDocument(revision, "v1", true);
  const runners = Array.from({ length: 2000 }, (_, index) => ({
    ...small.runners[index % small.runners.length],
    name: `runner-${index}`,
    port: index === changed ? 9000 : 8000,
  }));
  return createText(digests.formatCanonical({ ...small, runners }));
}

test.describe("computeDelta", () => {
  test.it("yields hunks that turn any text into any other", () => {
    const text = fastCheck
      .array(fastCheck.constantFrom("{a", "{b", "{c", "x", ",{"), { maxLength: 30 })
      .map((parts) => parts.join(""));
    fastCheck.assert(
      fastCheck.property(text, text, (oldText, newText) => {
        const hunks = textDelta.computeDelta(oldText, newText);
        earl.expect(textDelta.applyDelta(oldText, hunks)).toEqual(newText);
      }),
      { seed: 7, numRuns: 1000 },
    );
  });

  test.it("refuses hunks that do not fit the old text", () => {
    const hunks = [{ from: 5, count: 1, text: "" }];
    earl.expect(() => textDelta.applyDelta("{a", hunks)).toThrow(RangeError);
  });
});

test.describe("DocumentEncoder", () => {
  test.it("encodes a small change of a large document as a small delta", () => {
    const encoder = new documentTransfer.DocumentEncoder();
    const base = createLargeText(1, 10);
    const next = createLargeText(2, 1500);
    const whole = encoder.encode(next, undefined);
    const delta = encoder.encode(next, base);
    earl.expect(documentTransfer.decodeDocument(whole, undefined)).toEqual(next.text);
    earl.expect(documentTransfer.decodeDocument(delta, base)).toEqual(next.text);
    earl.expect(delta.bytes.byteLength * 10 < whole.bytes.byteLength).toEqual(true);
  });

  test.it("refuses a document that does not match its digest", () => {
    const encoded = new documentTransfer.DocumentEncoder().encode(createText("{}"), undefined);
    const forged = { ...encoded, digest: createText("{ }").digest };
    earl.expect(() => documentTransfer.decodeDocument(forged, undefined)).toThrow();
  });
});
