//! What a state machine asks its driver to do.

use ploverlift_wire::messages::envelope::Body;
use std::net::SocketAddr;

/// A message to another node.
#[derive(Clone, Debug, PartialEq)]
pub struct Outgoing {
    /// The other node's cluster listener.
    pub to: SocketAddr,
    /// What is said.
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

    /// Takes all messages.
    pub fn take(&mut self) -> Vec<Outgoing> {
        std::mem::take(&mut self.messages)
    }
}
