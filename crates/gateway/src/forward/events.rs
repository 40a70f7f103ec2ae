//! Splits an event stream (`text/event-stream`) into complete events.
//!
//! A line ends with a line feed, a carriage return, or both; an event ends with an empty line.

/// Field with the id of an event.
const ID_FIELD: &[u8] = b"id:";
/// Field with the data of an event.
const DATA_FIELD: &[u8] = b"data";
/// Byte-order mark that may precede a stream.
const BYTE_ORDER_MARK: &[u8] = b"\xef\xbb\xbf";
const LINE_FEED: u8 = b'\n';
const CARRIAGE_RETURN: u8 = b'\r';
/// First byte of a comment line.
const COMMENT: u8 = b':';

/// One complete event as the engine sent it, including the empty line that ends it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WholeEvent {
    /// The bytes of the event.
    pub bytes: Vec<u8>,
    /// The event's id, if it has one.
    pub id: Option<String>,
}

impl WholeEvent {
    /// Whether its place among the events of its stream is known: by a number, or because it
    /// holds no data.
    pub fn is_placed(&self) -> bool {
        match &self.id {
            Some(id) => id.parse::<u64>().is_ok(),
            None => {
                let mut lines = self
                    .bytes
                    .split(|byte| matches!(*byte, LINE_FEED | CARRIAGE_RETURN));
                !lines.any(|line| without_mark(line).starts_with(DATA_FIELD))
            }
        }
    }
}

/// Collects bytes until an event is complete. An incomplete event of a broken stream is
/// never forwarded, since another engine sends that event again.
#[derive(Debug, Default)]
pub struct EventSplitter {
    /// Bytes that have not been split off as events yet.
    pub pending: Vec<u8>,
    /// Whether the last event ended with a carriage return, which a line feed may follow.
    follows_carriage_return: bool,
}

impl EventSplitter {
    /// Splits off the first complete event of the pending bytes.
    pub fn next_event(&mut self) -> Option<WholeEvent> {
        let start = self.first_line_start();
        let length = Lines::from(&self.pending, start).find_map(|line| {
            let is_empty = line.start == line.end;
            is_empty.then_some(line.next)
        })?;
        let rest = self.pending.split_off(length);
        let bytes = std::mem::replace(&mut self.pending, rest);
        self.follows_carriage_return = bytes.ends_with(&[CARRIAGE_RETURN]);
        let id = event_id(&bytes);
        Some(WholeEvent { bytes, id })
    }

    /// Number of pending bytes if a stream that ends now ends inside an event; 0 if it ends
    /// between two events. Complete comment lines belong to no event.
    pub fn unfinished_bytes(&self) -> usize {
        let start = self.first_line_start();
        let mut complete = start;
        for line in Lines::from(&self.pending, start) {
            let is_comment = without_mark(&self.pending[line.start..line.end]).first();
            if is_comment != Some(&COMMENT) {
                break;
            }
            complete = line.next;
        }
        match without_mark(&self.pending[complete..]).is_empty() {
            true => 0,
            false => self.pending.len(),
        }
    }

    /// Where the first pending line starts, after the rest of the last event's line ending.
    fn first_line_start(&self) -> usize {
        let has_rest = self.follows_carriage_return && self.pending.first() == Some(&LINE_FEED);
        usize::from(has_rest)
    }
}

/// Positions of a complete line.
struct Line {
    start: usize,
    /// Position of its line ending.
    end: usize,
    /// Position after its line ending.
    next: usize,
}

/// The complete lines of some bytes.
struct Lines<'a> {
    bytes: &'a [u8],
    start: usize,
}

impl<'a> Lines<'a> {
    fn from(bytes: &'a [u8], start: usize) -> Self {
        Self { bytes, start }
    }
}

impl Iterator for Lines<'_> {
    type Item = Line;

    fn next(&mut self) -> Option<Line> {
        let start = self.start;
        let rest = &self.bytes[start..];
        let is_ending = |byte: &u8| matches!(*byte, LINE_FEED | CARRIAGE_RETURN);
        let end = start + rest.iter().position(is_ending)?;
        let is_pair = self.bytes[end..].starts_with(b"\r\n");
        self.start = end + 1 + usize::from(is_pair);
        Some(Line {
            start,
            end,
            next: self.start,
        })
    }
}

fn without_mark(bytes: &[u8]) -> &[u8] {
    bytes.strip_prefix(BYTE_ORDER_MARK).unwrap_or(bytes)
}

fn event_id(bytes: &[u8]) -> Option<String> {
    let lines = Lines::from(bytes, 0).map(|line| without_mark(&bytes[line.start..line.end]));
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
