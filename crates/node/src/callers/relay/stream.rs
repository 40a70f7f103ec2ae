//! An engine's stream, piece by piece, to the caller.

use super::waiting::Waited;
use super::{CallerAnswer, Relay};
use crate::callers::body_channel::{body_channel, BodyChunk};
use crate::callers::events::{opening_comment, write_event, SseEvent, SseParser, DONE, KEEP_ALIVE};
use crate::callers::recorded_answer::RecordedAnswer;
use crate::callers::request::event_id;
use crate::engines::client::EngineAnswer;
use ploverlift_cluster::router::ChosenEngine;
use ploverlift_policy::attempt::AttemptState;
use ploverlift_policy::request::{Event, Step};

/// Size of one read from an engine, in bytes.
const READ_BYTES: usize = 2 * 1024;

impl Relay {
    /// Hands on a stream until it ends; returns the next step.
    pub(super) async fn read_stream(
        &mut self,
        mut answer: EngineAnswer,
        chosen: &ChosenEngine,
    ) -> Step {
        let mut parser = SseParser::default();
        let mut buffer = vec![0; READ_BYTES];
        let mut position = None;
        loop {
            let begun = self.body.is_some();
            let read = async { answer.body.read(&mut buffer).await };
            let bytes = match self.wait(read, begun).await {
                Waited::Ready(Ok(bytes)) if bytes > 0 => bytes,
                Waited::Ready(_) => return self.broken(chosen),
                Waited::DeadlinePassed if begun => return self.broken(chosen),
                Waited::DeadlinePassed => {
                    return self.on(Event::DeadlinePassed(AttemptState::Answered))
                }
                Waited::CallerGone => return Step::Wait,
            };
            let Ok(events) = parser.push(&buffer[..bytes]) else {
                return self.broken(chosen);
            };
            if events.is_empty() && !self.pass_on_sign_of_life().await {
                return Step::Wait;
            }
            if let Some(step) = self.deliver(events, &mut position, chosen).await {
                return step;
            }
        }
    }

    /// Tells a waiting caller that the engine is alive, and so finds out when
    /// the caller is gone; false then. An engine that sends comments all the
    /// time would otherwise hide it.
    async fn pass_on_sign_of_life(&mut self) -> bool {
        if self.claim.is_some() || self.body.is_none() {
            return true;
        }
        self.send(KEEP_ALIVE.to_vec()).await
    }

    /// Hands on the events of one read as one chunk. Returns the next step
    /// when the stream of this attempt has ended.
    async fn deliver(
        &mut self,
        events: Vec<SseEvent>,
        position: &mut Option<u64>,
        chosen: &ChosenEngine,
    ) -> Option<Step> {
        let mut chunk = Vec::new();
        let mut ending = None;
        for event in events {
            if event.event.as_deref() == Some("error") {
                ending = Some(self.broken(chosen));
                break;
            }
            if event.data == DONE {
                let end = numbered_position(&event);
                let step = self.on(Event::Completed(end));
                if step == Step::Finish {
                    let id = self.event_id(chosen, self.machine.next_position());
                    write_event(&mut chunk, &id, DONE);
                    self.record_stream(chosen);
                }
                ending = Some(step);
                break;
            }
            let at = piece_position(&event, position, self.machine.next_position());
            match self.on(Event::Piece(at)) {
                Step::Deliver => {
                    let id = self.event_id(chosen, at);
                    write_event(&mut chunk, &id, &event.data);
                    self.delivered.push(event.data);
                }
                Step::Skip => {}
                step => {
                    ending = Some(step);
                    break;
                }
            }
        }
        if !chunk.is_empty() && !self.send(chunk).await && self.claim.is_none() {
            return Some(Step::Wait);
        }
        ending
    }

    fn event_id(&self, chosen: &ChosenEngine, position: u64) -> String {
        let resume = self.request.headers.resume.as_ref();
        let request = resume.map_or(&self.request.headers.id, |point| &point.request);
        event_id(request, &chosen.name, position)
    }

    /// Records a whole stream with its claim.
    fn record_stream(&mut self, chosen: &ChosenEngine) {
        if self.claim.is_none() {
            return;
        }
        let mut body = Vec::new();
        for (position, data) in self.delivered.iter().enumerate() {
            let id = self.event_id(chosen, position as u64);
            write_event(&mut body, &id, data);
        }
        let id = self.event_id(chosen, self.machine.next_position());
        write_event(&mut body, &id, DONE);
        let recorded = RecordedAnswer {
            status: 200,
            content_type: "text/event-stream".to_owned(),
            body,
        };
        self.settle_claim(Some(&recorded));
    }

    /// Sends bytes to the caller; false when it has hung up. The answer's head
    /// goes out with the first bytes, so that until then a refusal can still
    /// have its own status.
    async fn send(&mut self, bytes: Vec<u8>) -> bool {
        if self.body.is_none() {
            let (sender, body) = body_channel();
            let opening = BodyChunk::Bytes(opening_comment());
            let opened = sender.send(opening).await.is_ok();
            let started = self.start.send(CallerAnswer::Stream(body)).await.is_ok();
            if !(opened && started) {
                return false;
            }
            self.body = Some(sender);
        }
        match &self.body {
            Some(sender) => sender.send(BodyChunk::Bytes(bytes)).await.is_ok(),
            None => false,
        }
    }
}

/// The position that the engine gave an event, when it numbers them.
fn numbered_position(event: &SseEvent) -> Option<u64> {
    event.id.as_deref()?.parse().ok()
}

/// The position of a piece: the engine's own numbering where it has one.
fn piece_position(event: &SseEvent, last: &mut Option<u64>, next: u64) -> u64 {
    let numbered = numbered_position(event);
    let counted = last.map_or(next, |last| last + 1);
    let position = numbered.unwrap_or(counted);
    *last = Some(position);
    position
}
