//! A store that is restored from a copy and has lost later writes.

#[path = "../support/mod.rs"]
mod support;

mod fleets;
mod knowledge;
mod oracle;
mod orders;
