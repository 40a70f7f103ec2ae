//! One part of a prompt must not end every engine that begins an answer on it.
//!
//! Requests of one tenant shared a part of their prompts and nothing else. Each ended the
//! engine that ran it, 34 engines in all. The quarantine recorded each request as a new one,
//! since its fingerprint covers the whole body, and none was ever recorded three times. The
//! tests repeat this with running nodes, where each engine that runs a request with the part
//! ends and is back after a while.

mod fleets;
mod harmless;
mod messages;
mod site;
#[path = "../support/mod.rs"]
mod support;
