/**
 * Catalogue of log events, listed in `docs/LOG-EVENTS.md`. The meaning of a number never changes.
 */

/** Kind of a log entry. */
export interface LogEvent {
  readonly number: number;
  readonly level: "error" | "warn" | "info" | "debug";
  readonly message: string;
}

/**
 * Events by name: 1xxx process, 2xxx membership, 3xxx configuration, 4xxx requests, 5xxx capacity,
 * 6xxx upstreams.
 */
export const LOG_EVENTS = {
  nodeStarted: { number: 1001, level: "info", message: "node started" },
  nodeLeaving: { number: 1002, level: "info", message: "node is leaving" },
  nodeStopped: { number: 1003, level: "info", message: "node stopped" },
  unexpectedError: { number: 1004, level: "error", message: "unexpected error" },
  memberChanged: { number: 2001, level: "info", message: "member changed state" },
  peerRejected: { number: 2002, level: "warn", message: "peer connection rejected" },
  datagramRejected: { number: 2003, level: "warn", message: "datagrams rejected" },
  datagramsUnavailable: {
    number: 2004,
    level: "warn",
    message: "no port for datagrams; members are probed over connections",
  },
  configurationApplied: { number: 3001, level: "info", message: "configuration applied" },
  configurationRefused: { number: 3002, level: "error", message: "configuration refused" },
  configurationConflict: {
    number: 3003,
    level: "error",
    message: "two different documents have the same revision",
  },
  platformUnavailable: { number: 3004, level: "warn", message: "platform unavailable" },
  configurationPullFailed: {
    number: 3005,
    level: "warn",
    message: "configuration pull from peer failed",
  },
  platformRegained: { number: 3006, level: "info", message: "platform available again" },
  registryGap: { number: 3007, level: "warn", message: "registry change history has a gap" },
  registryPulled: { number: 3008, level: "info", message: "registry contents pulled from peer" },
  registryItemUnreadable: { number: 3009, level: "warn", message: "registry item not valid" },
  settingsReloaded: { number: 3010, level: "info", message: "settings reloaded" },
  settingsRefused: { number: 3011, level: "warn", message: "settings reload failed" },
  registryReadAlone: {
    number: 3012,
    level: "info",
    message: "own reads of the platform started or ended",
  },
  registryEpochStarted: {
    number: 3014,
    level: "info",
    message: "registry epoch learned, or platform restored from a copy",
  },
  registryRewound: {
    number: 3015,
    level: "warn",
    message: "platform answered less than was known",
  },
  registryUnnamedTaken: {
    number: 3016,
    level: "warn",
    message: "platform's answers without an epoch are taken",
  },
  watchesRestarted: {
    number: 3013,
    level: "info",
    message: "watches of the platform restarted on new connections",
  },
  registryItemIncomplete: { number: 3017, level: "warn", message: "registry item read in part" },
  configurationOlder: {
    number: 3018,
    level: "warn",
    message: "configuration older than the one in force",
  },
  eventLoopDelayed: { number: 1006, level: "warn", message: "event loop was delayed" },
  requestRefused: { number: 4001, level: "info", message: "request refused" },
  requestFinished: { number: 4002, level: "debug", message: "request finished" },
  requestRetried: { number: 4003, level: "info", message: "request retried" },
  requestCancelled: { number: 4004, level: "info", message: "request cancelled" },
  fingerprintQuarantined: { number: 4005, level: "warn", message: "fingerprint quarantined" },
  requestFailed: { number: 4006, level: "info", message: "request failed" },
  requestPlaced: { number: 4007, level: "info", message: "request placed" },
  requestResumed: { number: 4008, level: "info", message: "stream resumed on another runner" },
  runUnanswered: { number: 4009, level: "info", message: "run ended without an answer" },
  crashRecorded: { number: 4010, level: "warn", message: "crash of upstream recorded" },
  crashRecordReceived: { number: 4011, level: "info", message: "crash record received from peer" },
  crashRecordCleared: { number: 4012, level: "info", message: "crash record cleared" },
  crashPullFailed: { number: 4013, level: "warn", message: "crash record pull from peer failed" },
  retryShareChanged: { number: 4014, level: "info", message: "share of retry budget changed" },
  unframedStreamEnded: {
    number: 4015,
    level: "info",
    message: "stream without length or chunks ended with its connection",
  },
  quarantineLifted: { number: 4017, level: "info", message: "quarantine lifted" },
  runStarted: { number: 4016, level: "info", message: "run of a stream sent to a runner" },
  requestHandedOver: { number: 4018, level: "info", message: "request handed over to another VM" },
  requestTakenOver: { number: 4019, level: "info", message: "request of another VM served" },
  requestUnreadable: { number: 4020, level: "info", message: "request of a caller not readable" },
  httpRefusal: { number: 4021, level: "info", message: "refused on another HTTP port" },
  requestCharged: { number: 4022, level: "debug", message: "request charged to its team" },
  quotaHolderUnreachable: {
    number: 4023,
    level: "warn",
    message: "VM that grants the quota of a team unreachable",
  },
  quotaPartChanged: {
    number: 4024,
    level: "info",
    message: "part of the quota of a team that this VM grants changed",
  },
  logSuppressed: { number: 1005, level: "warn", message: "log entries suppressed" },
  allocatorChanged: { number: 5001, level: "info", message: "allocator of runner changed" },
  orphanCancelled: { number: 5002, level: "warn", message: "orphaned request cancelled on runner" },
  schedulerUnreachable: { number: 5003, level: "warn", message: "scheduler unreachable" },
  schedulerChanged: { number: 5004, level: "info", message: "scheduler of service changed" },
  runnerUnavailable: { number: 6001, level: "warn", message: "runner unavailable" },
  runnerLeaving: { number: 6003, level: "info", message: "runner accepts no new work" },
  runnerArrived: { number: 6004, level: "info", message: "runner added to registry" },
  runnerGone: { number: 6005, level: "info", message: "runner removed from registry" },
  runnerStageReported: {
    number: 6006,
    level: "info",
    message: "runner reports a stage that differs from the registry",
  },
  runnerLimitChanged: { number: 6007, level: "info", message: "limit of runner changed" },
  runnerLimitUnreadable: { number: 6008, level: "warn", message: "limit of runner not valid" },
  limitHolderUnreachable: {
    number: 6009,
    level: "warn",
    message: "VM that grants sends to limited runners unreachable",
  },
  runnerPathChanged: { number: 6010, level: "info", message: "path to runner lost or regained" },
  servicePathsChanged: {
    number: 6011,
    level: "warn",
    message: "paths to the runners of a service changed state",
  },
  leavingNoticeUnreadable: { number: 6012, level: "warn", message: "leaving notice not valid" },
  runnerPauseOdd: { number: 6014, level: "warn", message: "pause of runner not valid" },
  runnerPaused: { number: 6015, level: "info", message: "runner asked for a pause" },
  orderSent: { number: 6002, level: "info", message: "order sent to runner" },
} as const satisfies Record<string, LogEvent>;
