//! Forwarding of an engine's event stream to the caller.
//!
//! Only complete events are forwarded. A stream that ends inside an event is broken off, also
//! where the end is regular by its framing. When the stream breaks and may be resumed, another
//! engine continues after the last event that was forwarded, within the same answer. When its
//! engine is silent, another one may take it over.

use super::attempt::AttemptEnd;
use super::broken::BrokenAttempt;
use super::buffered_answer::forwarded_head;
use super::choice::ChosenEngine;
use super::engine_watch::EngineWatch;
use super::events::{is_after, EventSplitter, WholeEvent};
use super::in_flight::InFlight;
use super::start_deadline::StartDeadline;
use super::takeover::{Continuation, Takeover, Waited};
use super::{AfterAnswer, Forwarding};
use crate::answer_limits::ANSWER_LIMITS;
use crate::engine_connection::{EngineAnswer, FailureReason};
use crate::time::within_time_left;
use ploverlift_balancing::health::Outcome;
use ploverlift_bytebudget::share::Held;
use ploverlift_http1::error::malformed;
use ploverlift_http1::{Framing, HttpError};
use ploverlift_routing::prompt::part_keys;
use ploverlift_routing::topology::Distance;
use std::future::Future;
use std::io;
use std::pin::pin;

/// Longest KV cache transfer that is negligible beside the prefill, in milliseconds.
const NEGLIGIBLE_TRANSFER_MS: f64 = 12.0;

/// Size up to which an event needs no reservation, in bytes: usual events are forwarded whatever
/// others hold.
const USUAL_EVENT_BYTES: usize = 16 * 1_024;

/// The next part of a stream, or its end.
enum StreamStep {
    Events(Vec<u8>),
    /// The stream is whole; these bytes follow its last event.
    End(Vec<u8>),
    Broken(BrokenAttempt),
    TakenOver(Takeover<BrokenAttempt>),
}

/// What was read of a stream.
enum StreamRead {
    Event(WholeEvent),
    /// The body has ended regularly, with this many bytes after its last event.
    End {
        framing: Framing,
        unfinished_bytes: usize,
    },
}

/// Why no more of a stream was read.
enum ReadFailure {
    Answer(HttpError),
    /// The request's time is up.
    TimeIsUp,
    EngineLost,
    WeightsOutdated,
}

impl From<ReadFailure> for BrokenAttempt {
    fn from(failure: ReadFailure) -> Self {
        match failure {
            ReadFailure::Answer(error) => Self::in_answer(&error),
            ReadFailure::TimeIsUp => Self::timed_out("no event in time", true),
            ReadFailure::EngineLost => Self::due_to(&FailureReason::EngineLost, false),
            ReadFailure::WeightsOutdated => Self::due_to(&FailureReason::WeightsOutdated, false),
        }
    }
}

/// What may end the wait for more of a stream, apart from the stream itself.
struct StreamGuard {
    watch: EngineWatch,
    deadline: StartDeadline,
}

impl StreamGuard {
    /// Runs `reading`, which reads more of the stream within the time that the request has left.
    /// Before the first event, the request must not start on outdated weights.
    async fn read(
        &self,
        reading: impl Future<Output = Option<Result<StreamRead, HttpError>>>,
        is_first: bool,
    ) -> Result<StreamRead, ReadFailure> {
        let reading = pin!(self.watch.unless_lost(reading));
        let read = match is_first {
            true => self.deadline.unless_passed(reading).await,
            false => Some(reading.await),
        };
        match read {
            None => Err(ReadFailure::WeightsOutdated),
            Some(None) => Err(ReadFailure::EngineLost),
            Some(Some(None)) => Err(ReadFailure::TimeIsUp),
            Some(Some(Some(read))) => read.map_err(ReadFailure::Answer),
        }
    }
}

/// A stream that is being read.
struct EngineStream<'a> {
    answer: &'a mut EngineAnswer,
    splitter: &'a mut EventSplitter,
    /// Reservation for the bytes of a large event that is not complete.
    held: &'a mut Held,
    guard: &'a StreamGuard,
    /// Whether no event has been forwarded yet.
    is_first: bool,
}

