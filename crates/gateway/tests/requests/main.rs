//! One request through a gateway: what its caller is told, and what engines get.

mod app_engine;
mod kept_prompts;
mod meanings;
mod not_run;
mod repeats;
mod start;
mod streams;
#[path = "../support/mod.rs"]
mod support;
