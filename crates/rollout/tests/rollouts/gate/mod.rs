//! Tests of each rule of a node's gate.

mod canary_requests;
mod own_evidence;
mod shares;
mod stages;
