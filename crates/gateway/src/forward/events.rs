//! Splits an event stream (`text/event-stream`) into complete events.
//!
//! A line ends with a line feed, a carriage return, or both; an event ends with an empty line.

use std::ops::Range;

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
/// never forwarded, since another engine sends that event again. Each byte is examined once,
/// however the bytes arrive.
#[derive(Debug, Default)]
pub struct EventSplitter {
    /// Received bytes: those of events that were split off, and then the pending ones.
    bytes: Vec<u8>,
    /// Start of the pending bytes.
    start: usize,
    /// End of the bytes that were searched for line endings.
    searched: usize,
    /// Start of the line that is being searched for its end.
    line_start: usize,
    /// Whether the byte before the searched ones' end is a carriage return, which a line feed may
    /// follow.
    follows_carriage_return: bool,
    /// The id that the pending event has so far.
    id: Option<String>,
    /// End of the complete comment lines before the first other line of the pending event.
    comments_end: usize,
    has_field: bool,
    examined_bytes: u64,
}

impl EventSplitter {
    /// The buffer to which received bytes are to be appended.
    pub fn buffer(&mut self) -> &mut Vec<u8> {
        self.bytes.drain(..self.start);
        self.searched -= self.start;
        self.line_start -= self.start;
        self.comments_end -= self.start;
        self.start = 0;
        &mut self.bytes
    }

    /// Number of bytes that were not split off as events yet.
    pub fn pending_bytes(&self) -> usize {
        self.bytes.len() - self.start
    }

    /// Number of bytes that were examined so far.
    pub fn examined_bytes(&self) -> u64 {
        self.examined_bytes
    }

    /// Takes the pending bytes, which belong to no complete event.
    pub fn take_rest(&mut self) -> Vec<u8> {
        let rest = self.bytes.split_off(self.start);
        *self = Self {
            examined_bytes: self.examined_bytes,
            ..Self::default()
        };
        rest
    }

    /// Splits off the first complete event of the pending bytes.
    pub fn next_event(&mut self) -> Option<WholeEvent> {
        loop {
            let end = self.next_line_ending()?;
            let line = self.line_start..end;
            let next = self.searched;
            self.line_start = next;
            if line.is_empty() {
                return Some(self.split_off(next));
            }
            self.note_line(line, next);
        }
    }

    /// Number of pending bytes if a stream that ends now ends inside an event; 0 if it ends
    /// between two events. Complete comment lines belong to no event.
    pub fn unfinished_bytes(&self) -> usize {
        let is_rest = self.follows_carriage_return && self.bytes[self.start..] == [LINE_FEED];
        let rest = without_mark(&self.bytes[self.comments_end..]);
        match is_rest || rest.is_empty() {
            true => 0,
            false => self.pending_bytes(),
        }
    }

    /// Position of the next line's ending, which has been searched then.
    fn next_line_ending(&mut self) -> Option<usize> {
        self.skip_line_feed();
        let rest = &self.bytes[self.searched..];
        let is_ending = |byte: &u8| matches!(*byte, LINE_FEED | CARRIAGE_RETURN);
        let found = rest.iter().position(is_ending);
        let examined = found.map_or(rest.len(), |position| position + 1);
        self.examined_bytes += examined as u64;
        self.searched += examined;
        let end = self.searched.checked_sub(1).filter(|_| found.is_some())?;
        self.follows_carriage_return = self.bytes[end] == CARRIAGE_RETURN;
        self.skip_line_feed();
        Some(end)
    }

    /// Skips the second half of a line ending.
    fn skip_line_feed(&mut self) {
        let Some(next) = self.bytes.get(self.searched) else {
            return;
        };
        let is_second_half = self.follows_carriage_return && *next == LINE_FEED;
        self.follows_carriage_return = false;
        if is_second_half {
            let is_before_line = self.line_start == self.searched;
            let is_before_field = self.comments_end == self.searched;
            self.searched += 1;
            self.examined_bytes += 1;
            if is_before_line {
                self.line_start = self.searched;
            }
            if is_before_field {
                self.comments_end = self.searched;
            }
        }
    }

    fn note_line(&mut self, line: Range<usize>, next: usize) {
        let text = without_mark(&self.bytes[line]);
        self.has_field |= text.first() != Some(&COMMENT);
        if !self.has_field {
            self.comments_end = next;
        }
        if let (None, Some(id)) = (&self.id, text.strip_prefix(ID_FIELD)) {
            self.id = Some(String::from_utf8_lossy(id).trim().to_owned());
        }
    }

    fn split_off(&mut self, end: usize) -> WholeEvent {
        let bytes = self.bytes[self.start..end].to_vec();
        self.start = end;
        self.comments_end = end;
        self.has_field = false;
        let id = self.id.take();
        WholeEvent { bytes, id }
    }
}

fn without_mark(bytes: &[u8]) -> &[u8] {
    bytes.strip_prefix(BYTE_ORDER_MARK).unwrap_or(bytes)
}

/// Whether an event follows another one by their ids. Ids that are not both numbers have no
/// order: any other id counts as following.
pub fn is_after(id: &str, last: &str) -> bool {
    match (id.parse::<u64>(), last.parse::<u64>()) {
        (Ok(id), Ok(last)) => id > last,
        _ => id != last,
    }
}
