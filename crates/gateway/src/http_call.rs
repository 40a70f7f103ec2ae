//! HTTP calls on a persistent connection, with a time-out and an error that shows whether
//! the call may have been carried out.

use crate::answer_limits::ANSWER_LIMITS;
use crate::held_body::HeldBody;
use crate::time::within;
use ploverlift_balancing::engine_paths::DirectFailure;
use ploverlift_bytebudget::share::Share;
use ploverlift_http1::error::malformed;
use ploverlift_http1::{read_response_head, BufferedStream, HttpError, RequestHead, ResponseHead};
use smol::net::TcpStream;
use snafu::Snafu;
use socket2::{SockRef, TcpKeepalive};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Liveness options of connections that this node opens, and of those to other nodes. On Linux
/// the time-out also decides when unanswered probes end a connection.
pub(crate) const SERVER_LIVENESS: PeerLiveness = PeerLiveness {
    keepalive: Duration::from_secs(1),
    probes: 3,
    timeout: Duration::from_millis(2_500),
};
/// Error codes of the local machine (`EMFILE`, `ENFILE`, `EADDRNOTAVAIL`, `ENOBUFS`,
/// `ENOMEM`), which are no evidence about the peer.
const LOCAL_ERRORS: [i32; 5] = [24, 23, 99, 105, 12];

/// When the kernel considers the peer of a connection to be gone.
#[derive(Clone, Copy, Debug)]
pub struct PeerLiveness {
    /// Idle time before the first keep-alive probe, and interval between two probes.
    pub keepalive: Duration,
    /// Number of unanswered keep-alive probes that end a connection.
    pub probes: u32,
    /// Time after which unacknowledged bytes or probes end a connection. Without it a
    /// connection to a machine that lost power hangs for minutes.
    pub timeout: Duration,
}

/// Why no connection could be opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectFailure {
    /// No answer: the attempt timed out, or the peer's host or network is unreachable.
    NoAnswer,
    /// The peer's machine refused the connection, so the machine is running.
    Refused,
    /// The peer accepted the connection and reset it at once: it runs, and admits no more.
    Rejected,
    /// This machine is out of descriptors, ports or memory.
    Local,
}

impl ConnectFailure {
    /// Classifies an error of opening a connection.
    pub fn of(error: &io::Error) -> Self {
        if error
            .raw_os_error()
            .is_some_and(|code| LOCAL_ERRORS.contains(&code))
        {
            return Self::Local;
        }
        match error.kind() {
            io::ErrorKind::TimedOut
            | io::ErrorKind::HostUnreachable
            | io::ErrorKind::NetworkUnreachable => Self::NoAnswer,
            io::ErrorKind::ConnectionReset
            | io::ErrorKind::ConnectionAborted
            | io::ErrorKind::BrokenPipe => Self::Rejected,
            _ => Self::Refused,
        }
    }

    /// What it shows of the path to the peer; `None` for a fault of this machine, and where the
    /// path works.
    pub fn of_path(self) -> Option<DirectFailure> {
        match self {
            Self::NoAnswer => Some(DirectFailure::NoAnswer),
            Self::Refused => Some(DirectFailure::Refused),
            Self::Rejected | Self::Local => None,
        }
    }

    /// Its name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoAnswer => DirectFailure::NoAnswer.name(),
            Self::Refused => DirectFailure::Refused.name(),
            Self::Rejected => "rejected",
            Self::Local => "local",
        }
    }
}

/// Why a call got no answer.
#[derive(Debug, Snafu)]
pub enum CallError {
    /// Nothing was sent.
    #[snafu(display("unreachable: {reason}"))]
    Unreachable {
        /// What happened.
        reason: String,
        /// Kind of failure.
        failure: ConnectFailure,
    },
    /// The call may have been carried out, or may still be.
    #[snafu(display("no answer: {reason}"))]
    NoAnswer {
        /// What happened.
        reason: String,
    },
}

/// A connection that is opened on demand and kept open between calls.
pub struct CallConnection {
    address: SocketAddr,
    /// Maximum size of an answer's body, in bytes.
    max_body_bytes: usize,
    /// Memory for answers that are being read.
    memory: Arc<Share>,
    stream: Option<BufferedStream>,
}

/// A complete answer: head and body.
pub type WholeAnswer = (ResponseHead, Vec<u8>);

impl CallError {
    /// Why no connection could be opened; `None` if there was a connection.
    pub fn connect_failure(&self) -> Option<ConnectFailure> {
        match self {
            Self::Unreachable { failure, .. } => Some(*failure),
            Self::NoAnswer { .. } => None,
        }
    }
}

impl CallConnection {
    /// A connection to `address`, not opened yet. An answer whose body is over `max_body_bytes`
    /// is none, and neither is one for which `memory` has no room.
    pub fn new(address: SocketAddr, max_body_bytes: usize, memory: Arc<Share>) -> Self {
        Self {
            address,
            max_body_bytes,
            memory,
            stream: None,
        }
    }

