//! Rollouts of engine software: an ordered version gets a small share of the requests, and
//! then all or none of them, whatever fails during the rollout.

mod canary;
mod deciders;
mod late_starts;
mod store_faults;
#[path = "../support/mod.rs"]
mod support;
mod traffic;
mod verdicts;
mod versions;
