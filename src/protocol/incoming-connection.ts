/** A connection that a peer dialled, on which this node serves the calls of the peer. */
import type * as callHandlers from "./call-handlers.js";
import * as handshake from "./handshake.js";
import * as incomingCalls from "./incoming-calls.js";
import type * as network from "./network.js";
import * as peerLink from "./peer-link.js";

/**
 * Time without a message after which a connection without calls is closed. Longer than the dialling end keeps one open, so
 * it only ends connections whose dialling end is gone.
 */
const MAX_IDLE_MS = 20_000;

/** Credentials and call handlers for serving a connection. */
export interface ServeOptions {
  readonly credentials: handshake.Credentials;
  readonly handlers: callHandlers.CallHandlers;
  /** Called with each error that fails a call, also in decoding it, unless the call was aborted. */
  readonly onHandlerError: (error: unknown) => void;
}

/**
 * Authenticates the peer, then serves its calls until the connection ends.
 *
 * @throws HandshakeError, MalformedMessageError, FrameLengthError, zod.ZodError or a network error.
 */
export async function handleConnection(
  channel: network.FrameChannel,
  options: ServeOptions,
): Promise<void> {
  await using disposedChannel = channel;
  const endpoint = { channel, frames: disposedChannel.receive()[Symbol.asyncIterator]() };
  const peer = await handshake.runAcceptorHandshake(endpoint, options.credentials);
  const link = new peerLink.PeerLink(peer, channel, endpoint.frames, options.credentials.clock);
  const calls = new incomingCalls.IncomingCalls(link, options.handlers, options.onHandlerError);
  const isInUse = (): boolean => calls.size > 0;
  void link.runIdleCheck(MAX_IDLE_MS, () => (isInUse() ? undefined : link.lastReceivedAt));
  try {
    await link.run((message) => {
      calls.handleMessage(message);
      if (isInUse()) void link.runHeartbeat(isInUse, () => undefined);
    });
  } finally {
    calls.close(link.signal.reason);
  }
}
