//! HTTP listeners as every part of the system sets them up.

use smol::Task;
use socket2::SockRef;
use std::io;
use std::net::{SocketAddr, TcpListener};
use trillium::Handler;
use trillium_http::HttpConfig;
use trillium_smol::Stopper;

/// Connections that the kernel holds until they are accepted.
const ACCEPT_QUEUE: i32 = 4_096;

/// A listener that serves until it is stopped.
pub struct HttpListener {
    /// The address it was given, with the port that the kernel chose.
    pub address: SocketAddr,
    stopper: Stopper,
    task: Task<()>,
}

/// Bounds of a listener.
#[derive(Clone, Copy, Debug)]
pub struct ListenerLimits {
    /// Open connections.
    pub max_connections: usize,
    /// Largest request head, in bytes.
    pub max_head_bytes: usize,
}

impl HttpListener {
    /// Binds the address and serves `handler` on it.
    ///
    /// # Errors
    /// When the address cannot be bound.
    pub fn start(
        address: SocketAddr,
        limits: ListenerLimits,
        handler: impl Handler,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        // The default of 128 makes a burst of callers wait a second for a new try.
        SockRef::from(&listener).listen(ACCEPT_QUEUE)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let listener = trillium_smol::async_net::TcpListener::try_from(listener)?;
        let stopper = Stopper::new();
        // Without its own buffer the server hands on each chunk of a stream at once.
        let http = HttpConfig::default()
            .with_response_buffer_len(0)
            .with_head_max_len(limits.max_head_bytes)
            .with_received_body_max_len(u64::MAX);
        let server = trillium_smol::config()
            .without_signals()
            .with_nodelay()
            .with_max_connections(Some(limits.max_connections))
            .with_http_config(http)
            .with_stopper(stopper.clone())
            .with_prebound_server(listener);
        let task = smol::spawn(server.run_async(handler));
        Ok(Self {
            address,
            stopper,
            task,
        })
    }

    /// Stops accepting and waits until open connections have ended.
    pub async fn stop(self) {
        self.stopper.stop();
        self.task.await;
    }
}
