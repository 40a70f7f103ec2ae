//! Server-sent events: parsing those of an engine and writing those for a caller.

/// One event of an engine's stream.
#[derive(Clone, Debug, PartialEq, Eq, Default)]
pub struct SseEvent {
    /// The `id:` line, when there is one.
    pub id: Option<String>,
    /// The `event:` line, when there is one.
    pub event: Option<String>,
    /// The `data:` lines, joined by line feeds.
    pub data: String,
}

/// The data of the event that ends a whole answer.
pub const DONE: &str = "[DONE]";

/// Largest event that is accepted from an engine, in bytes.
pub const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Shortest first chunk that the HTTP server hands on at once instead of
/// keeping it in the buffer of the response head, in bytes.
const FIRST_CHUNK_BYTES: usize = 512;

/// Cuts a byte stream into events.
#[derive(Debug, Default)]
pub struct SseParser {
    buffer: Vec<u8>,
}

/// An event was larger than [`MAX_EVENT_BYTES`].
#[derive(Debug, PartialEq, Eq)]
pub struct EventTooLarge;

impl SseParser {
    /// Adds bytes that were read and returns every event that is now whole.
    ///
    /// # Errors
    /// When an event without an end exceeds the size limit.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<SseEvent>, EventTooLarge> {
        self.buffer.extend_from_slice(bytes);
        let mut events = Vec::new();
        let mut start = 0;
        while let Some((end, next)) = event_end(&self.buffer, start) {
            if let Some(event) = parse_event(&self.buffer[start..end]) {
                events.push(event);
            }
            start = next;
        }
        self.buffer.drain(..start);
        if self.buffer.len() > MAX_EVENT_BYTES {
            return Err(EventTooLarge);
        }
        Ok(events)
    }
}

fn event_end(buffer: &[u8], start: usize) -> Option<(usize, usize)> {
    let rest = &buffer[start..];
    let position = rest.windows(2).position(|pair| pair == b"\n\n")?;
    Some((start + position, start + position + 2))
}

fn parse_event(block: &[u8]) -> Option<SseEvent> {
    let text = String::from_utf8_lossy(block);
    let mut event = SseEvent::default();
    let mut has_data = false;
    for line in text.lines() {
        let (field, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match field {
            "id" => event.id = Some(value.to_owned()),
            "event" => event.event = Some(value.to_owned()),
            "data" => {
                if has_data {
                    event.data.push('\n');
                }
                event.data.push_str(value);
                has_data = true;
            }
            _ => {}
        }
    }
    has_data.then_some(event)
}

/// Writes one event.
pub fn write_event(output: &mut Vec<u8>, id: &str, data: &str) {
    output.extend_from_slice(b"id: ");
    output.extend_from_slice(id.as_bytes());
    output.extend_from_slice(b"\ndata: ");
    output.extend_from_slice(data.as_bytes());
    output.extend_from_slice(b"\n\n");
}

/// Writes a typed error event, the last one of a stream that ends early.
pub fn write_error_event(output: &mut Vec<u8>, json: &str) {
    output.extend_from_slice(b"event: error\ndata: ");
    output.extend_from_slice(json.as_bytes());
    output.extend_from_slice(b"\n\n");
}

/// A comment large enough that the server sends it, and everything after it, at once.
pub fn opening_comment() -> Vec<u8> {
    let mut comment = vec![b' '; FIRST_CHUNK_BYTES];
    comment[0] = b':';
    comment.extend_from_slice(b"\n\n");
    comment
}

/// A comment that shows that the connection is alive and finds out when it is not.
pub const KEEP_ALIVE: &[u8] = b": waiting\n\n";
