//! Splitting of event streams that end anywhere.

use ploverlift_gateway::forward::EventSplitter;
use proptest::prelude::*;

/// One block of a stream: an event, or comment lines alone.
#[derive(Clone, Debug)]
struct Block {
    lines: Vec<String>,
    line_ending: &'static str,
}

impl Block {
    fn text(&self) -> String {
        let lines = self.lines.iter();
        let lines = lines.map(|line| format!("{line}{}", self.line_ending));
        lines.chain([self.line_ending.to_owned()]).collect()
    }
}

fn line() -> impl Strategy<Value = String> {
    prop_oneof![
        "id: [0-9]{1,3}",
        "data: [a-z ]{0,12}",
        "event: [a-z]{1,4}",
        "retry: [0-9]{1,3}",
    ]
}

fn block() -> impl Strategy<Value = Block> {
    let line_ending = prop_oneof![Just("\n"), Just("\r"), Just("\r\n")];
    (prop::collection::vec(line(), 1..4), line_ending)
        .prop_map(|(lines, line_ending)| Block { lines, line_ending })
}

/// Feeds bytes in pieces; returns the events' bytes and the number of unfinished bytes.
fn split(bytes: &[u8], piece_bytes: usize) -> (Vec<u8>, usize) {
    let mut splitter = EventSplitter::default();
    let mut events = Vec::new();
    for piece in bytes.chunks(piece_bytes) {
        splitter.buffer().extend_from_slice(piece);
        while let Some(event) = splitter.next_event() {
            events.extend_from_slice(&event.bytes);
        }
    }
    (events, splitter.unfinished_bytes())
}

proptest! {
    // Guards against an incomplete event being forwarded or taken for the end of a stream.
    #[test]
    fn only_whole_events_are_split_off_wherever_a_stream_is_cut(
        blocks in prop::collection::vec(block(), 1..6),
        has_mark in any::<bool>(),
        cut in any::<prop::sample::Index>(),
        piece_bytes in 1_usize..40,
    ) {
        let mark = if has_mark { "\u{feff}" } else { "" };
        let mut text = mark.to_owned();
        // Positions at which a stream may end.
        let mut borders = vec![0, text.len()];
        for block in &blocks {
            text.push_str(&block.text());
            if block.line_ending == "\r\n" {
                borders.push(text.len() - 1);
            }
            borders.push(text.len());
        }
        let cut = cut.index(text.len() + 1);
        let (events, unfinished) = split(&text.as_bytes()[..cut], piece_bytes);
        let whole = borders.iter().filter(|border| **border <= cut).max();
        let whole = *whole.expect("the start is a border");
        prop_assert_eq!(unfinished == 0, whole == cut, "cut at {}", cut);
        prop_assert!(events.len() <= whole);
        // What follows the last event is at most the rest of its line ending, or the mark.
        prop_assert!(whole - events.len() <= mark.len().max(1));
        prop_assert_eq!(&events[..], &text.as_bytes()[..events.len()]);
    }
}

/// Feeds bytes in pieces of these sizes, again and again. Returns each event's id and text, the
/// number of unfinished bytes and the number of bytes that were examined.
fn split_in_pieces(bytes: &[u8], sizes: &[usize]) -> (Vec<SplitEvent>, usize, u64) {
    let mut splitter = EventSplitter::default();
    let mut events = Vec::new();
    let mut left = bytes;
    for size in sizes.iter().cycle() {
        let (piece, rest) = left.split_at((*size).min(left.len()));
        splitter.buffer().extend_from_slice(piece);
        left = rest;
        while let Some(event) = splitter.next_event() {
            let text = String::from_utf8(event.bytes).expect("text");
            // A line feed after a carriage return may come with the next event.
            events.push((event.id, text.trim_matches(['\r', '\n']).to_owned()));
        }
        if left.is_empty() {
            break;
        }
    }
    let unfinished = splitter.unfinished_bytes();
    (events, unfinished, splitter.examined_bytes())
}

/// An event's id and text.
type SplitEvent = (Option<String>, String);

proptest! {
    // Guards against events that depend on how their bytes arrive, and against work that grows
    // with the square of their length.
    #[test]
    fn events_and_the_work_for_them_do_not_depend_on_how_bytes_arrive(
        pieces in prop::collection::vec(
            prop_oneof![Just("\n"), Just("\r"), Just("\r\n"), Just(":"), Just("id: 7"),
                Just("id:"), Just("data: x"), Just("\u{feff}"), Just("xxxxxxxxxxxxxxxxxxxx")],
            0..60,
        ),
        sizes in prop::collection::vec(1_usize..30, 1..8),
    ) {
        let text = pieces.concat();
        let whole = split_in_pieces(text.as_bytes(), &[text.len().max(1)]);
        let split = split_in_pieces(text.as_bytes(), &sizes);
        prop_assert_eq!(&split.0, &whole.0);
        prop_assert_eq!(split.1 == 0, whole.1 == 0, "{} and {}", split.1, whole.1);
        prop_assert!(split.2 <= text.len() as u64, "{} of {}", split.2, text.len());
    }
}

// Guards against a search of the whole pending bytes after each piece.
#[test]
fn sixteen_megabytes_without_a_line_end_are_examined_once() {
    let bytes = vec![b'x'; 16 * 1024 * 1024];
    let (events, unfinished, examined) = split_in_pieces(&bytes, &[4_096]);
    assert!(events.is_empty());
    assert_eq!(unfinished, bytes.len());
    assert_eq!(examined, bytes.len() as u64);
}

#[test]
fn comment_lines_after_the_last_event_are_not_unfinished() {
    for (rest, is_unfinished) in [
        ("", false),
        (": bye\n", false),
        (": bye\r", false),
        (": bye\r\n: again\r\n", false),
        (": by", true),
        (": bye\ndata: x\n", true),
        ("data: x\n: bye\n", true),
        ("data", true),
    ] {
        let text = format!("data: 1\n\n{rest}");
        let (events, unfinished) = split(text.as_bytes(), 5);
        assert_eq!(events, b"data: 1\n\n", "{rest:?}");
        assert_eq!(unfinished > 0, is_unfinished, "{rest:?}");
    }
}

#[test]
fn an_id_is_read_after_a_byte_order_mark_and_with_any_line_ending() {
    for line_ending in ["\n", "\r", "\r\n"] {
        let mut splitter = EventSplitter::default();
        let text = format!("\u{feff}id: 7{line_ending}data: x{line_ending}{line_ending}");
        splitter.buffer().extend_from_slice(text.as_bytes());
        let event = splitter.next_event().expect("an event");
        assert_eq!(event.id.as_deref(), Some("7"), "{line_ending:?}");
    }
}
