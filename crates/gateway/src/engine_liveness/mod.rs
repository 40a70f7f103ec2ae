//! Proof that an engine instance runs after the end of an answer.
//!
//! The connections of a process that ends are closed one after another, as regularly as at the end
//! of an answer; meanwhile its listener still accepts, and so may the next instance at the same
//! address. What proves that an instance runs is its answer to a probe that was sent after the end
//! was seen. All else (a refused or reset connection, no answer in time, another instance, an error
//! of this node) proves nothing.
//!
//! ```text
//! end seen ─▶ probe on a connection that was open before ─ closed ─▶ on the next one, at last on a new one
//!                └▶ answered by the instance: it runs
//! ```
//!
//! An answer that does not name its instance counts only on a connection that leads to it: one on
//! which the instance has answered before, or that was accepted before the request was sent whose
//! answer has ended.
//!
//! One probe of an engine is in flight at a time. An end that is seen meanwhile waits for the next
//! probe, together with all others ([`rounds`]).

mod probe;
mod rounds;

pub(crate) use probe::{ProbeOutcome, ProbeResult, ProbedEngine};
pub(crate) use rounds::EngineProbes;

use crate::state::Gateway;
use std::sync::Arc;
use std::time::Instant;

/// Probes an engine from now on; `request_sent_at` is the time of a request that it has answered.
/// Dropping the future leaves the probe to others that wait for it.
pub(crate) async fn probe_engine(
    gateway: &Arc<Gateway>,
    engine: &ProbedEngine,
    request_sent_at: Instant,
) -> ProbeResult {
    let round = rounds::join(gateway, engine, request_sent_at);
    round.result().await
}
