//! A sequential test that finds a change whenever it happens.