impl Forwarding {
    /// Forwards a stream until it ends or breaks.
    pub(super) async fn forward_stream(
        &mut self,
        mut answer: EngineAnswer,
        chosen: &ChosenEngine,
        in_flight: &mut InFlight,
    ) -> io::Result<AttemptEnd> {
        let mut splitter = EventSplitter::default();
        let mut held = self.gateway.byte_budget.engine_answers.hold_none();
        let mut is_first = true;
        let guard = StreamGuard {
            watch: self.watch_engine(&chosen.instance),
            deadline: self.start_deadline(chosen),
        };
        loop {
            let stream = EngineStream {
                answer: &mut answer,
                splitter: &mut splitter,
                held: &mut held,
                guard: &guard,
                is_first,
            };
            match self.next_step(stream, chosen).await {
                StreamStep::Events(bytes) => {
                    guard.watch.record_activity();
                    if is_first {
                        is_first = false;
                        self.note_stream_origin(chosen);
                        let first_event_ms = in_flight.note_first_byte();
                        self.learn_prefill_rate(chosen, first_event_ms);
                        if let Some(wait) = in_flight.wait.take() {
                            wait.record_wait(first_event_ms);
                        }
                        self.note_prefilled(chosen);
                        self.note_saved(chosen);
                    }
                    let now = self.gateway.clock.now();
                    self.record.record_events(&self.received, now);
                    self.deliver(&answer, &bytes).await?;
                }
                StreamStep::End(rest) => {
                    in_flight.note_outcome(Outcome::Answered);
                    self.deliver(&answer, &rest).await?;
                    self.keep_connection(answer, chosen, in_flight.path);
                    let after = self.answer.finish_stream().await?;
                    self.note_stream_ended();
                    let outcome = "answered";
                    return Ok(AttemptEnd::Done { after, outcome });
                }
                StreamStep::Broken(broken) => {
                    in_flight.note_outcome(Outcome::Broken);
                    if broken.time_is_up() && self.answer.has_started() {
                        let after = AfterAnswer::Abort;
                        let outcome = "timed_out";
                        return Ok(AttemptEnd::Done { after, outcome });
                    }
                    return Ok(AttemptEnd::Broken(broken));
                }
                StreamStep::TakenOver(takeover) => {
                    self.note_let_go(in_flight);
                    return Ok(AttemptEnd::TakenOver(takeover));
                }
            }
        }
    }

    /// Learns the prefill rate from a request that did not wait in a queue, fetched next to
    /// nothing and stayed in its region.
    fn learn_prefill_rate(&self, chosen: &ChosenEngine, first_event_ms: u64) {
        let waited = chosen.cost.queue_ms > 0.0;
        let went_far = chosen.distance == Distance::OtherRegion;
        if waited || went_far || chosen.cost.transfer_ms > NEGLIGIBLE_TRANSFER_MS {
            return;
        }
        let service = &self.received.admission.service;
        let mut beliefs = self.gateway.beliefs();
        let rate = beliefs.prefill_rate(service);
        rate.observe(chosen.tokens_to_prefill, first_event_ms);
    }

    /// Records that the engine has the parts of the prompt in its cache after the prefill.
    fn note_prefilled(&self, chosen: &ChosenEngine) {
        let prompt = self.received.request.prompt.as_ref();
        if let (Some(cache), Some(prompt)) = (&chosen.cache, prompt) {
            let parts = part_keys(&cache.salt, prompt.shared_parts());
            let now = self.gateway.clock.now();
            let mut beliefs = self.gateway.beliefs();
            beliefs.holders.note_own(&parts, chosen.tag, now);
            if let Some(cache_contents) = beliefs.engine_caches.of_mut(chosen.tag) {
                for part in prompt.shared_parts() {
                    cache_contents.note_kept(&cache.salt, part);
                }
            }
        }
    }

    /// Records that the engine saves the prompt's parts to the requested store after the
    /// prefill. The store sends no event for a part that it already has.
    fn note_saved(&self, chosen: &ChosenEngine) {
        let Some(cache) = &chosen.cache else {
            return;
        };
        let prompt = self.received.request.prompt.as_ref();
        if let (Some(store), Some(prompt)) = (cache.save_to, prompt) {
            let mut beliefs = self.gateway.beliefs();
            let known_store = beliefs.cache_stores.of_mut(store);
            for part in prompt.shared_parts() {
                known_store.contents_mut().note_kept(&cache.salt, part);
            }
        }
    }

    /// Writes events to the caller; the head is sent together with the first ones.
    async fn deliver(&mut self, answer: &EngineAnswer, bytes: &[u8]) -> io::Result<()> {
        if self.answer.has_started() {
            if bytes.is_empty() {
                return Ok(());
            }
            return self.answer.write_chunk(bytes).await;
        }
        self.record.record_first_byte(&self.gateway, &self.received);
        self.answer
            .start_stream(forwarded_head(answer), bytes)
            .await
    }

