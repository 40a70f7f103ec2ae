//! Rollouts of engines' software: a version that is ordered gets a small share, and
//! then everything or nothing, whatever fails halfway.

mod canary;
mod deciders;
mod late_starts;
mod store_faults;
#[path = "../support/mod.rs"]
mod support;
mod traffic;
mod verdicts;
mod versions;
