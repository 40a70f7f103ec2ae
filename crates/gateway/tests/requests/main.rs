//! One request through a gateway: what its caller is told, and what engines get.

mod answers;
mod app_engine;
mod cached_prompts;
mod not_run;
mod retries;
mod start;
mod streams;
#[path = "../support/mod.rs"]
mod support;
