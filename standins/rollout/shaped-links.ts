/**
 * Loaded into a gateway's process with `--import`: limits the rate of all that the process writes to TCP connections, and
 * writes a line with the delay of the event loop and the processor time of each second. Works with every build.
 */
import * as net from "node:net";
import * as perfHooks from "node:perf_hooks";

const REPORT_PERIOD_MS = 1_000;
const NANOSECONDS_PER_MS = 1e6;
const BITS_PER_BYTE = 8;

type WriteCallback = (error?: Error | null) => void;
type WriteGeneric = (
  this: net.Socket,
  isVector: boolean,
  data: unknown,
  encoding: string,
  onWritten: WriteCallback,
) => unknown;

/** Line that a process writes each second. */
export interface LoadReport {
  readonly load: {
    readonly at: number;
    /** Longest delay of the event loop in this second. */
    readonly delayMs: number;
    /** Processor time in this second. */
    readonly cpuMs: number;
  };
}

/** Delays each write until the link has carried those before it. */
function shapeWrites(bytesPerMs: number): void {
  const prototype = net.Socket.prototype as unknown as { _writeGeneric: WriteGeneric };
  const writeNow = prototype._writeGeneric;
  let freeAt = 0;
  prototype._writeGeneric = function (this: net.Socket, isVector, data, encoding, onWritten) {
    // Pipes, such as standard output, are no links.
    if (this.remoteAddress === undefined) {
      writeNow.call(this, isVector, data, encoding, onWritten);
      return;
    }
    const now = performance.now();
    freeAt = Math.max(now, freeAt) + countBytes(isVector, data, encoding) / bytesPerMs;
    setTimeout(() => {
      if (this.destroyed) onWritten(new Error("socket was closed before the link was free"));
      else writeNow.call(this, isVector, data, encoding, onWritten);
    }, freeAt - now);
  };
}

function countBytes(isVector: boolean, data: unknown, encoding: string): number {
  if (isVector) {
    const chunks = data as readonly { chunk: unknown; encoding: string }[];
    return chunks.reduce((sum, one) => sum + countBytes(false, one.chunk, one.encoding), 0);
  }
  if (typeof data === "string") return Buffer.byteLength(data, encoding as BufferEncoding);
  return (data as Uint8Array).byteLength;
}

function reportLoad(): void {
  const delays = perfHooks.monitorEventLoopDelay({ resolution: 10 });
  delays.enable();
  let before = process.cpuUsage();
  setInterval(() => {
    const used = process.cpuUsage(before);
    before = process.cpuUsage();
    const cpuMs = Math.round((used.user + used.system) / 1_000);
    const delayMs = Math.round(delays.max / NANOSECONDS_PER_MS);
    delays.reset();
    const report: LoadReport = { load: { at: Date.now(), delayMs, cpuMs } };
    process.stdout.write(`${JSON.stringify(report)}\n`);
  }, REPORT_PERIOD_MS).unref();
}

const mbps = Number(process.env.ROLLOUT_LINK_MBPS ?? 0);
if (mbps > 0) shapeWrites((mbps * 1_000) / BITS_PER_BYTE);
reportLoad();
