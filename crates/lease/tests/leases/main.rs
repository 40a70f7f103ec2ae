//! Leases in a store that loses answers, applies writes late and loses recent writes.

mod holders;
mod schedules;
mod search;
mod tokens;
mod world;
