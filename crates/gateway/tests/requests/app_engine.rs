//! An engine of the plain service, which serves requests without prompts.

use crate::support::engine::{Behaviour, StandInEngine};

pub async fn app(behaviour: Behaviour) -> StandInEngine {
    StandInEngine::start("app-1", "app", behaviour).await
}
