//! Progressive delivery of an engine's software: moving a service's traffic to
//! engines of another version, and back when that version is bad.
//!
//! Pure state machines: time, counts and stored documents are arguments. The
//! gateway stores, reports and enforces what they decide.

pub mod order;
