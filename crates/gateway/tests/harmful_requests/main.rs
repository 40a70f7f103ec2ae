//! One request must not end every engine that starts it.
//!
//! Without quarantine, one short request of one tenant caused 20 engine ends at a model
//! service with 18 engines within seconds, each a tenth of a second after the request was
//! sent to the engine. The caller got 502 each time and retried at another node; all other
//! requests at these engines were lost.
//! Each node judged each attempt on its own: its ledger was dropped with the request, nothing
//! was recorded by the request's fingerprint, and nodes did not check whether an engine had
//! ended or only a connection. The tests repeat this with running nodes, where each engine
//! that runs the request ends.

mod cut_requests;
mod fleets;
mod harmless;
mod relayed;
mod site;
#[path = "../support/mod.rs"]
mod support;
