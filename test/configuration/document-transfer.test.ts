import * as test from "node:test";
import * as earl from "earl";
import * as fastCheck from "fast-check";
import * as digests from "../../src/configuration/document-digest.js";
import * as documentTransfer from "../../src/configuration/document-transfer.js";
import * as textDifference from "../../src/configuration/text-difference.js";
import * as fakeRunners from "../orders/fake-runners.js";

function createText(text: string): documentTransfer.DocumentText {
  return { text, digest: digests.computeDigest(text) };
}

/** Returns a document of many runners, of which the one numbered `changed` has another port. */
function createLargeText(revision: number, changed: number): documentTransfer.DocumentText {
  const small = fakeRunners.createRunnersDocument(revision, "v1", true);
  const runners = Array.from({ length: 2000 }, (_, index) => ({
    ...small.runners[index % small.runners.length],
    name: `runner-${index}`,
    port: index === changed ? 9000 : 8000,
  }));
  return createText(digests.formatCanonical({ ...small, runners }));
}

test.describe("computeDifference", () => {
  test.it("leads from any text to any other", () => {
    const text = fastCheck
      .array(fastCheck.constantFrom("{a", "{b", "{c", "x", ",{"), { maxLength: 30 })
      .map((parts) => parts.join(""));
    fastCheck.assert(
      fastCheck.property(text, text, (oldText, newText) => {
        const hunks = textDifference.computeDifference(oldText, newText);
        earl.expect(textDifference.applyDifference(oldText, hunks)).toEqual(newText);
      }),
      { seed: 7, numRuns: 1000 },
    );
  });

  test.it("refuses a difference to another text", () => {
    const hunks = [{ from: 5, count: 1, text: "" }];
    earl.expect(() => textDifference.applyDifference("{a", hunks)).toThrow(RangeError);
  });
});

test.describe("DocumentPacker", () => {
  test.it("sends a small change of a large document in few bytes", () => {
    const packer = new documentTransfer.DocumentPacker();
    const base = createLargeText(1, 10);
    const next = createLargeText(2, 1500);
    const whole = packer.encode(next, undefined);
    const difference = packer.encode(next, base);
    earl.expect(documentTransfer.decodeDocument(whole, undefined)).toEqual(next.text);
    earl.expect(documentTransfer.decodeDocument(difference, base)).toEqual(next.text);
    earl.expect(difference.bytes.byteLength * 10 < whole.bytes.byteLength).toEqual(true);
  });

  test.it("refuses what doesn't match its digest", () => {
    const packed = new documentTransfer.DocumentPacker().encode(createText("{}"), undefined);
    const forged = { ...packed, digest: createText("{ }").digest };
    earl.expect(() => documentTransfer.decodeDocument(forged, undefined)).toThrow();
  });
});
