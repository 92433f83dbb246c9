/** Public surface of the library. */
export { createKernel } from "./kernel/container.js";
export type { Kernel } from "./kernel/container.js";
export { createSystemClock } from "./kernel/clock.js";
export type { Clock } from "./kernel/clock.js";
export { validateDocument, documentSchema } from "./settings/document.js";
export type { FleetDocument } from "./settings/document.js";
export { RESULT_CODES, RequestError } from "./protocol/result-codes.js";
