//! A node with engines that pause within their answers.

use crate::support::caller::{self, Answer, Request};
use crate::support::engine::{Behaviour, Pause, PausePoint, StandInEngine};
use crate::support::{configuration, Fixture};

/// A pause that ends after the silence for which a stream waits, in milliseconds.
pub const LONG_PAUSE_MS: u64 = 1_800;

/// An engine that pauses before its third event.
pub fn pausing() -> Behaviour {
    pausing_at(PausePoint::Event(3))
}

/// An engine that pauses at this point of its answer.
pub fn pausing_at(at: PausePoint) -> Behaviour {
    Behaviour::Pause(Pause {
        at,
        length_ms: LONG_PAUSE_MS,
    })
}

/// A node with two model engines, of which the one that a request reaches first pauses.
pub struct PausingSite {
    pub engines: [StandInEngine; 2],
    pub fixture: Fixture,
}

impl PausingSite {
    /// Starts the site; `settings` are appended to the node's.
    pub async fn start(behaviour: Behaviour, settings: &str) -> Self {
        let engines = [
            StandInEngine::start("llm-1", "llm", behaviour.clone()).await,
            StandInEngine::start("llm-2", "llm", behaviour).await,
        ];
        let known = [&engines[0], &engines[1]];
        let fixture = Fixture::with(&known, configuration(1), settings).await;
        Self { engines, fixture }
    }

    /// Sends a request and waits until an engine has it.
    pub async fn ask(&self, request: Request) -> Asked<'_> {
        let address = self.fixture.running().callers;
        let answer = smol::spawn(async move { caller::send(address, &request).await });
        let [first, second] = &self.engines;
        let first_has_it = async {
            first.happened.recv().await.expect("the first engine");
            (first, second)
        };
        let second_has_it = async {
            second.happened.recv().await.expect("the second engine");
            (second, first)
        };
        let (home, other) = futures_lite::future::or(first_has_it, second_has_it).await;
        Asked {
            answer,
            home,
            other,
        }
    }

    /// Number of requests that the engines have read.
    pub fn arrivals(&self) -> usize {
        self.engines.iter().map(StandInEngine::arrivals).sum()
    }
}

/// A request that an engine has.
pub struct Asked<'a> {
    pub answer: smol::Task<Answer>,
    /// The engine that has the request.
    pub home: &'a StandInEngine,
    pub other: &'a StandInEngine,
}