    /// Reads until there are events to forward, or the stream ends, breaks or is taken over.
    async fn next_step(&mut self, stream: EngineStream<'_>, chosen: &ChosenEngine) -> StreamStep {
        let EngineStream {
            answer,
            splitter,
            held,
            guard,
            is_first,
        } = stream;
        loop {
            let events = self.take_events(splitter);
            if !events.is_empty() {
                return StreamStep::Events(events);
            }
            let left_ms = self.left_ms();
            let silence_ms = self.allowed_silence_ms(is_first);
            let waited = {
                let reading = pin!(read_event(answer, splitter, held));
                let reading = pin!(within_time_left(left_ms, reading));
                let reading = pin!(guard.read(reading, is_first));
                self.unless_taken_over(reading, silence_ms, chosen, continuation_of_read)
                    .await
            };
            match waited {
                Waited::Done(Ok(StreamRead::Event(event))) => {
                    let mut events = self.unsent_part(event);
                    events.append(&mut self.take_events(splitter));
                    if !events.is_empty() {
                        return StreamStep::Events(events);
                    }
                }
                Waited::Done(Ok(StreamRead::End {
                    unfinished_bytes, ..
                })) => {
                    let body_end = answer.body_end();
                    let end = self.check_answer_end(body_end, unfinished_bytes, chosen);
                    return match end.await {
                        Ok(()) => StreamStep::End(splitter.take_rest()),
                        Err(broken) => StreamStep::Broken(broken),
                    };
                }
                Waited::Unproven(_, successor) => {
                    let unfinished_bytes = splitter.unfinished_bytes();
                    let body_end = answer.body_end();
                    let end = self.conclude_unproven(successor, body_end, unfinished_bytes, chosen);
                    return match end.await {
                        Ok(()) => StreamStep::End(splitter.take_rest()),
                        Err(takeover) => StreamStep::TakenOver(takeover),
                    };
                }
                Waited::Done(Err(failure)) => {
                    let events = self.take_events(splitter);
                    if !events.is_empty() {
                        return StreamStep::Events(events);
                    }
                    let broken = self.note_cut_answer(answer.framing(), failure, chosen);
                    return StreamStep::Broken(broken);
                }
                Waited::TakenOver(takeover) => {
                    let framing = answer.framing();
                    let broken = |failure| self.note_cut_answer(framing, failure, chosen);
                    return StreamStep::TakenOver(takeover.map_failure(broken));
                }
            }
        }
    }

    /// Time without an event after which another engine is tried beside this one, in
    /// milliseconds; `None` when no other engine may go on.
    fn allowed_silence_ms(&self, is_first: bool) -> Option<u64> {
        let attempt_timeout_ms = self.attempt_timeout_ms()?;
        if !self.may_be_resumed() {
            return None;
        }
        match is_first {
            true => Some(attempt_timeout_ms),
            false => Some(self.gateway.settings().attempts.stream_silence_ms),
        }
    }

    /// Takes all complete events, except those that the caller already has.
    fn take_events(&mut self, splitter: &mut EventSplitter) -> Vec<u8> {
        let mut bytes = Vec::new();
        while let Some(event) = splitter.next_event() {
            bytes.append(&mut self.unsent_part(event));
        }
        bytes
    }

    /// The bytes of an event; none if the caller already has it.
    fn unsent_part(&mut self, event: WholeEvent) -> Vec<u8> {
        let is_placed = event.is_placed();
        if let Some(id) = event.id {
            let last = self.progress.last_event.as_deref();
            if last.is_some_and(|last| !is_after(&id, last)) {
                return Vec::new();
            }
            self.progress.last_event = Some(id);
        }
        self.progress.has_unplaced_events |= !is_placed;
        event.bytes
    }

    /// Whether another engine can go on after the events that the caller has. Only numbers prove
    /// which events of another engine follow.
    pub(super) fn may_be_resumed(&self) -> bool {
        !self.answer.has_started() || !self.progress.has_unplaced_events
    }
}

/// Reads up to the end of the next event. An engine that has sent part of one has not gone on
/// yet: it may have ended there.
async fn read_event(
    answer: &mut EngineAnswer,
    splitter: &mut EventSplitter,
    held: &mut Held,
) -> Result<StreamRead, HttpError> {
    loop {
        if let Some(event) = splitter.next_event() {
            held.shrink_to(0);
            return Ok(StreamRead::Event(event));
        }
        let limit = ANSWER_LIMITS.event_bytes;
        let pending = splitter.pending_bytes();
        if pending > limit {
            return Err(malformed(format!("an event is over {limit} bytes")));
        }
        if pending > USUAL_EVENT_BYTES && held.try_grow_to(pending as u64).is_err() {
            let reason = format!("no memory is left for an event of over {pending} bytes");
            return Err(malformed(reason));
        }
        if !answer.read(splitter.buffer()).await? {
            return Ok(StreamRead::End {
                framing: answer.framing(),
                unfinished_bytes: splitter.unfinished_bytes(),
            });
        }
    }
}

/// What a read means while another engine has been sent the request. Neither an end inside an
/// event nor the end of a connection alone proves a whole stream.
fn continuation_of_read(_: &Forwarding, read: &StreamRead) -> Continuation {
    match read {
        StreamRead::Event(_) => Continuation::Proven,
        StreamRead::End {
            framing: Framing::Length(_) | Framing::Chunked,
            unfinished_bytes: 0,
        } => Continuation::Proven,
        StreamRead::End { .. } => Continuation::Unproven,
    }
}
