//! Simulated fleets of nodes and limited engines in virtual time: they run the code of the
//! nodes over a network that delays and loses messages, and count independently what each
//! engine gets.

mod bounds;
mod changes;
mod faults;
mod observations;
mod tokens;
mod world;
