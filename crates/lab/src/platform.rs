//! A stand-in for the platform's object API and machine list over HTTP.

use crate::platform_store::{ObjectTable, WriteError};
use futures_lite::AsyncReadExt;
use ploverlift_http1::target::decode_segment;
use ploverlift_node::callers::body_channel::{body_channel, BodyChunk};
use ploverlift_node::listener::{HttpListener, ListenerLimits};
use ploverlift_node::platform::client::API_ROOT;
use ploverlift_policy::objects::{Kind, Object};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use trillium::{Body, Conn, KnownHeaderName, Method, Status};

/// Largest number of connections.
const MAX_CONNECTIONS: usize = 4_096;
/// Largest request head, in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;

/// A fault of the stand-in, which lasts until another one is set.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlatformFault {
    /// Works normally.
    #[default]
    None,
    /// Refuses every call and ends every watch.
    Down,
    /// Answers every call two seconds late.
    Slow,
    /// Stores changes, then closes the connection without a reply.
    LoseReplies,
}

/// Delay of each reply under [`PlatformFault::Slow`].
const SLOW_DELAY: Duration = Duration::from_secs(2);

#[derive(Default)]
struct Platform {
    table: Mutex<ObjectTable>,
    fault: Mutex<PlatformFault>,
}

/// A running stand-in.
pub struct PlatformServer {
    listener: HttpListener,
    platform: Arc<Platform>,
}

impl PlatformServer {
    /// Starts the stand-in on `address`; versions begin after `first_version`.
    ///
    /// # Errors
    /// When the address cannot be bound.
    pub fn start(address: SocketAddr, first_version: u64) -> std::io::Result<Self> {
        let platform = Arc::new(Platform {
            table: Mutex::new(ObjectTable::starting_at(first_version)),
            fault: Mutex::default(),
        });
        let shared = Arc::clone(&platform);
        let handler = move |conn: Conn| handle(Arc::clone(&shared), conn);
        let limits = ListenerLimits {
            max_connections: MAX_CONNECTIONS,
            max_head_bytes: MAX_HEAD_BYTES,
        };
        let listener = HttpListener::start(address, limits, handler)?;
        Ok(Self { listener, platform })
    }

    /// Address of the listener.
    pub fn address(&self) -> SocketAddr {
        self.listener.address
    }

    /// Stores an object without a check of its version, for set-up.
    pub fn seed(&self, mut object: Object) {
        let mut table = self.platform.table();
        let stored = table.read(object.kind, &object.metadata.name);
        let version = stored.map(|known| known.metadata.resource_version);
        object.metadata.resource_version = version.unwrap_or_default();
        let _ = table.put(object);
    }

    /// Number of open watches.
    pub fn watchers(&self) -> usize {
        self.platform.table().watchers()
    }

    /// Sets the fault; [`PlatformFault::None`] ends it.
    pub fn set_fault(&self, fault: PlatformFault) {
        self.platform.set_fault(fault);
    }
}

impl Platform {
    fn table(&self) -> MutexGuard<'_, ObjectTable> {
        self.table
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn fault(&self) -> PlatformFault {
        self.fault.lock().map(|fault| *fault).unwrap_or_default()
    }

    fn set_fault(&self, fault: PlatformFault) {
        if let Ok(mut present) = self.fault.lock() {
            *present = fault;
        }
        if fault == PlatformFault::Down {
            self.table().drop_watchers();
        }
    }
}

async fn handle(platform: Arc<Platform>, mut conn: Conn) -> Conn {
    let mut body = Vec::new();
    if conn
        .request_body()
        .await
        .read_to_end(&mut body)
        .await
        .is_err()
    {
        return conn.with_status(Status::BadRequest).halt();
    }
    if conn.path() == "/lab/fault" {
        return set_fault(&platform, conn, &body);
    }
    match platform.fault() {
        PlatformFault::Down => return conn.with_status(Status::ServiceUnavailable).halt(),
        PlatformFault::Slow => {
            smol::Timer::after(SLOW_DELAY).await;
        }
        PlatformFault::None | PlatformFault::LoseReplies => {}
    }
    let changes = conn.method() != Method::Get;
    let conn = route(&platform, conn, &body);
    if changes && platform.fault() == PlatformFault::LoseReplies {
        return close_without_answer(conn);
    }
    conn
}