    /// Closes the connection; the next call opens a new one.
    pub fn reset(&mut self) {
        self.stream = None;
    }

    /// Whether the connection is open, as far as is known.
    pub fn is_open(&self) -> bool {
        self.stream.is_some()
    }

    /// Uses a connection that was opened elsewhere.
    pub fn use_stream(&mut self, stream: BufferedStream) {
        self.stream = Some(stream);
    }

    /// Opens the connection unless it is open, so that the next call needs no connection
    /// set-up.
    ///
    /// # Errors
    /// When no connection is established within `timeout_ms`.
    pub async fn open(&mut self, timeout_ms: u64) -> Result<(), CallError> {
        if self.stream.is_none() {
            self.stream = Some(connect(self.address, timeout_ms).await?);
        }
        Ok(())
    }

    /// Sends a call and reads the whole answer. Without an answer the connection is closed,
    /// so that a late answer cannot be taken for that of another call.
    ///
    /// # Errors
    /// When there is no answer within `timeout_ms`.
    pub async fn call(
        &mut self,
        mut head: RequestHead,
        body: &[u8],
        timeout_ms: u64,
    ) -> Result<WholeAnswer, CallError> {
        head.headers.set("Host", self.address);
        head.headers.set("Content-Length", body.len());
        let mut message = head.encode();
        message.extend_from_slice(body);
        let began = Instant::now();
        let mut stream = match self.stream.take() {
            Some(stream) => stream,
            None => connect(self.address, timeout_ms).await?,
        };
        // Connecting counts towards the time-out: otherwise a call could take twice its limit
        // and exceed its caller's bound.
        let passed_ms = began.elapsed().as_millis() as u64;
        let left_ms = timeout_ms.saturating_sub(passed_ms).max(1);
        let body = HeldBody::empty(&self.memory);
        let exchange = exchange(
            &mut stream,
            &head.method,
            &message,
            self.max_body_bytes,
            body,
        );
        let answered = within(left_ms, exchange).await;
        let (answer, is_kept) = match answered {
            None => return no_answer("timed out"),
            Some(Err(error)) => return no_answer(error.to_string()),
            Some(Ok(answered)) => answered,
        };
        if is_kept {
            self.stream = Some(stream);
        }
        Ok(answer)
    }
}

fn no_answer<T>(reason: impl Into<String>) -> Result<T, CallError> {
    Err(CallError::NoAnswer {
        reason: reason.into(),
    })
}

async fn exchange(
    stream: &mut BufferedStream,
    method: &str,
    message: &[u8],
    max_body_bytes: usize,
    mut body: HeldBody,
) -> Result<(WholeAnswer, bool), HttpError> {
    stream.write_all(message).await?;
    let head_bytes = ANSWER_LIMITS.head_bytes;
    let (head, mut decoder) = read_response_head(stream, method, head_bytes).await?;
    let too_large = || malformed(format!("the answer is over {max_body_bytes} bytes"));
    if decoder.declared_length().unwrap_or(0) > max_body_bytes as u64 {
        return Err(too_large());
    }
    while decoder.read(stream, body.buffer()).await? {
        let length = body.bytes().len();
        if length > max_body_bytes {
            return Err(too_large());
        }
        let no_memory = |_| malformed(format!("no memory is left for an answer of {length} bytes"));
        body.hold_buffer().map_err(no_memory)?;
    }
    let closes = head.headers.has_token("connection", "close");
    let is_kept = !closes && !decoder.ends_with_connection();
    Ok(((head, body.into_bytes()), is_kept))
}

/// Opens a connection that detects a peer that lost power.
///
/// # Errors
/// [`CallError::Unreachable`] when no connection is established in time.
pub async fn connect(address: SocketAddr, timeout_ms: u64) -> Result<BufferedStream, CallError> {
    let connecting = within(timeout_ms, TcpStream::connect(address)).await;
    let connected = connecting.ok_or_else(|| CallError::Unreachable {
        reason: "timed out".to_owned(),
        failure: ConnectFailure::NoAnswer,
    })?;
    let stream = connected.map_err(|error| CallError::Unreachable {
        reason: error.to_string(),
        failure: ConnectFailure::of(&error),
    })?;
    set_liveness_options(&stream, SERVER_LIVENESS);
    Ok(BufferedStream::new(stream))
}

/// Sets the socket options that end a connection whose peer disappeared without closing
/// it, `liveness.timeout` after the first byte or probe that was not acknowledged. A
/// failure to set one is ignored: the connection still works, but a lost peer is detected
/// later.
pub fn set_liveness_options(stream: &TcpStream, liveness: PeerLiveness) {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(liveness.keepalive)
        .with_interval(liveness.keepalive)
        .with_retries(liveness.probes);
    let _ = socket.set_tcp_nodelay(true);
    let _ = socket.set_tcp_keepalive(&keepalive);
    let _ = socket.set_tcp_user_timeout(Some(liveness.timeout));
}
