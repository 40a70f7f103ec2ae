//! A listener whose accept queue is full: new connections are neither accepted nor refused, as
//! with a machine that has lost power or is behind a cut.

use ploverlift_gateway::time::within;
use smol::net::{TcpListener, TcpStream};
use socket2::SockRef;

/// Time-out after which a connection attempt shows that the accept queue is full, in
/// milliseconds.
const FULL_QUEUE_TIMEOUT_MS: u64 = 60;
/// Length of the accept queue of a listener that accepts connections.
const QUEUE_LENGTH: i32 = 128;

/// Connections that fill the accept queue of a listener.
#[derive(Default)]
pub struct QueueFillers {
    connections: Vec<TcpStream>,
}

impl QueueFillers {
    /// Fills the accept queue of a listener that no task accepts from.
    pub async fn fill(listener: &TcpListener) -> Self {
        SockRef::from(listener).listen(0).expect("listen");
        let address = listener.local_addr().expect("address");
        let mut connections = Vec::new();
        while let Some(filler) = within(FULL_QUEUE_TIMEOUT_MS, TcpStream::connect(address)).await {
            connections.push(filler.expect("a connection"));
        }
        Self { connections }
    }

    /// Lets the listener accept connections again.
    pub fn drain(&mut self, listener: &TcpListener) {
        SockRef::from(listener)
            .listen(QUEUE_LENGTH)
            .expect("listen");
        self.connections.clear();
    }
}
