/** The kernel: a dependency-injection container that resolves services by name. */
import "reflect-metadata";
import * as tsyringe from "tsyringe";
import type * as services from "./services.js";

/** A container of named services. Each is a singleton, created on first use. */
export interface Kernel extends AsyncDisposable {
  /**
   * Registers the factory of a service. A later registration under the same name replaces it.
   *
   * @example kernel.register("clock", () => createSystemClock());
   */
  register<Name extends services.ServiceName>(
    name: Name,
    factory: (kernel: Kernel) => services.ServiceTypes[Name],
  ): void;
  /**
   * Returns the service, creating it on first use.
   *
   * @throws when no service of that name is registered.
   * @example const clock = kernel.use("clock");
   */
  use<Name extends services.ServiceName>(name: Name): services.ServiceTypes[Name];
}

/** A service, which the kernel disposes of if it is disposable. */
interface MaybeDisposable {
  [Symbol.asyncDispose]?: () => PromiseLike<void>;
}

class TsyringeKernel implements Kernel {
  readonly #container = tsyringe.container.createChildContainer();
  readonly #createdServices: MaybeDisposable[] = [];

  register<Name extends services.ServiceName>(
    name: Name,
    factory: (kernel: Kernel) => services.ServiceTypes[Name],
  ): void {
    const useFactory = tsyringe.instanceCachingFactory(() => {
      const service = factory(this);
      this.#createdServices.push(service as MaybeDisposable);
      return service;
    });
    this.#container.register(name, { useFactory });
  }

  use<Name extends services.ServiceName>(name: Name): services.ServiceTypes[Name] {
    return this.#container.resolve<services.ServiceTypes[Name]>(name);
  }

  /** Disposes of the services in the reverse order of their creation. */
  async [Symbol.asyncDispose](): Promise<void> {
    for (const service of this.#createdServices.reverse()) {
      await service[Symbol.asyncDispose]?.();
    }
    this.#createdServices.length = 0;
  }
}

/**
 * Creates an empty kernel; disposing of it disposes of every service that it created.
 *
 * @example await using kernel = createKernel();
 */
export function createKernel(): Kernel {
  return new TsyringeKernel();
}
