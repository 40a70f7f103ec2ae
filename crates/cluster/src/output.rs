//! Output of a state machine: messages that the driver sends.

use ploverlift_wire::messages::envelope::Body;
use std::net::SocketAddr;

/// A message to another node.
#[derive(Clone, Debug, PartialEq)]
pub struct Outgoing {
    /// The other node's cluster listener.
    pub to: SocketAddr,
    /// The message.
    pub body: Body,
}

/// Messages waiting to be sent, in order.
#[derive(Clone, Debug, Default)]
pub struct Outbox {
    messages: Vec<Outgoing>,
}

impl Outbox {
    /// Adds a message.
    pub fn send(&mut self, to: SocketAddr, body: Body) {
        self.messages.push(Outgoing { to, body });
    }

    /// Returns all messages and empties the queue.
    pub fn take(&mut self) -> Vec<Outgoing> {
        std::mem::take(&mut self.messages)
    }
}
