//! Puts the parts of a node together: the only place that knows all of them.

use crate::callers::handler as callers;
use crate::cluster::reader;
use crate::cluster::transport::ClusterTransport;
use crate::engines::orders;
use crate::engines::poll as engine_poll;
use crate::listener::{HttpListener, ListenerLimits};
use crate::operators::handler as operators;
use crate::platform::client::PlatformClient;
use crate::platform::config_feed;
use crate::settings::Settings;
use crate::state::Node;
use ploverlift_policy::objects::Kind;
use slog::Logger;
use smol::{Task, Timer};
use snafu::{ResultExt, Snafu};
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;
use trillium::Conn;

/// Connections that operators and scrapers may open.
const OPERATOR_CONNECTIONS: usize = 256;

/// Why a node could not start.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// A listener could not be bound.
    #[snafu(display("cannot listen on {address} for {purpose}: {source}"))]
    Listen {
        /// The configured address.
        address: SocketAddr,
        /// Whom the listener is for.
        purpose: &'static str,
        /// What the operating system said.
        source: std::io::Error,
    },
}

/// A node that serves.
pub struct RunningNode {
    /// Shared state, for embedding and tests.
    pub node: Arc<Node>,
    callers: HttpListener,
    operators: HttpListener,
    tasks: Vec<Task<()>>,
}

/// Starts a node.
///
/// # Errors
/// When a listener cannot be bound.
pub fn start(settings: Settings, log: Logger) -> Result<RunningNode, StartError> {
    let address = settings.listen.cluster;
    let purpose = "other nodes";
    let transport = ClusterTransport::bind(address).context(ListenSnafu { address, purpose })?;
    let (datagrams, streams) = transport.readers();
    let node = Arc::new(Node::new(settings, log, transport));
    let platform = node.settings.platform.address.map(PlatformClient::new);
    let callers = start_callers(&node)?;
    let operators = start_operators(&node, platform.clone())?;
    let mut tasks = vec![
        smol::spawn(reader::read_datagrams(Arc::clone(&node), datagrams)),
        smol::spawn(reader::read_streams(Arc::clone(&node), streams)),
        smol::spawn(reader::tick(Arc::clone(&node))),
        smol::spawn(engine_poll::poll_engines(Arc::clone(&node))),
    ];
    if let Some(platform) = platform {
        for kind in Kind::ALL {
            let feed = config_feed::follow(Arc::clone(&node), platform.clone(), kind);
            tasks.push(smol::spawn(feed));
        }
        let writer = config_feed::write_claim_group(Arc::clone(&node), platform.clone());
        tasks.push(smol::spawn(writer));
        let orders = orders::give_orders(Arc::clone(&node), platform);
        tasks.push(smol::spawn(orders));
    }
    slog::info!(node.log, "node started";
        "callers" => callers.address.to_string(),
        "operators" => operators.address.to_string(),
        "cluster" => node.cluster_address().to_string());
    Ok(RunningNode {
        node,
        callers,
        operators,
        tasks,
    })
}

fn start_callers(node: &Arc<Node>) -> Result<HttpListener, StartError> {
    let shared = Arc::clone(node);
    let handler = move |conn: Conn| callers::handle(Arc::clone(&shared), conn);
    let limits = ListenerLimits {
        max_connections: node.settings.limits.max_connections,
        max_head_bytes: node.settings.limits.max_head_bytes,
    };
    let address = node.settings.listen.callers;
    let purpose = "callers";
    HttpListener::start(address, limits, handler).context(ListenSnafu { address, purpose })
}

fn start_operators(
    node: &Arc<Node>,
    platform: Option<PlatformClient>,
) -> Result<HttpListener, StartError> {
    let shared = Arc::clone(node);
    let handler = move |conn: Conn| operators::handle(Arc::clone(&shared), platform.clone(), conn);
    let limits = ListenerLimits {
        max_connections: OPERATOR_CONNECTIONS,
        max_head_bytes: node.settings.limits.max_head_bytes,
    };
    let address = node.settings.listen.operators;
    let purpose = "operators";
    HttpListener::start(address, limits, handler).context(ListenSnafu { address, purpose })
}

impl RunningNode {
    /// Where callers connect.
    pub fn callers_address(&self) -> SocketAddr {
        self.callers.address
    }

    /// Where operators connect.
    pub fn operators_address(&self) -> SocketAddr {
        self.operators.address
    }

    /// Where other nodes connect.
    pub fn cluster_address(&self) -> SocketAddr {
        self.node.cluster_address()
    }

    /// Waits until an operator orders a planned stop.
    pub async fn drain_ordered(&self) {
        let _ = self.node.drain_ordered.recv().await;
    }

    /// A planned stop: requests under way are finished, new ones are refused
    /// at once, at the longest until the configured stop timeout.
    ///
    /// The listener goes on accepting until the last request is done: once it
    /// stopped, a new connection would hang unanswered in the kernel's queue.
    pub async fn stop(self) {
        self.node.stopping.store(true, Ordering::Release);
        self.node.with_core(|core, _| core.leave());
        let timeout = Duration::from_millis(self.node.settings.limits.stop_timeout_ms);
        let node = &self.node;
        let finish = async {
            node.wait_until_idle().await;
            self.callers.stop().await;
            node.wait_until_idle().await;
        };
        let give_up = async {
            Timer::after(timeout).await;
        };
        futures_lite::future::or(finish, give_up).await;
        for task in self.tasks {
            task.cancel().await;
        }
        slog::info!(node.log, "node stopped");
    }
}
