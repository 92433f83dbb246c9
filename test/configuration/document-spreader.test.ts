import * as test from "node:test";
import * as earl from "earl";
import * as calls from "../../src/configuration/configuration-calls.js";
import * as documentTransfer from "../../src/configuration/document-transfer.js";
import * as digests from "../../src/configuration/document-digest.js";
import * as documents from "../membership/documents.js";
import * as fleets from "../membership/fleet.js";

const LIMITS = { timeoutMs: 1000 };

/** Returns a document as a peer sends it. */
function createPacked(revision: number): documentTransfer.PackedDocument {
  const text = digests.formatCanonical(documents.createDocument(revision));
  const document = { text, digest: digests.computeDigest(text) };
  return new documentTransfer.DocumentPacker().encode(document, undefined);
}

test.describe("DocumentSpreader", () => {
  test.it("pulls a version again after a peer ended its answer too early", async () => {
    await using fleet = new fleets.TestFleet();
    fleet.platform.publish(documents.createDocument(1));
    await fleet.start(1);
    const { configuration, kernel } = fleet.getNode("vm-0");
    const packed = createPacked(2);
    let pulls = 0;
    await using teller = fleet.createBarePeer("vm-90");
    teller.onStream(calls.PULL, async function* () {
      pulls += 1;
      const { digest, isDifference, bytes } = packed;
      if (pulls > 1) yield await Promise.resolve({ digest, isDifference, chunk: bytes });
    });
    await teller.start();
    kernel.use("network").setAddress("vm-90", fleet.getPeerAddress("vm-90"));
    for (let tell = 0; tell < 2; tell += 1) {
      const version = { revision: 2, digest: packed.digest };
      const told = teller.call("vm-0", calls.ANNOUNCE_VERSION, version, LIMITS);
      await fleet.clock.advance(1000);
      earl.expect(await told).toEqual({});
    }
    earl.expect(configuration.current?.revision).toEqual(2);
  });
});
