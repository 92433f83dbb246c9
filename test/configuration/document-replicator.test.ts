import * as test from "node:test";
import * as earl from "earl";
import * as calls from "../../src/configuration/configuration-calls.js";
import * as documentTransfer from "../../src/configuration/document-transfer.js";
import * as digests from "../../src/configuration/document-digest.js";
import * as documents from "../membership/documents.js";
import * as fleets from "../membership/fleet.js";

const LIMITS = { timeoutMs: 1000 };

/** Returns a document in the encoding in which peers send it. */
function createEncoded(revision: number): documentTransfer.EncodedDocument {
  const text = digests.formatCanonical(documents.createDocument(revision));
  const document = { text, digest: digests.computeDigest(text) };
  return new documentTransfer.DocumentEncoder().encode(document, undefined);
}

test.describe("DocumentReplicator", () => {
  // If a stream that ends before its first chunk marked the version as rejected, the node would never
  // pull it again.
  test.it("pulls a version again after a peer ended the stream without a chunk", async () => {
    await using fleet = new fleets.TestFleet();
    fleet.platform.publish(documents.createDocument(1));
    await fleet.start(1);
    const { configuration, kernel } = fleet.getNode("vm-0");
    const encoded = createEncoded(2);
    let pulls = 0;
    await using announcer = fleet.createNonMemberPeer("vm-90");
    announcer.onStream(calls.PULL, async function* () {
      pulls += 1;
      const { digest, isDelta, bytes } = encoded;
      if (pulls > 1) yield await Promise.resolve({ digest, isDelta, chunk: bytes });
    });
    await announcer.start();
    kernel.use("network").setAddress("vm-90", fleet.getPeerAddress("vm-90"));
    for (let attempt = 0; attempt < 2; attempt += 1) {
      const version = { revision: 2, digest: encoded.digest };
      const announced = announcer.call("vm-0", calls.ANNOUNCE_VERSION, version, LIMITS);
      await fleet.clock.advance(1000);
      earl.expect(await announced).toEqual({});
    }
    earl.expect(configuration.current?.revision).toEqual(2);
  });
});
