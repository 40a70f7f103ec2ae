//! Sound engines that are silent for a while: their answers still reach the callers whole.
//!
//! An attempt whose engine is silent ends only once another engine has taken the request over.

mod answers;
mod late_rejections;
mod lost_engines;
mod records;
mod site;
mod streams;
#[path = "../support/mod.rs"]
mod support;
mod takeovers;
