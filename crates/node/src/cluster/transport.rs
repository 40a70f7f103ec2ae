//! Messages between nodes over UDP and TCP on the same port.
//!
//! A message within one datagram goes over UDP; a larger one over a TCP
//! connection of its own. Nothing is repeated here: the state machines repeat
//! what must arrive.

use futures_lite::{future, AsyncWriteExt};
use ploverlift_wire::messages::Envelope;
use ploverlift_wire::{encode, length_prefix, MAX_DATAGRAM_BYTES};
use smol::net::{TcpListener, TcpStream, UdpSocket};
use smol::Timer;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Tries to find a port that is free for both protocols.
const BIND_TRIES: usize = 16;
/// Longest time for one message over TCP.
pub(super) const TCP_MESSAGE_TIMEOUT: Duration = Duration::from_secs(5);

/// The sockets of one node.
pub struct ClusterTransport {
    address: SocketAddr,
    udp: Arc<UdpSocket>,
    sender: std::net::UdpSocket,
    tcp: Arc<TcpListener>,
}

impl ClusterTransport {
    /// Binds both protocols to one port.
    ///
    /// # Errors
    /// When the address cannot be bound.
    pub fn bind(address: SocketAddr) -> io::Result<Self> {
        let mut last_error = io::Error::other("no port was tried");
        for _ in 0..BIND_TRIES {
            match Self::bind_once(address) {
                Ok(transport) => return Ok(transport),
                Err(error) if address.port() == 0 => last_error = error,
                Err(error) => return Err(error),
            }
        }
        Err(last_error)
    }

    fn bind_once(address: SocketAddr) -> io::Result<Self> {
        let tcp = std::net::TcpListener::bind(address)?;
        tcp.set_nonblocking(true)?;
        let address = tcp.local_addr()?;
        let udp = std::net::UdpSocket::bind(address)?;
        udp.set_nonblocking(true)?;
        let sender = udp.try_clone()?;
        Ok(Self {
            address,
            udp: Arc::new(UdpSocket::try_from(udp)?),
            sender,
            tcp: Arc::new(TcpListener::try_from(tcp)?),
        })
    }

    /// The bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a message without waiting; returns its size in bytes.
    pub fn send(&self, to: SocketAddr, mut envelope: Envelope) -> usize {
        let bytes = encode(&envelope);
        if bytes.len() <= MAX_DATAGRAM_BYTES {
            // A full socket buffer drops the message, as the network may.
            let _ = self.sender.send_to(&bytes, to);
            return bytes.len();
        }
        envelope.reply_to = self.address.to_string();
        let bytes = encode(&envelope);
        let length = bytes.len();
        smol::spawn(send_over_tcp(to, bytes)).detach();
        length
    }

    /// The sockets to read from.
    pub fn readers(&self) -> (Arc<UdpSocket>, Arc<TcpListener>) {
        (Arc::clone(&self.udp), Arc::clone(&self.tcp))
    }
}

async fn send_over_tcp(to: SocketAddr, bytes: Vec<u8>) {
    let send = async {
        let mut stream = TcpStream::connect(to).await?;
        stream.write_all(&length_prefix(bytes.len())).await?;
        stream.write_all(&bytes).await?;
        stream.close().await
    };
    let timeout = async {
        Timer::after(TCP_MESSAGE_TIMEOUT).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    // A lost message is repeated by the state machine that needs it.
    let _: io::Result<()> = future::or(send, timeout).await;
}
