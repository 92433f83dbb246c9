/**
 * Keeps each stream to the software version of the runner that wrote its first event. What two versions write does not fit
 * together, and runners do not check it.
 */
import * as epochs from "../registry/epochs.js";
import * as resultCodes from "../protocol/result-codes.js";
import type * as connectionStarts from "../runners/connection-starts.js";
import type * as runnerTable from "../runners/runner-table.js";
import * as runners from "../runners/types.js";
import type * as versionHistory from "../runners/version-history.js";
import type * as versionVerifier from "../runners/version-verifier.js";
import type * as serving from "../serving/types.js";
import type * as telemetry from "../telemetry/types.js";
import type * as streamOriginExchange from "./stream-origin-exchange.js";
import type * as streamOrigins from "./stream-origins.js";

/** Retry time when the version of a stream is not known. The caller may ask another VM, or begin anew. */
const UNKNOWN_RETRY_AFTER_MS = 250;
/** Retry time when no runner of the version is listed; one that crashed is back after some seconds. */
const GONE_RETRY_AFTER_MS = 1_000;
/** Least time for which streams are taken to live: each attempt of a caller may last as long as the route allows. */
const MIN_STREAM_LIFETIME_MS = 60_000;
/** Number of attempts that a caller makes at one stream, at most. */
const CALLER_ATTEMPTS = 4;

/** How the version of a stream that a caller resumes is known. */
const KNOWN_BY = {
  /** From a record of this VM. */
  record: "record",
  /** From the record of a peer. */
  peer: "peer",
  /** From a runner that reports the run. */
  report: "report",
  /** No other version was listed for as long as the stream can have lived. */
  soleVersion: "soleVersion",
} as const;

interface KnownVersion {
  readonly version: string;
  readonly knownBy: (typeof KNOWN_BY)[keyof typeof KNOWN_BY];
}

/** Why a stream cannot be resumed. */
const REFUSAL = {
  unknown: {
    reason: "unknown",
    text: "the software version that began the stream is not known",
    retryAfterMs: UNKNOWN_RETRY_AFTER_MS,
  },
  gone: {
    reason: "gone",
    text: "no runner of the software version that began the stream is listed",
    retryAfterMs: GONE_RETRY_AFTER_MS,
  },
} as const;

/** Services that `StreamVersions` uses. */
export interface StreamVersionsOptions {
  readonly metrics: telemetry.Metrics;
  readonly runners: runnerTable.RunnerTable;
  readonly history: versionHistory.VersionHistory;
  readonly starts: connectionStarts.ConnectionStarts;
  readonly exchange: streamOriginExchange.StreamOriginExchange;
  readonly verifier: Pick<versionVerifier.VersionVerifier, "verify">;
}

/** Finds the version to which a stream has to keep, and records where streams began. */
export class StreamVersions {
  readonly #options: StreamVersionsOptions;

  constructor(options: StreamVersionsOptions) {
    this.#options = options;
  }

  /**
   * Returns the version at which the stream of a call has to be resumed; `undefined` if the call begins a stream.
   *
   * @throws RequestError when the version is not known or serves no more; the call has not run.
   */
  async findStreamVersion(call: serving.ServedCall): Promise<string | undefined> {
    const { firstAttemptId: attempt, lastEventId } = call.head;
    if (attempt === undefined && lastEventId === undefined) return undefined;
    const livedMs = computeStreamLifetime(call.route.timeoutMs);
    const question = { attempt, service: call.service.name, livedMs };
    const known = await this.#findKnown(question);
    if (known === undefined) throw this.#createRefusal(call, REFUSAL.unknown);
    const { version, knownBy } = known;
    this.#options.metrics.count("streams_taken_up", { known: knownBy });
    this.#checkServed(call, version);
    return version;
  }

