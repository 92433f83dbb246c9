/** A connection that a peer dialled, on which this node serves the calls of the peer. */
import type * as callHandlers from "./call-handlers.js";
import * as handshake from "./handshake.js";
import * as incomingCalls from "./incoming-calls.js";
import type * as network from "./network.js";
import * as peerLink from "./peer-link.js";

/** Dependencies for serving a connection. */
export interface ServeOptions {
  readonly credentials: handshake.Credentials;
  readonly handlers: callHandlers.CallHandlers;
  /** Called with each error that a handler throws. */
  readonly onHandlerError: (error: unknown) => void;
}

/**
 * Authenticates the peer, then serves its calls until the connection ends.
 *
 * @throws HandshakeError, MalformedMessageError, FrameLengthError or a network error.
 */
export async function handleConnection(
  channel: network.FrameChannel,
  options: ServeOptions,
): Promise<void> {
  await using ownedChannel = channel;
  const end = { channel, frames: ownedChannel.receive()[Symbol.asyncIterator]() };
  const peer = await handshake.runAcceptorHandshake(end, options.credentials);
  const link = new peerLink.PeerLink(peer, channel, end.frames, options.credentials.clock);
  const calls = new incomingCalls.IncomingCalls(link, options.handlers, options.onHandlerError);
  void link.runHeartbeat(() => undefined);
  try {
    await link.run((message) => {
      calls.handleMessage(message);
    });
  } finally {
    calls.close(link.signal.reason);
  }
}
