//! One call on a kept connection, with a deadline and a truthful error.

use crate::time::within;
use ploverlift_http1::{read_response_head, BufferedStream, HttpError, RequestHead, ResponseHead};
use smol::net::TcpStream;
use snafu::Snafu;
use socket2::{SockRef, TcpKeepalive};
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Largest head of an answer, in bytes.
const MAX_HEAD_BYTES: usize = 32 * 1024;
/// Largest body of an answer, in bytes.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;
/// Bounds on connections that this node opens.
const SERVER_LIVENESS: PeerLiveness = PeerLiveness {
    keepalive: Duration::from_secs(1),
    probes: 3,
    timeout: Duration::from_millis(2_500),
};
/// Errors of this machine itself (`EMFILE`, `ENFILE`, `EADDRNOTAVAIL`, `ENOBUFS`,
/// `ENOMEM`), which say nothing about the peer.
const LOCAL_ERRORS: [i32; 5] = [24, 23, 99, 105, 12];

/// When the kernel takes the peer of a connection to be gone.
#[derive(Clone, Copy, Debug)]
pub struct PeerLiveness {
    /// Silence after which the kernel asks whether the peer still is there, and time
    /// between two questions.
    pub keepalive: Duration,
    /// Questions without an answer that end a connection.
    pub probes: u32,
    /// Time after which unanswered bytes or questions end a connection. Without it
    /// a connection to a machine without power hangs for minutes.
    pub timeout: Duration,
}

/// Why no connection came about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectFailure {
    /// Nobody answered: it timed out, or the peer's host or network is unreachable.
    NoAnswer,
    /// The peer's machine refused it or reset it, and so is there.
    Refused,
    /// This machine is out of descriptors, ports or memory.
    Local,
}

impl ConnectFailure {
    /// What an error of opening a connection says.
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
            _ => Self::Refused,
        }
    }
}

/// Why a call has no answer.
#[derive(Debug, Snafu)]
pub enum CallError {
    /// Nothing was sent.
    #[snafu(display("unreachable: {reason}"))]
    Unreachable {
        /// What happened.
        reason: String,
        /// What that says about the peer.
        failure: ConnectFailure,
    },
    /// The call may have been carried out, or may still be.
    #[snafu(display("no answer: {reason}"))]
    NoAnswer {
        /// What happened.
        reason: String,
    },
}

/// A connection that is opened when it is needed and kept between calls.
pub struct CallConnection {
    address: SocketAddr,
    stream: Option<BufferedStream>,
}

/// An answer, whole.
pub type WholeAnswer = (ResponseHead, Vec<u8>);

impl CallError {
    /// Why no connection came about, where none did.
    pub fn connect_failure(&self) -> Option<ConnectFailure> {
        match self {
            Self::Unreachable { failure, .. } => Some(*failure),
            Self::NoAnswer { .. } => None,
        }
    }
}

impl CallConnection {
    /// A connection to this address; nothing is opened yet.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            stream: None,
        }
    }

    /// Closes the connection; the next call opens another.
    pub fn reset(&mut self) {
        self.stream = None;
    }

    /// Opens the connection unless it is open, so that the next call is sent at once.
    ///
    /// # Errors
    /// When none comes about within `timeout_ms`.
    pub async fn open(&mut self, timeout_ms: u64) -> Result<(), CallError> {
        if self.stream.is_none() {
            self.stream = Some(connect(self.address, timeout_ms).await?);
        }
        Ok(())
    }

    /// Sends a call and reads the whole answer. Without an answer the
    /// connection is closed: what comes on it later belongs to no other call.
    ///
    /// # Errors
    /// When there is no answer within `timeout_ms`.
    pub async fn call(
        &mut self,
        mut head: RequestHead,
        body: &[u8],
        timeout_ms: u64,
    ) -> Result<WholeAnswer, CallError> {
        head.headers.set("Host", self.address.to_string());
        head.headers.set("Content-Length", body.len().to_string());
        let mut message = head.encode();
        message.extend_from_slice(body);
        let began = Instant::now();
        let mut stream = match self.stream.take() {
            Some(stream) => stream,
            None => connect(self.address, timeout_ms).await?,
        };
        // Connecting counts: a call that took twice its time would pass its caller's bound.
        let passed_ms = began.elapsed().as_millis() as u64;
        let left_ms = timeout_ms.saturating_sub(passed_ms).max(1);
        let exchange = exchange(&mut stream, &head.method, &message);
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
) -> Result<(WholeAnswer, bool), HttpError> {
    stream.write_all(message).await?;
    let (head, mut decoder) = read_response_head(stream, method, MAX_HEAD_BYTES).await?;
    let mut body = Vec::new();
    while decoder.read(stream, &mut body).await? {
        if body.len() > MAX_BODY_BYTES {
            return Err(ploverlift_http1::error::malformed(
                "the answer is too large",
            ));
        }
    }
    let closes = head.headers.has_token("connection", "close");
    let is_kept = !closes && !decoder.ends_with_connection();
    Ok(((head, body), is_kept))
}

/// Opens a connection that notices a peer without power.
///
/// # Errors
/// [`CallError::Unreachable`] when none comes about in time.
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

/// Sets the options that end a connection whose peer is gone without a word, so long
/// after the first byte or question that it left unanswered. A system that lacks one
/// of them still works, only slower.
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
