//! Tests of the rollout crate. `fleet` is a fleet in virtual time.

mod counts;
mod deciding;
mod evidence;
mod fleet;
mod gate;
mod schedules;
mod stages;
mod versions;
mod whole;
