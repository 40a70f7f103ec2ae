//! Pauses of a sound engine within its answer.

use ploverlift_gateway::time::sleep;

/// Where in an answer the engine pauses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PausePoint {
    /// Before the head.
    Head,
    /// Before the event with this number. An answer that is not a stream has one event.
    Event(u64),
    /// After the last event, before the end of the answer.
    End,
}

/// A pause of a sound engine, which goes on after it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pause {
    pub at: PausePoint,
    pub length_ms: u64,
}

impl Pause {
    /// Pauses if the answer has reached the point of the pause.
    pub async fn wait_at(self, point: PausePoint) {
        if self.at == point {
            sleep(self.length_ms).await;
        }
    }
}
