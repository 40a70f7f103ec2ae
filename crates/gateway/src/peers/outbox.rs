//! Queue of messages to other nodes from tasks that do not have the socket.

use super::messages::{encode, PeerMessage};
use smol::net::UdpSocket;
use std::net::SocketAddr;
use std::sync::Arc;

/// Maximum number of queued messages: the socket accepts one within microseconds.
const MAX_WAITING: usize = 1_024;

/// The queue of these messages.
#[derive(Debug)]
pub struct Outbox {
    sender: async_channel::Sender<(SocketAddr, Vec<u8>)>,
    receiver: async_channel::Receiver<(SocketAddr, Vec<u8>)>,
}

impl Default for Outbox {
    fn default() -> Self {
        let (sender, receiver) = async_channel::bounded(MAX_WAITING);
        Self { sender, receiver }
    }
}

impl Outbox {
    /// Queues a message without waiting. When the queue is full the message is dropped,
    /// like a datagram that is lost on its way, which senders have to tolerate anyway.
    pub fn put(&self, to: SocketAddr, message: &PeerMessage) {
        let _ = self.sender.try_send((to, encode(message)));
    }

    /// Sends the queued messages until the task is dropped.
    pub async fn send_all(&self, socket: Arc<UdpSocket>) {
        while let Ok((to, datagram)) = self.receiver.recv().await {
            // A message that cannot be sent is treated like a lost one.
            let _ = socket.send_to(&datagram, to).await;
        }
    }
}
