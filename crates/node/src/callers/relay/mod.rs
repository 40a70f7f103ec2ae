//! Drives one request's [`RequestMachine`]: performs its steps and reports
//! what came of them.
//!
//! | module | job |
//! | --- | --- |
//! | [`claim`] | the claim of a request that may run at most once |
//! | [`payload`] | what is sent to the back end |
//! | [`pool_share`] | counts the request against its tenant's share |
//! | [`stream`] | an engine's stream, piece by piece |
//! | [`waiting`] | waiting for a back end, a deadline and the caller at once |
//!
//! The relay is a task of its own, so an answer is read, recorded and
//! accounted for in one place. It ends when the caller hangs up; dropping the
//! engine's answer then closes that connection and frees the engine's slot.

mod claim;
mod payload;
mod pool_share;
mod stream;
mod waiting;

pub use payload::Payload;
pub use pool_share::PoolShare;

use crate::callers::body_channel::{BodyChunk, ChannelBody};
use crate::callers::events::write_error_event;
use crate::callers::recorded_answer::RecordedAnswer;
use crate::callers::reply::ErrorReply;
use crate::callers::request::RequestHeaders;
use crate::engines::client::{state_without_answer, CallFailure, EngineAnswer};
use crate::state::{count, Node};
use async_channel::Sender;
use claim::HeldClaim;
use futures_lite::future;
use ploverlift_cluster::core::LOOKUP_TIMEOUT_MS;
use ploverlift_cluster::router::{chains_of, ChosenEngine, RoutedRequest, VersionedChains};
use ploverlift_policy::admission::admit_by_deadline;
use ploverlift_policy::attempt::{AttemptState, RunState};
use ploverlift_policy::directory::PrefixMatch;
use ploverlift_policy::fleet::EngineKey;
use ploverlift_policy::ids::Millis;
use ploverlift_policy::objects::RouteSpec;
use ploverlift_policy::request::{Event, RequestMachine, Step};
use smol::Timer;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;
use trillium::Status;
use waiting::Waited;

/// A request that was admitted.
pub struct RelayRequest {
    /// What the decision needs.
    pub routed: RoutedRequest,
    /// The caller's headers.
    pub headers: RequestHeaders,
    /// What is sent on.
    pub payload: Payload,
    /// The request's part of its tenant's share of the pool.
    pub share: PoolShare,
}

/// What the caller gets.
pub enum CallerAnswer {
    /// A whole answer.
    Whole {
        /// HTTP status.
        status: Status,
        /// Content type.
        content_type: String,
        /// Body.
        body: Vec<u8>,
    },
    /// A stream of server-sent events.
    Stream(ChannelBody),
    /// A refusal.
    Refused(ErrorReply),
}

/// Starts the relay and waits for the beginning of the answer. Dropping the
/// future ends the relay.
pub async fn answer(node: Arc<Node>, request: RelayRequest) -> CallerAnswer {
    let (start, started) = async_channel::bounded(1);
    let relay = Relay::new(Arc::clone(&node), request, start);
    smol::spawn(relay.run()).detach();
    let lost = || {
        let message = "the request was dropped inside the router";
        let mut reply = ErrorReply::rejected(Status::InternalServerError, "internal", message);
        // The relay ended without a word: it may have sent the request.
        reply.body.run_state = RunState::Unknown;
        reply
    };
    let answer = started.recv().await;
    answer.unwrap_or_else(|_| CallerAnswer::Refused(lost()))
}

struct Relay {
    node: Arc<Node>,
    request: RelayRequest,
    route: RouteSpec,
    machine: RequestMachine,
    start: Sender<CallerAnswer>,
    body: Option<Sender<BodyChunk>>,
    failed: Vec<EngineKey>,
    attempts: u32,
    deadline: Millis,
    /// Data of the pieces that the caller has, for a continuation elsewhere.
    delivered: Vec<String>,
    claim: Option<HeldClaim>,
    replay: Option<RecordedAnswer>,
    _underway: Underway,
}

/// Counts a relay as under way on its node until it is dropped.
struct Underway {
    node: Arc<Node>,
}

impl Underway {
    fn start(node: &Arc<Node>) -> Self {
        count(&node.counters.in_flight);
        Self {
            node: Arc::clone(node),
        }
    }
}

impl Drop for Underway {
    fn drop(&mut self) {
        self.node.counters.in_flight.fetch_sub(1, Ordering::AcqRel);
        self.node.relay_ended.notify(usize::MAX);
    }
}

