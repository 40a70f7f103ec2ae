//! A response body that is fed through a channel, one chunk a message.

use async_channel::{Receiver, Sender};
use futures_lite::{AsyncRead, Stream};
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

/// Chunks that may wait for a slow caller before the relay waits too.
const QUEUED_CHUNKS: usize = 64;

/// The reading half: the body that the HTTP server sends.
pub struct ChannelBody {
    chunks: Pin<Box<Receiver<BodyChunk>>>,
    current: Vec<u8>,
    offset: usize,
}

/// One message to the body.
pub enum BodyChunk {
    /// Bytes for the caller.
    Bytes(Vec<u8>),
    /// The answer ends early: the connection is closed without its final chunk.
    Broken,
}

/// Makes both halves of a body.
pub fn body_channel() -> (Sender<BodyChunk>, ChannelBody) {
    let (sender, receiver) = async_channel::bounded(QUEUED_CHUNKS);
    let body = ChannelBody {
        chunks: Box::pin(receiver),
        current: Vec::new(),
        offset: 0,
    };
    (sender, body)
}

impl AsyncRead for ChannelBody {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let body = &mut *self;
        while body.offset == body.current.len() {
            match body.chunks.as_mut().poll_next(context) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(None) => return Poll::Ready(Ok(0)),
                Poll::Ready(Some(BodyChunk::Broken)) => {
                    return Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into()));
                }
                Poll::Ready(Some(BodyChunk::Bytes(bytes))) => {
                    body.current = bytes;
                    body.offset = 0;
                }
            }
        }
        let rest = &body.current[body.offset..];
        let count = rest.len().min(buffer.len());
        buffer[..count].copy_from_slice(&rest[..count]);
        body.offset += count;
        Poll::Ready(Ok(count))
    }
}
