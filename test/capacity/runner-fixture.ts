/** A holder and runners for the tests of the ledgers. */
import type * as catalogs from "../../src/capacity/runner-catalog.js";

/** A node that holds leases. */
export const HOLDER = { vm: "vm0", incarnation: 1 };
/** A decode runner with four slots. */
export const DECODE_RUNNER: catalogs.CatalogRunner = {
  name: "d0",
  zone: "zone",
  region: "region",
  host: "127.0.0.1",
  port: 1,
  role: "decode",
  slots: 4,
  pieces: 100,
  prefillTokensPerSecond: 1000,
  stepMs: 10,
  model: "m",
  tokensPerPiece: 16,
  kvBytesPerToken: 1,
};

/** A prefill runner of the same model. */
export const PREFILL_RUNNER: catalogs.CatalogRunner = {
  ...DECODE_RUNNER,
  name: "p0",
  role: "prefill",
};