/// Counts a request as under way at an engine until it is dropped.
struct InFlight {
    node: Arc<Node>,
    engine: EngineKey,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.node.core().router.fleet.record_done(self.engine);
    }
}

impl Relay {
    fn new(node: Arc<Node>, request: RelayRequest, start: Sender<CallerAnswer>) -> Self {
        let route = request.routed.snapshot.routes[request.routed.route]
            .spec
            .clone();
        let deadline = node.clock.now().plus(route.deadline_ms);
        let marked = request.headers.idempotency_key.is_some();
        let resumes = request.headers.resume.is_some();
        let repeatable = route.repeatable && !marked && !resumes;
        let needs_claim = claim::key_of(&request, &route).is_some();
        let mut machine = RequestMachine::new(repeatable, needs_claim, deadline);
        if let Some(point) = &request.headers.resume {
            machine = machine.resume_at(point.next_position);
        }
        Self {
            _underway: Underway::start(&node),
            node,
            request,
            route,
            machine,
            start,
            body: None,
            failed: Vec::new(),
            attempts: 0,
            deadline,
            delivered: Vec::new(),
            claim: None,
            replay: None,
        }
    }

    async fn run(mut self) {
        let mut step = self.on(Event::Admitted);
        loop {
            step = match step {
                Step::Claim => self.claim().await,
                Step::Attempt { from } => self.attempt(from).await,
                Step::Finish => return self.finish(),
                Step::Replay => return self.replay().await,
                Step::Refuse(refusal) | Step::Abort(refusal) => {
                    return self.refuse(ErrorReply::from(refusal)).await
                }
                // The caller has hung up.
                Step::Wait | Step::Deliver | Step::Skip => return self.settle_claim(None),
            };
        }
    }

    fn on(&mut self, event: Event) -> Step {
        let now = self.node.clock.now();
        let mut core = self.node.core();
        self.machine.on(event, &mut core.router.retries, now)
    }

    async fn attempt(&mut self, from: u64) -> Step {
        self.attempts += 1;
        count(&self.node.counters.attempts);
        let Some(chosen) = self.choose().await else {
            return self.on(Event::NoEngine);
        };
        let _in_flight = InFlight {
            node: Arc::clone(&self.node),
            engine: chosen.key,
        };
        let remaining = self.deadline.since(self.node.clock.now());
        if from == 0 {
            if let Err(come_back) = admit_by_deadline(chosen.expected_ms, remaining) {
                return self.on(Event::Overloaded(come_back));
            }
        }
        let sent = Arc::new(AtomicBool::new(false));
        let call = self.call(&chosen, from);
        match self.wait(call.send(&sent), from > 0).await {
            Waited::Ready(Ok(answer)) => self.read(answer, &chosen).await,
            Waited::Ready(Err(failure)) => self.failed(&chosen, failure),
            Waited::DeadlinePassed if from > 0 => {
                self.failed.push(chosen.key);
                self.on(Event::AttemptFailed(state_without_answer(&sent), None))
            }
            Waited::DeadlinePassed => self.on(Event::DeadlinePassed(state_without_answer(&sent))),
            Waited::CallerGone => {
                self.note_lost_attempt(state_without_answer(&sent));
                Step::Wait
            }
        }
    }

    async fn choose(&self) -> Option<ChosenEngine> {
        if let Some(point) = &self.request.headers.resume {
            let mut core = self.node.core();
            return core
                .router
                .choose_named(&self.request.routed, &point.engine);
        }
        let routed = &self.request.routed;
        let weights = self.node.core().router.weights_of(routed);
        let chains = chains_of(routed, &weights);
        let remote = self.ask_directory(&chains).await;
        self.node.with_core(|core, now| {
            let mut random = core.random().fork();
            let (attempt, failed) = (self.attempts, &self.failed);
            let chosen = core.router.choose(
                routed,
                &chains,
                remote.as_deref(),
                attempt,
                failed,
                now,
                &mut random,
            )?;
            core.publish_placement(&chosen.chain, chosen.key, chosen.incarnation);
            Some(chosen)
        })
    }

