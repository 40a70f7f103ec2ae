//! Splits an event stream (`text/event-stream`) into complete events.

/// Field with the id of an event.
const ID_FIELD: &[u8] = b"id:";

/// One complete event as the engine sent it, including the empty line that ends it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WholeEvent {
    /// The bytes of the event.
    pub bytes: Vec<u8>,
    /// The event's id, if it has one.
    pub id: Option<String>,
}

/// Collects bytes until an event is complete. An incomplete event of a broken stream is
/// never forwarded, since another engine sends that event again.
#[derive(Debug, Default)]
pub struct EventSplitter {
    /// Bytes that have not been split off as events yet.
    pub pending: Vec<u8>,
}

impl EventSplitter {
    /// Splits off the first complete event of the pending bytes.
    pub fn next_event(&mut self) -> Option<WholeEvent> {
        let length = event_length(&self.pending)?;
        let rest = self.pending.split_off(length);
        let bytes = std::mem::replace(&mut self.pending, rest);
        let id = event_id(&bytes);
        Some(WholeEvent { bytes, id })
    }
}

/// Length of the first event including the empty line that ends it.
fn event_length(bytes: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    for (index, byte) in bytes.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let line = &bytes[line_start..index];
        if line.is_empty() || line == b"\r" {
            return Some(index + 1);
        }
        line_start = index + 1;
    }
    None
}

fn event_id(bytes: &[u8]) -> Option<String> {
    let lines = bytes.split(|byte| *byte == b'\n');
    let mut ids = lines.filter_map(|line| line.strip_prefix(ID_FIELD));
    let id = ids.next()?;
    Some(String::from_utf8_lossy(id).trim().to_owned())
}

/// Whether an event follows another one by their ids. Ids that are not both numbers have no
/// order: any other id counts as following.
pub fn is_after(id: &str, last: &str) -> bool {
    match (id.parse::<u64>(), last.parse::<u64>()) {
        (Ok(id), Ok(last)) => id > last,
        _ => id != last,
    }
}
