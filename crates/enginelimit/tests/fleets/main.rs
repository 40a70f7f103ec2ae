//! Fleets of nodes and limited engines in virtual time: the code of the nodes, a network that
//! delays and loses, and an oracle that counts by itself what each engine gets.

mod bounds;
mod changes;
mod faults;
mod observations;
mod tokens;
mod world;
