//! Engines that announce in their answers that they leave, or request backoff.

mod backoff;
mod leaving;
mod oracle;
#[path = "../support/mod.rs"]
mod support;
mod use_after_leaving;

pub use support::exclusive::run_exclusively;
