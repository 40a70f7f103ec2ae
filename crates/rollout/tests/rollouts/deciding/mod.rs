//! Tests of each rule of the decider.

mod cut_overs;
mod orders;
mod roll_backs;
