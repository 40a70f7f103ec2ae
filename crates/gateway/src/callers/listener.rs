//! Accepting callers.

use super::serve_connection;
use crate::state::Gateway;
use crate::time::sleep;
use smol::net::TcpListener;
use socket2::SockRef;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

/// Connections that the kernel holds until they are accepted. The default of
/// 128 makes callers of a burst wait a second for their next try.
const ACCEPT_QUEUE: i32 = 1_024;
/// Open connections of callers; more wait in the kernel's queue.
const MAX_CONNECTIONS: usize = 1_600;
/// Pause when no more connections can be had, in milliseconds.
const FULL_PAUSE_MS: u64 = 20;

/// Binds a listener.
///
/// # Errors
/// When the address cannot be had.
pub fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let listener = std::net::TcpListener::bind(address)?;
    SockRef::from(&listener).listen(ACCEPT_QUEUE)?;
    listener.set_nonblocking(true)?;
    TcpListener::try_from(listener)
}

/// Accepts callers until the task is dropped.
pub async fn accept_callers(gateway: Arc<Gateway>, listener: TcpListener) {
    let open = Arc::new(AtomicUsize::new(0));
    loop {
        if open.load(Ordering::Acquire) >= MAX_CONNECTIONS {
            sleep(FULL_PAUSE_MS).await;
            continue;
        }
        let Ok((stream, _)) = listener.accept().await else {
            // Out of descriptors: connections that end free some.
            sleep(FULL_PAUSE_MS).await;
            continue;
        };
        open.fetch_add(1, Ordering::AcqRel);
        let (gateway, open) = (Arc::clone(&gateway), Arc::clone(&open));
        smol::spawn(async move {
            let _ = stream.set_nodelay(true);
            serve_connection(gateway, stream).await;
            open.fetch_sub(1, Ordering::AcqRel);
        })
        .detach();
    }
}