fn set_fault(platform: &Platform, conn: Conn, body: &[u8]) -> Conn {
    match serde_json::from_slice::<PlatformFault>(body) {
        Ok(fault) => {
            platform.set_fault(fault);
            conn.ok("set\n")
        }
        Err(error) => conn
            .with_status(Status::BadRequest)
            .with_body(error.to_string()),
    }
}

fn close_without_answer(conn: Conn) -> Conn {
    let (sender, body) = body_channel();
    let _ = sender.try_send(BodyChunk::Broken);
    conn.with_status(Status::Ok)
        .with_body(Body::new_streaming(body, None))
}

fn route(platform: &Platform, conn: Conn, body: &[u8]) -> Conn {
    let path = conn.path().to_owned();
    let Some(rest) = path.strip_prefix(API_ROOT) else {
        return conn.with_status(Status::NotFound).halt();
    };
    let rest = rest.trim_start_matches('/');
    let (plural, name) = rest.split_once('/').unwrap_or((rest, ""));
    let Some(name) = decode_segment(name) else {
        return conn.with_status(Status::BadRequest).halt();
    };
    let Some(kind) = Kind::parse(plural) else {
        return conn.with_status(Status::NotFound).halt();
    };
    let version = query_value(conn.querystring(), "resourceVersion");
    let watch = query_value(conn.querystring(), "watch") == Some(1);
    match (conn.method(), name.as_str()) {
        (Method::Get, "") if watch => open_watch(platform, conn, kind, version.unwrap_or(0)),
        (Method::Get, "") => answer(conn, &platform.table().list(kind)),
        (Method::Get, name) => match platform.table().read(kind, name) {
            Some(object) => answer(conn, object),
            None => conn.with_status(Status::NotFound).halt(),
        },
        (Method::Put, _) => put(platform, conn, body),
        (Method::Delete, name) => {
            let deleted = platform.table().delete(kind, name, version.unwrap_or(0));
            written(conn, deleted)
        }
        _ => conn.with_status(Status::MethodNotAllowed).halt(),
    }
}

fn query_value(query: &str, name: &str) -> Option<u64> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let (_, value) = pairs.find(|(key, _)| *key == name)?;
    value.parse().ok()
}

fn answer(conn: Conn, body: &impl Serialize) -> Conn {
    let text = serde_json::to_string(body).unwrap_or_default();
    conn.with_response_header(KnownHeaderName::ContentType, "application/json")
        .ok(text)
}

fn put(platform: &Platform, conn: Conn, body: &[u8]) -> Conn {
    match serde_json::from_slice::<Object>(body) {
        Ok(object) => {
            let stored = platform.table().put(object);
            written(conn, stored)
        }
        Err(error) => conn
            .with_status(Status::BadRequest)
            .with_body(error.to_string()),
    }
}

fn written(conn: Conn, outcome: Result<Object, WriteError>) -> Conn {
    match outcome {
        Ok(object) => answer(conn, &object),
        Err(WriteError::NotFound) => conn.with_status(Status::NotFound).halt(),
        Err(WriteError::Conflict { stored }) => conn
            .with_status(Status::Conflict)
            .with_body(format!("the stored version is {stored}")),
    }
}

fn open_watch(platform: &Platform, conn: Conn, kind: Kind, version: u64) -> Conn {
    let (sender, body) = body_channel();
    let _ = sender.try_send(BodyChunk::Bytes(flush_padding()));
    if platform.table().watch(kind, version, sender).is_err() {
        return conn.with_status(Status::Gone).halt();
    }
    conn.with_status(Status::Ok)
        .with_response_header(KnownHeaderName::ContentType, "application/json")
        .with_body(Body::new_streaming(body, None))
}

/// A blank line, long enough that the server sends it and the following events
/// without buffering.
fn flush_padding() -> Vec<u8> {
    let mut blank = vec![b' '; 1_024];
    blank.push(b'\n');
    blank
}