  /** @throws RequestError when no runner of the version is listed for the service of a call. */
  #checkServed(call: serving.ServedCall, version: string): void {
    const { runners: table } = this.#options;
    const service = call.service.name;
    const serving = [...table.listUsable(service), ...table.listDraining(service)];
    const isServed = serving.some(
      ({ runner }) => runner.softwareVersion === version && runner.stage !== runners.STAGE.prefill,
    );
    if (!isServed) throw this.#createRefusal(call, REFUSAL.gone);
  }

  /**
   * Records a run that may bring the first event of a stream. Returns its origin once the start of the runner is known, which
   * takes one round trip on a new connection.
   *
   * @param connection - the connection on which the run was sent.
   */
  async recordBegin(
    call: serving.ServedCall,
    runner: runners.Runner,
    connection: connectionStarts.Connection,
    run: number,
  ): Promise<streamOrigins.StreamOrigin> {
    const { starts, exchange } = this.#options;
    const stated = await starts.readStart(runner, connection);
    const origin = {
      attempt: call.head.id,
      service: call.service.name,
      runner: runner.id,
      run,
      bornAt: stated,
      softwareVersion: this.#findListedVersion(runner, stated),
    };
    exchange.publish(origin);
    return origin;
  }

  /** Records a run that resumes a stream at a runner of its version, before it is sent. */
  recordResumed(call: serving.ServedCall, runner: runners.Runner, run: number): void {
    const { exchange } = this.#options;
    const { id: attempt, firstAttemptId } = call.head;
    const { id, bornAt, softwareVersion } = runner;
    const origin = {
      attempt,
      service: call.service.name,
      runner: id,
      run,
      bornAt,
      softwareVersion,
    };
    exchange.publish(origin);
    const first = firstAttemptId === undefined ? undefined : exchange.findOrigin(firstAttemptId);
    // Announced anew for the VMs that keep it now.
    if (first !== undefined) exchange.publish(first);
  }

  /**
   * Returns the version of the start at which a stream began, if it is known.
   *
   * @param livedMs - longest time for which the stream can have lived.
   */
  async findVersion(
    origin: streamOrigins.StreamOrigin,
    livedMs: number,
  ): Promise<string | undefined> {
    const { history, exchange } = this.#options;
    const { attempt, service, runner, bornAt, softwareVersion } = origin;
    if (softwareVersion !== undefined) return softwareVersion;
    if (bornAt !== undefined) return history.findVersion({ id: runner, bornAt });
    const own = exchange.findOwn({ attempt, service, livedMs });
    return await this.#findSoleVersion(service, [own]);
  }

  /** Returns the version of a start that a runner stated, which may be newer than the listed one. */
  #findListedVersion(runner: runners.Runner, bornAt: number | undefined): string | undefined {
    if (bornAt === runner.bornAt) return runner.softwareVersion;
    return bornAt === undefined
      ? undefined
      : this.#options.history.findVersion({ id: runner.id, bornAt });
  }

  async #findKnown(
    question: streamOriginExchange.StreamQuestion,
  ): Promise<KnownVersion | undefined> {
    const { exchange } = this.#options;
    const own = exchange.findOwn(question);
    const kept = await this.#findOriginVersion(question, own.origin);
    if (kept !== undefined) return { version: kept, knownBy: KNOWN_BY.record };
    const { answers, isComplete } = await exchange.callPeers(question);
    const origins = [own, ...answers].flatMap(({ origin }) =>
      origin === undefined ? [] : [origin],
    );
    const latest = origins
      .filter(({ service }) => service === question.service)
      .sort((first, second) => second.run - first.run)[0];
    if (latest !== undefined) {
      exchange.addOrigin(latest);
      const version = await this.#findOriginVersion(question, latest);
      return version === undefined ? undefined : { version, knownBy: KNOWN_BY.peer };
    }
    const reported = listReportedVersions([own, ...answers]);
    const [reportedVersion] = reported;
    if (reported.length > 1) return undefined;
    if (reportedVersion !== undefined)
      return { version: reportedVersion, knownBy: KNOWN_BY.report };
    // A VM that did not answer may keep the origin of the stream.
    if (!isComplete) return undefined;
    const version = await this.#findSoleVersion(question.service, [own, ...answers]);
    return version === undefined ? undefined : { version, knownBy: KNOWN_BY.soleVersion };
  }

  async #findOriginVersion(
    { service, livedMs }: streamOriginExchange.StreamQuestion,
    origin: streamOrigins.StreamOrigin | undefined,
  ): Promise<string | undefined> {
    if (origin?.service !== service) return undefined;
    return await this.findVersion(origin, livedMs);
  }

  /** Returns the only version that a service can have had, if the platform confirms that none has joined since. */
  async #findSoleVersion(
    service: string,
    answers: readonly streamOriginExchange.StreamAnswer[],
  ): Promise<string | undefined> {
    const sole = findSoleVersion(answers);
    if (sole === undefined) return undefined;
    const isSole = await this.#options.verifier.verify({ service, ...sole });
    return isSole ? sole.version : undefined;
  }

  #createRefusal(
    call: serving.ServedCall,
    { reason, text, retryAfterMs }: (typeof REFUSAL)[keyof typeof REFUSAL],
  ): resultCodes.RequestError {
    const { RESULT_CODES, RAN } = resultCodes;
    this.#options.metrics.count("version_refusals", { service: call.service.name, reason });
    return new resultCodes.RequestError(RESULT_CODES.versionUnavailable, RAN.no, {
      detail: text,
      retryAfterMs,
    });
  }
}

/**
 * Returns the longest time in ms for which a stream can have lived. The timeout of its route limits one attempt, and may have
 * been longer when the stream began.
 */
function computeStreamLifetime(timeoutMs: number): number {
  return Math.max(MIN_STREAM_LIFETIME_MS, CALLER_ATTEMPTS * timeoutMs);
}

/** Returns the versions of the runners that reported a run of the stream. */
function listReportedVersions(
  answers: readonly streamOriginExchange.StreamAnswer[],
): readonly string[] {
  return [...new Set(answers.flatMap(({ reportedVersions = [] }) => reportedVersions))];
}

/**
 * Returns the only version that a service can have had, if one VM knows it and none knows of another version, with the newest
 * epoch and revision that show it. Without a revision, as in the answer of an older build, nothing tells how old the list is.
 */
function findSoleVersion(
  answers: readonly streamOriginExchange.StreamAnswer[],
): Omit<versionVerifier.SoleVersion, "service"> | undefined {
  const versions = new Set(answers.flatMap((answer) => answer.versions));
  const soleVersions = new Set(answers.flatMap(({ soleVersion }) => soleVersion ?? []));
  const [version] = soleVersions;
  if (version === undefined || versions.size !== 1 || soleVersions.size !== 1) return undefined;
  const positions = answers.flatMap(({ soleEpoch = 0, soleRewinds = 0, soleRevision }) =>
    soleRevision === undefined
      ? []
      : [{ epoch: soleEpoch, rewinds: soleRewinds, revision: soleRevision }],
  );
  positions.sort((one, other) => epochs.compareEpochs(other, one) || other.revision - one.revision);
  const [newest] = positions;
  return newest === undefined ? undefined : { version, ...newest };
}
