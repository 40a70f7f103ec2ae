//! The end of an engine's answer: how it was found, and what was left unfinished there.

use super::Forwarding;
use ploverlift_http1::Framing;

impl Forwarding {
    /// Records that the body of an engine's answer has ended regularly. `unfinished_bytes` are
    /// those after the last complete event of a stream.
    pub(super) fn note_answer_end(&mut self, framing: Framing, unfinished_bytes: usize) {
        self.record.record_answer_end(framing, unfinished_bytes);
        let end = match unfinished_bytes {
            0 => "whole",
            _ => "inside_event",
        };
        self.gateway.metrics.answers.count_end(framing, end);
    }
}
