/** The micro-kernel: a container in which services find each other by name. */
import "reflect-metadata";
import * as tsyringe from "tsyringe";
import type * as services from "./services.js";

/** A container of named services, each made once, on first use. */
export interface Kernel extends AsyncDisposable {
  /**
   * Registers the factory of a service; a later registration under the same name replaces it.
   *
   * @example kernel.register("clock", () => createSystemClock());
   */
  register<Name extends services.ServiceName>(
    name: Name,
    factory: (kernel: Kernel) => services.ServiceTypes[Name],
  ): void;
  /**
   * Returns the service, made on first use.
   *
   * @throws when no service of that name is registered.
   * @example const clock = kernel.use("clock");
   */
  use<Name extends services.ServiceName>(name: Name): services.ServiceTypes[Name];
}

interface MaybeDisposable {
  [Symbol.asyncDispose]?: () => PromiseLike<void>;
}

class TsyringeKernel implements Kernel {
  readonly #container = tsyringe.container.createChildContainer();
  readonly #created: MaybeDisposable[] = [];

  register<Name extends services.ServiceName>(
    name: Name,
    factory: (kernel: Kernel) => services.ServiceTypes[Name],
  ): void {
    const useFactory = tsyringe.instanceCachingFactory(() => {
      const service = factory(this);
      this.#created.push(service as MaybeDisposable);
      return service;
    });
    this.#container.register(name, { useFactory });
  }

  use<Name extends services.ServiceName>(name: Name): services.ServiceTypes[Name] {
    return this.#container.resolve<services.ServiceTypes[Name]>(name);
  }

  /** Disposes of the services in the reverse order of their creation. */
  async [Symbol.asyncDispose](): Promise<void> {
    for (const service of this.#created.reverse()) {
      await service[Symbol.asyncDispose]?.();
    }
    this.#created.length = 0;
  }
}

/**
 * Creates an empty kernel; disposing of it disposes of every service it made.
 *
 * @example await using kernel = createKernel();
 */
export function createKernel(): Kernel {
  return new TsyringeKernel();
}
