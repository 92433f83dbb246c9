/** A runner and a holder for the tests of ledgers. */
import type * as catalogs from "../../src/capacity/catalog.js";

/** A node that holds leases. */
export const HOLDER = { vm: "vm0", incarnation: 1 };
/** A decode runner of four slots. */
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

/** A prefill runner beside it. */
export const PREFILL_RUNNER: catalogs.CatalogRunner = {
  ...DECODE_RUNNER,
  name: "p0",
  role: "prefill",
};
