//! An engine whose process is killed: it runs nothing more, and the kernel closes its connections
//! one after another, as regularly as at the end of an answer.

use super::StandInEngine;
use ploverlift_gateway::time::sleep;
use std::sync::atomic::Ordering;
use std::time::Instant;

impl StandInEngine {
    /// Kills the engine. The connections on which it answers are closed first; the idle ones and
    /// the listener, which accepts until then, follow `later_ms` milliseconds later.
    pub async fn kill(&mut self, later_ms: u64) {
        self.stop_running().await;
        self.close_running();
        sleep(later_ms).await;
        self.end().await;
    }

    /// Runs nothing from now on. The kernel still accepts connections, and nothing answers on them.
    pub async fn stop_running(&mut self) {
        self.shared.is_killed.store(true, Ordering::Release);
        if let Some(accepting) = self.accepting.take() {
            accepting.cancel().await;
        }
    }

    /// Reads nothing more from the connections that are open now, as if they had been cut silently.
    pub fn forget_connections(&self) {
        *self.shared.forgets_before.lock().expect("forgets") = Some(Instant::now());
    }

    /// Number of liveness probes that were read.
    pub fn probes(&self) -> usize {
        self.shared.probes.load(Ordering::Acquire)
    }

    /// Sets the time until a liveness probe is answered, in milliseconds.
    pub fn delay_probes(&self, delay_ms: u64) {
        self.shared
            .probe_delay_ms
            .store(delay_ms, Ordering::Release);
    }
}
