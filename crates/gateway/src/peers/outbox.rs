//! Messages to other nodes from tasks that do not have the socket.

use super::messages::{encode, PeerMessage};
use smol::net::UdpSocket;
use std::net::SocketAddr;
use std::sync::Arc;

/// Messages that wait to be sent, at most: the socket takes one within microseconds.
const MAX_WAITING: usize = 1_024;

/// Where such messages are put.
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
    /// Has a message sent, without a wait. One that finds no place is as good as lost on its
    /// way, which whoever sends it has to bear anyhow.
    pub fn put(&self, to: SocketAddr, message: &PeerMessage) {
        let _ = self.sender.try_send((to, encode(message)));
    }

    /// Sends what is put here until the task is dropped.
    pub async fn send_all(&self, socket: Arc<UdpSocket>) {
        while let Ok((to, datagram)) = self.receiver.recv().await {
            // A message that cannot be sent is as good as a lost one.
            let _ = socket.send_to(&datagram, to).await;
        }
    }
}