    /// Asks the directory's shard; without a quick answer the node goes on
    /// with what it knows itself.
    async fn ask_directory(&self, chains: &VersionedChains) -> Option<Vec<PrefixMatch>> {
        let (_, chain) = chains.first()?;
        let waiting = self.node.with_core(|core, _| {
            let ticket = core.look_up(chain)?;
            Some((ticket, self.node.waiters.lookup(ticket)))
        });
        let Some((ticket, answer)) = waiting else {
            // This node has the shard itself, or knows a holder of everything.
            return Some(Vec::new());
        };
        let timeout = async {
            Timer::after(Duration::from_millis(LOOKUP_TIMEOUT_MS)).await;
            None
        };
        let found = future::or(async { answer.recv().await.ok() }, timeout).await;
        self.node.waiters.forget_lookup(ticket);
        found
    }

    fn failed(&mut self, chosen: &ChosenEngine, failure: CallFailure) -> Step {
        slog::info!(self.node.log, "attempt failed";
            "request_id" => self.request.headers.id.as_str(),
            "engine" => chosen.name.as_str(),
            "state" => format!("{:?}", failure.state),
            "reason" => failure.reason);
        match failure.correction {
            Some(correction) => self.node.with_core(|core, now| {
                let (incarnation, weights) = (correction.incarnation, correction.weights);
                core.apply_engine_correction(chosen.key, incarnation, weights, now);
            }),
            None => self.failed.push(chosen.key),
        }
        self.on(Event::AttemptFailed(failure.state, failure.come_back))
    }

    async fn read(&mut self, answer: EngineAnswer, chosen: &ChosenEngine) -> Step {
        if answer.status.is_server_error() {
            self.failed.push(chosen.key);
            return self.on(Event::AttemptFailed(AttemptState::Answered, None));
        }
        self.on(Event::Head);
        if answer.content_type.starts_with("text/event-stream") {
            self.read_stream(answer, chosen).await
        } else {
            self.read_whole(answer, chosen).await
        }
    }

    async fn read_whole(&mut self, mut answer: EngineAnswer, chosen: &ChosenEngine) -> Step {
        match self.wait(answer.read_whole(), false).await {
            Waited::Ready(Ok(body)) => {
                let step = self.on(Event::Completed(None));
                let recorded = RecordedAnswer {
                    status: answer.status as u16,
                    content_type: answer.content_type.clone(),
                    body,
                };
                self.settle_claim(Some(&recorded));
                self.give_whole(recorded).await;
                step
            }
            Waited::Ready(Err(_)) => self.broken(chosen),
            Waited::DeadlinePassed => self.on(Event::DeadlinePassed(AttemptState::Answered)),
            Waited::CallerGone => Step::Wait,
        }
    }

    async fn give_whole(&self, answer: RecordedAnswer) {
        let whole = CallerAnswer::Whole {
            status: Status::try_from(answer.status).unwrap_or(Status::Ok),
            content_type: answer.content_type,
            body: answer.body,
        };
        let _ = self.start.send(whole).await;
    }

    fn broken(&mut self, chosen: &ChosenEngine) -> Step {
        slog::info!(self.node.log, "answer broke off";
            "request_id" => self.request.headers.id.as_str(),
            "engine" => chosen.name.as_str(),
            "position" => self.machine.next_position());
        self.failed.push(chosen.key);
        self.on(Event::StreamBroken)
    }

    async fn refuse(mut self, reply: ErrorReply) {
        slog::info!(self.node.log, "request refused";
            "request_id" => self.request.headers.id.as_str(),
            "reason" => reply.body.error.r#type,
            "run_state" => format!("{:?}", reply.body.run_state));
        self.settle_claim(None);
        let Some(body) = &self.body else {
            count(&self.node.counters.refused);
            let _ = self.start.send(CallerAnswer::Refused(reply)).await;
            return;
        };
        count(&self.node.counters.aborted);
        let mut chunk = Vec::new();
        write_error_event(&mut chunk, &reply.json());
        let _ = body.send(BodyChunk::Bytes(chunk)).await;
        let _ = body.send(BodyChunk::Broken).await;
    }

    fn finish(self) {
        count(&self.node.counters.completed);
        slog::info!(self.node.log, "request completed";
            "request_id" => self.request.headers.id.as_str(),
            "configuration_version" => self.request.routed.snapshot.version.0,
            "pieces" => self.machine.next_position(),
            "attempts" => self.attempts);
    }

    async fn replay(mut self) {
        count(&self.node.counters.replayed);
        if let Some(answer) = self.replay.take() {
            self.give_whole(answer).await;
        }
    }
}
