//! Messages on real connections.

use ploverlift_http1::BufferedStream;
use smol::io::AsyncWriteExt;
use smol::net::{TcpListener, TcpStream};

/// Maximum length of a head, in bytes.
pub const LIMIT: usize = 4 * 1024;

/// A stream on which the peer has sent these bytes and then closed the connection.
pub async fn stream_with(bytes: &[u8]) -> BufferedStream {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address");
    let mut peer = TcpStream::connect(address).await.expect("connect");
    let (stream, _) = listener.accept().await.expect("accept");
    peer.write_all(bytes).await.expect("write");
    drop(peer);
    BufferedStream::new(stream)
}
