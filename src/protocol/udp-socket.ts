/** Datagrams over UDP. */
import * as dgram from "node:dgram";
import type * as network from "./network.js";

/** Unsent bytes above which a datagram is dropped, as a full network interface would do it. */
const MAX_QUEUED_BYTES = 262_144;

/** Binds a UDP socket; `onDatagram` is called with each received datagram. */
export async function listenForDatagrams(
  address: network.PeerAddress,
  onDatagram: (bytes: Uint8Array, from: network.PeerAddress) => void,
): Promise<network.DatagramSocket> {
  const socket = dgram.createSocket("udp4");
  socket.on("message", (bytes, { address: host, port }) => {
    onDatagram(bytes, { host, port });
  });
  await new Promise<void>((resolve, reject) => {
    socket.once("error", reject);
    socket.bind(address.port, address.host, () => {
      socket.off("error", reject);
      resolve();
    });
  });
  // A failed send is a lost datagram, which the calls allow for.
  socket.on("error", () => undefined);
  return {
    send: (bytes, { host, port }) => {
      if (socket.getSendQueueSize() < MAX_QUEUED_BYTES) socket.send(bytes, port, host);
    },
    [Symbol.asyncDispose]: () =>
      new Promise((resolve) => {
        socket.close(() => {
          resolve();
        });
      }),
  };
}
