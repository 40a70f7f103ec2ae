//! Framing and line endings of the simulated engine's answers.

use ploverlift_http1::{Framing, ResponseHead};

/// End of each line of an event stream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LineEnding {
    #[default]
    LineFeed,
    CarriageReturn,
    Both,
}

impl LineEnding {
    pub const ALL: [Self; 3] = [Self::LineFeed, Self::CarriageReturn, Self::Both];

    pub fn text(self) -> &'static str {
        match self {
            Self::LineFeed => "\n",
            Self::CarriageReturn => "\r",
            Self::Both => "\r\n",
        }
    }
}

/// Ids of a stream's events.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EventIds {
    /// 1, 2, 3 and so on.
    #[default]
    Numbers,
    /// Numbers that rise by more than one: events hold several tokens.
    Steps(u64),
    /// Letters; the engine can't find a position by them and sends the whole stream.
    Letters,
    /// Only every second event has one.
    EverySecond,
}

impl EventIds {
    fn line(self, number: u64, end: &str) -> String {
        match self {
            Self::Numbers => format!("id: {number}{end}"),
            Self::Steps(step) => format!("id: {}{end}", number * step),
            Self::Letters => format!("id: event-{}{end}", char::from(b'a' + number as u8)),
            Self::EverySecond if number % 2 == 1 => format!("id: {number}{end}"),
            Self::EverySecond => String::new(),
        }
    }

    /// Number of the event with this id; 0 if the engine knows none.
    pub fn number_of(self, id: &str) -> u64 {
        let number = id.parse::<u64>().unwrap_or(0);
        match self {
            Self::Steps(step) => number / step,
            Self::Numbers | Self::Letters | Self::EverySecond => number,
        }
    }
}

/// Format of an engine's answers.
#[derive(Clone, Copy, Debug)]
pub struct AnswerFormat {
    /// Framing of streams; other answers have a length unless they end with the connection.
    pub framing: Framing,
    pub line_ending: LineEnding,
    pub ids: EventIds,
}

impl Default for AnswerFormat {
    fn default() -> Self {
        Self {
            framing: Framing::Chunked,
            line_ending: LineEnding::default(),
            ids: EventIds::default(),
        }
    }
}

impl AnswerFormat {
    /// Answers that end with their connection.
    pub const UNFRAMED: Self = Self {
        framing: Framing::UntilClose,
        line_ending: LineEnding::LineFeed,
        ids: EventIds::Numbers,
    };

    pub fn is_unframed(self) -> bool {
        self.framing == Framing::UntilClose
    }

    /// Adds the headers of a stream's framing.
    pub fn frame_stream(self, head: &mut ResponseHead) {
        if !self.is_unframed() {
            head.headers.push("transfer-encoding", "chunked");
        }
    }

    /// Adds the headers of the framing of a body of this length.
    pub fn frame_body(self, head: &mut ResponseHead, length: usize) {
        if !self.is_unframed() {
            head.headers.push("content-length", length);
        }
    }

    /// A piece of a stream as it is sent.
    pub fn piece(self, text: &str) -> String {
        match self.is_unframed() {
            true => text.to_owned(),
            false => format!("{:x}\r\n{text}\r\n", text.len()),
        }
    }

    /// An event of a stream.
    pub fn event(self, number: u64) -> String {
        let end = self.line_ending.text();
        let id = self.ids.line(number, end);
        format!("{id}data: piece {number}{end}{end}")
    }

    /// What ends a complete stream.
    pub fn stream_end(self) -> &'static str {
        match self.is_unframed() {
            true => "",
            false => "0\r\n\r\n",
        }
    }
}

/// An event whose lines end like this.
pub fn format_event(number: u64, line_ending: LineEnding) -> String {
    let format = AnswerFormat {
        line_ending,
        ..AnswerFormat::default()
    };
    format.event(number)
}
