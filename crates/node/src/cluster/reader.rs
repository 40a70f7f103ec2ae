//! Reads messages of other nodes, and lets time pass for the core.

use super::transport::TCP_MESSAGE_TIMEOUT;
use crate::state::Node;
use futures_lite::{future, AsyncReadExt};
use ploverlift_wire::messages::Envelope;
use ploverlift_wire::{decode, parse_length_prefix, LENGTH_PREFIX_BYTES};
use smol::net::{TcpListener, TcpStream, UdpSocket};
use smol::Timer;
use std::sync::Arc;
use std::time::Duration;

/// Connections for large messages that are read at the same time.
const MAX_INCOMING: usize = 64;
/// Largest datagram that is read, in bytes.
const READ_BYTES: usize = 64 * 1024;

/// Reads datagrams until the task is dropped.
pub async fn read_datagrams(node: Arc<Node>, socket: Arc<UdpSocket>) {
    let mut buffer = vec![0; READ_BYTES];
    loop {
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        match decode(&buffer[..length]) {
            Ok(envelope) => node.with_core(|core, now| core.handle(from, envelope, now)),
            Err(error) => {
                slog::debug!(node.log, "datagram dropped"; "error" => error.to_string());
            }
        }
    }
}

/// Reads large messages until the task is dropped.
pub async fn read_streams(node: Arc<Node>, listener: Arc<TcpListener>) {
    let permits = Arc::new(smol::lock::Semaphore::new(MAX_INCOMING));
    loop {
        let permit = permits.acquire_arc().await;
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let node = Arc::clone(&node);
        smol::spawn(async move {
            let timeout = async {
                Timer::after(TCP_MESSAGE_TIMEOUT).await;
                None
            };
            if let Some(envelope) = future::or(read_message(stream), timeout).await {
                if let Ok(from) = envelope.reply_to.parse() {
                    node.with_core(|core, now| core.handle(from, envelope, now));
                }
            }
            drop(permit);
        })
        .detach();
    }
}

async fn read_message(mut stream: TcpStream) -> Option<Envelope> {
    let mut prefix = [0; LENGTH_PREFIX_BYTES];
    stream.read_exact(&mut prefix).await.ok()?;
    let length = parse_length_prefix(prefix).ok()?;
    let mut bytes = Vec::new();
    let mut limited = (&mut stream).take(length as u64);
    limited.read_to_end(&mut bytes).await.ok()?;
    if bytes.len() != length {
        return None;
    }
    decode(&bytes).ok()
}

/// Lets time pass for the core until the task is dropped.
pub async fn tick(node: Arc<Node>) {
    let period = Duration::from_millis(ploverlift_cluster::core::TICK_MS);
    loop {
        node.with_core(|core, now| core.tick(now));
        Timer::after(period).await;
    }
}
