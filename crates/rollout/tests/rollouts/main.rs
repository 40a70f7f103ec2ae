//! Tests of the rollout crate. `fleet` is a fleet in virtual time.

mod fleet;
mod whole;
