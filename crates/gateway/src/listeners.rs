//! The sockets on which a node listens.
//!
//! A port may be taken for a moment when a node starts: by an outgoing connection of another
//! program that got this number, or by a process that has not ended yet. So a port that is in use
//! is tried again for a bounded time. Any other failure, such as an address of another machine, is
//! final.

use crate::callers::bind;
use crate::settings::ListenSettings;
use crate::time::sleep;
use ploverlift_clock::Clock;
use slog::Logger;
use smol::net::{TcpListener, UdpSocket};
use snafu::{ResultExt, Snafu};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

/// Time between two attempts to bind a port that is in use, in milliseconds.
const RETRY_MS: u64 = 200;
/// Time for which a port in use is tried again, in milliseconds.
pub const MAX_WAIT_MS: u64 = 30_000;
/// Maximum attempts to find a port that is free for both UDP and TCP when the settings leave the
/// port open (port 0).
const PORT_ATTEMPTS: usize = 16;

/// A socket could not be bound.
#[derive(Debug, Snafu)]
#[snafu(display("cannot listen on {address} for {purpose}: {source}"))]
pub struct ListenError {
    /// The address in the settings.
    address: SocketAddr,
    /// What the socket serves.
    purpose: &'static str,
    /// Error of the operating system.
    source: io::Error,
}

impl ListenError {
    /// Whether the port may become free.
    fn is_port_in_use(&self) -> bool {
        self.source.kind() == io::ErrorKind::AddrInUse
    }
}

/// A listener and its address.
pub struct Bound<L> {
    /// The listener.
    pub listener: L,
    /// The address to which it is bound.
    pub address: SocketAddr,
}

/// The sockets for the exchange with other nodes.
pub struct PeerListeners {
    /// Reports.
    pub reports: Arc<UdpSocket>,
    /// Snapshots, at the same port as the reports.
    pub snapshots: TcpListener,
    /// The address of both.
    pub address: SocketAddr,
    /// Tunnels.
    pub tunnels: Option<Bound<TcpListener>>,
}

/// All sockets on which a node listens.
pub struct Listeners {
    /// For callers.
    pub callers: Bound<TcpListener>,
    /// For readiness probes.
    pub readiness: Bound<TcpListener>,
    /// For metrics.
    pub metrics: Option<Bound<TcpListener>>,
    /// For other nodes.
    pub peers: Option<PeerListeners>,
}

impl Listeners {
    /// Binds all sockets, each once.
    ///
    /// # Errors
    /// When one of them can't be bound.
    pub fn bind(settings: &ListenSettings) -> Result<Self, ListenError> {
        let callers = listen(settings.callers, "callers")?;
        let readiness = listen(settings.readiness, "readiness")?;
        let metrics = settings.metrics.map(|address| listen(address, "metrics"));
        let metrics = metrics.transpose()?;
        let peers = match settings.peers {
            Some(address) => Some(listen_for_peers(address, settings.tunnels)?),
            None => None,
        };
        Ok(Self {
            callers,
            readiness,
            metrics,
            peers,
        })
    }

    /// Binds all sockets. While a port is in use, tries again for at most `max_wait_ms`
    /// milliseconds.
    ///
    /// # Errors
    /// When a port stays in use, or a socket can't be bound for another reason.
    pub async fn bind_when_free(
        settings: &ListenSettings,
        max_wait_ms: u64,
        log: &Logger,
    ) -> Result<Self, ListenError> {
        let clock = Clock::default();
        let began = clock.now();
        loop {
            let waited_ms = clock.now().since(began);
            match Self::bind(settings) {
                Ok(listeners) => {
                    if waited_ms > 0 {
                        slog::info!(log, "listening"; "waited_ms" => waited_ms);
                    }
                    return Ok(listeners);
                }
                Err(error) if error.is_port_in_use() && waited_ms < max_wait_ms => {
                    slog::warn!(log, "port in use, trying again"; "address" => error.address.to_string(),
                        "purpose" => error.purpose, "waited_ms" => waited_ms,
                        "left_ms" => max_wait_ms - waited_ms);
                    sleep(RETRY_MS).await;
                }
                Err(error) => {
                    slog::error!(log, "cannot listen"; "address" => error.address.to_string(),
                        "purpose" => error.purpose, "error" => error.source.to_string(),
                        "waited_ms" => waited_ms);
                    return Err(error);
                }
            }
        }
    }
}

fn listen(address: SocketAddr, purpose: &'static str) -> Result<Bound<TcpListener>, ListenError> {
    let listener = bind(address).context(ListenSnafu { address, purpose })?;
    let local = listener.local_addr();
    let local = local.context(ListenSnafu { address, purpose })?;
    Ok(Bound {
        listener,
        address: local,
    })
}

/// Binds the same port number for UDP (reports) and for TCP (snapshots), and the port for tunnels.
fn listen_for_peers(
    address: SocketAddr,
    tunnels: Option<SocketAddr>,
) -> Result<PeerListeners, ListenError> {
    let attempts = match address.port() {
        0 => PORT_ATTEMPTS,
        _ => 1,
    };
    let mut attempt = 1;
    let (reports, snapshots) = loop {
        let reports = bind_datagrams(address).context(ListenSnafu {
            address,
            purpose: "peers",
        })?;
        let own = reports.local_addr().context(ListenSnafu {
            address,
            purpose: "peers",
        })?;
        match listen(own, "snapshots") {
            Ok(snapshots) => break (reports, snapshots),
            Err(error) if attempt >= attempts => return Err(error),
            Err(_) => attempt += 1,
        }
    };
    let tunnels = tunnels.map(|address| listen(address, "tunnels"));
    Ok(PeerListeners {
        reports: Arc::new(reports),
        address: snapshots.address,
        snapshots: snapshots.listener,
        tunnels: tunnels.transpose()?,
    })
}

fn bind_datagrams(address: SocketAddr) -> io::Result<UdpSocket> {
    let socket = std::net::UdpSocket::bind(address)?;
    socket.set_nonblocking(true)?;
    UdpSocket::try_from(socket)
}
