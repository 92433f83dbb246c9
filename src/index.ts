/** Public surface of the library. */
export { createKernel } from "./kernel/container.js";
export type { Kernel } from "./kernel/container.js";
export type { ServiceName, ServiceTypes } from "./kernel/services.js";
export { createSystemClock } from "./kernel/clock.js";
export type { Clock } from "./kernel/clock.js";
export { createSeededRandom, createSystemRandom } from "./kernel/random.js";
export type { RandomSource } from "./kernel/random.js";
export { createNodeKernel, runNode, startNode } from "./node.js";
export type { RunningNode } from "./node.js";
export type { NodeSettings } from "./settings/node-settings.js";
export { documentSchema, validateDocument } from "./settings/document.js";
export type { FleetDocument } from "./settings/document.js";
export { computeDocumentDiff } from "./settings/document-diff.js";
export { CallerClient } from "./client/caller-client.js";
export type { CallerClientOptions } from "./client/caller-client.js";
export { RAN, RESULT_CODES, RequestError } from "./protocol/result-codes.js";
export type { Ran, ResultCode } from "./protocol/result-codes.js";
