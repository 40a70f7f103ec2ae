//! How requests that still run when a planned stop of this node has to end are answered.

use super::{AfterAnswer, Forwarding};
use std::io;
use std::sync::Arc;

impl Forwarding {
    /// Forwards the request until it is answered, or a planned stop has to conclude it.
    pub(super) async fn run_until_stop(&mut self) -> io::Result<AfterAnswer> {
        let gateway = Arc::clone(&self.gateway);
        let concluded = gateway.planned_stop.unless_concluding(self.run()).await;
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
