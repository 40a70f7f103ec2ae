//! Requests and a planned stop of this node: which ones are still accepted, and how those that
//! still run when the stop has to end are answered.

use super::admission::{refuse_not_run, Admission};
use super::{AfterAnswer, Forwarding, TimeLimits};
use crate::ports::{CallerRequest, Refusal};
use crate::state::Gateway;
use crate::stream_sources::present::is_resumable;
use ploverlift_balancing::stop_window::ExpectedDuration;
use std::io;
use std::pin::pin;
use std::sync::Arc;

/// Checks whether a request that arrives during a planned stop can end within it.
///
/// # Errors
/// 503 when, as far as is known, it would have to be broken off.
pub fn check_stop(
    gateway: &Gateway,
    request: &CallerRequest,
    admission: &Admission,
    limits: &TimeLimits,
) -> Result<(), Refusal> {
    let Some(window) = gateway.planned_stop.window() else {
        return Ok(());
    };
    let now = gateway.clock.now();
    let (route, service) = (&admission.route, &admission.service);
    let predicted_ms = gateway
        .beliefs()
        .route_durations
        .predicted_ms(route, service);
    let expected = ExpectedDuration {
        limit_ms: limits.left_ms(now),
        predicted_ms,
        is_resumable: request.prompt.is_some() && is_resumable(route),
    };
    if window.accepts(&expected, now) {
        return Ok(());
    }
    let predicted_ms = predicted_ms.unwrap_or(expected.limit_ms);
    Err(refuse_not_run(&format!(
        "this node stops in {} ms, and requests of this route take up to {predicted_ms} ms; ask \
         another",
        window.left_ms(now)
    )))
}

impl Forwarding {
    /// Forwards the request until it is answered, or a planned stop has to conclude it.
    pub(super) async fn run_until_stop(&mut self) -> io::Result<AfterAnswer> {
        let gateway = Arc::clone(&self.gateway);
        let concluded = {
            let running = pin!(self.run());
            gateway.planned_stop.unless_concluding(running).await
        };
        match concluded {
            Some(answered) => answered,
            None => self.conclude().await,
        }
    }

    /// Gives up a request whose attempt was dropped, which cancels it at its engine. The engine may
    /// have run it.
    async fn conclude(&mut self) -> io::Result<AfterAnswer> {
        self.progress.time_is_up = true;
        "this node stops".clone_into(&mut self.progress.reason);
        self.give_up().await
    }
}
