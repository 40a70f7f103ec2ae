//! Probes that several ends of answers share.

use super::probe::{probe, ProbeResult, ProbedEngine};
use crate::state::Gateway;
use event_listener::Event;
use ploverlift_balancing::catalogue::InstanceId;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Instant;

/// The engines of which a probe is in flight or about to be sent, with the round that is next.
#[derive(Default)]
pub(crate) struct EngineProbes {
    next: Mutex<HashMap<InstanceId, NextRound>>,
}

/// A probe that has not been sent yet.
#[derive(Default)]
struct NextRound {
    round: Arc<Round>,
    /// The latest time of a request that the engine has answered; `None` while no end waits.
    request_sent_at: Option<Instant>,
}

/// One probe and those that wait for it.
#[derive(Default)]
pub(super) struct Round {
    result: OnceLock<ProbeResult>,
    ended: Event,
}

impl Round {
    /// Waits for the result.
    pub(super) async fn result(&self) -> ProbeResult {
        loop {
            let ended = self.ended.listen();
            if let Some(result) = self.result.get() {
                return *result;
            }
            ended.await;
        }
    }

    fn end(&self, result: ProbeResult) {
        let _ = self.result.set(result);
        self.ended.notify(usize::MAX);
    }
}

impl EngineProbes {
    fn lock(&self) -> MutexGuard<'_, HashMap<InstanceId, NextRound>> {
        self.next.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Begins the next round; `None` if no end waits for it.
    fn begin_round(&self, instance: &InstanceId) -> Option<(Arc<Round>, Instant)> {
        let mut next = self.lock();
        let waiting = next.insert(instance.clone(), NextRound::default());
        let begun = waiting.and_then(|waiting| Some((waiting.round, waiting.request_sent_at?)));
        if begun.is_none() {
            next.remove(instance);
        }
        begun
    }
}

/// Joins the next probe of an engine.
pub(super) fn join(
    gateway: &Arc<Gateway>,
    engine: &ProbedEngine,
    request_sent_at: Instant,
) -> Arc<Round> {
    let mut next = gateway.engine_probes.lock();
    let is_first = !next.contains_key(&engine.instance);
    let joined = next.entry(engine.instance.clone()).or_default();
    joined.request_sent_at = joined.request_sent_at.max(Some(request_sent_at));
    let round = Arc::clone(&joined.round);
    drop(next);
    if is_first {
        smol::spawn(run(Arc::clone(gateway), engine.clone())).detach();
    }
    round
}

/// Probes an engine, one round after the other, until no end waits for its next probe.
async fn run(gateway: Arc<Gateway>, engine: ProbedEngine) {
    while let Some((round, request_sent_at)) = gateway.engine_probes.begin_round(&engine.instance) {
        round.end(probe(&gateway, &engine, request_sent_at).await);
    }
}
