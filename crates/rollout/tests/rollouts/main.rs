//! Tests of the rollout crate. `fleet` simulates a fleet in virtual time.

mod counts;
mod deciding;
mod decision_case;
mod evidence;
mod fleet;
mod gate;
mod gate_case;
mod schedules;
mod stages;
mod versions;
mod whole_rollouts;
