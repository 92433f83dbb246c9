/** Serves calls on the runners that this VM reaches. */
import type * as crashDetector from "./crash-detector.js";
import * as requestTraits from "./request-traits.js";
import type * as types from "./types.js";

/** Dependencies of local serving. */
export interface LocalServingOptions {
  readonly crashDetector: Pick<crashDetector.CrashDetector, "checkAllowed">;
  readonly plain: types.CallHandler;
  readonly models: types.CallHandler;
}

/** Passes each call to the handler of its kind, unless it crashed several runners. */
export class LocalServing implements types.CallHandler {
  readonly #options: LocalServingOptions;

  constructor(options: LocalServingOptions) {
    this.#options = options;
  }

  async serve(call: types.ServedCall): Promise<void> {
    const { crashDetector: crashes, plain, models } = this.#options;
    crashes.checkAllowed(call);
    await (requestTraits.isModelRequest(call) ? models : plain).serve(call);
  }
}
