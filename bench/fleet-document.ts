/** Configuration document of the simulated fleet. */
import type * as document from "../src/settings/document.js";
import * as scenario from "./scenario.js";

/** Name of the only model in the document. */
export const MODEL = "model";

const PIECES_PER_RUNNER = 4000;
const TOKENS_PER_PIECE = 64;

export function createFleetDocument(): document.FleetDocument {
  const {
    zones,
    prefillRunnerCount: prefillRunners,
    decodeRunnerCount: decodeRunners,
  } = scenario.FLEET;
  const { kvBytesPerToken, linkBytesPerSecond } = scenario.RUNNER_PARAMETERS;
  return {
    format: 1,
    revision: 1,
    operator: "bench",
    regions: [{ name: "region", zones: [...zones] }],
    callers: [],
    models: [
      {
        name: MODEL,
        version: "1",
        adapters: [],
        weightBytes: 1,
        tokensPerPiece: TOKENS_PER_PIECE,
        kvBytesPerToken,
        maxOutputTokens: 1000,
      },
    ],
    pools: [
      { name: "prefills", role: "prefill", model: MODEL },
      { name: "decoders", role: "decode", model: MODEL },
    ],
    runners: [
      ...createRunners("p", "prefills", prefillRunners),
      ...createRunners("d", "decoders", decodeRunners),
    ],
    services: [],
    links: zones.flatMap((from) =>
      zones.map((to) => ({ from, to, bytesPerSecond: linkBytesPerSecond })),
    ),
    weightStore: { bytesPerSecond: 1 },
  };
}

function createRunners(prefix: string, pool: string, count: number): document.Runner[] {
  const { slots, prefillTokensPerSecond, stepMs } = scenario.RUNNER_PARAMETERS;
  const { zones } = scenario.FLEET;
  return Array.from({ length: count }, (_, index) => ({
    name: `${prefix}${index}`,
    host: "127.0.0.1",
    port: 1,
    zone: zones[index % zones.length] ?? "",
    pool,
    slots,
    pieces: PIECES_PER_RUNNER,
    prefillTokensPerSecond,
    stepMs,
    checksFencing: true,
  }));
}
