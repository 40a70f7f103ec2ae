//! Properties of fencing tokens.

use ploverlift_lease::token::NodeNumber;
use ploverlift_lease::FencingToken;
use ploverlift_policy::ids::{NodeName, StoreEra};
use proptest::prelude::*;
use std::collections::BTreeSet;

/// JSON parsers that read numbers as floating point represent integers exactly up to this
/// one.
const LARGEST_EXACT: u64 = 1 << 53;

fn number(name: &str) -> NodeNumber {
    NodeNumber::of(&NodeName(name.to_owned()))
}

proptest! {
    #[test]
    fn the_next_token_is_higher_for_every_node(known in 0..1u64 << 52, era in 0u64..600, name in "[a-z]{1,9}") {
        let known = FencingToken(known);
        let next = FencingToken::next(known, StoreEra(era), number(&name));
        let next = next.expect("a token is left");
        prop_assert!(next > known);
        prop_assert!(next.0 < LARGEST_EXACT);
        prop_assert_eq!(next.node(), Some(number(&name)));
    }
}

#[test]
fn the_first_token_of_an_era_is_above_all_tokens_of_the_previous_era() {
    let mut last = FencingToken::default();
    for _ in 0..60_000 {
        last = FencingToken::next(last, StoreEra(3), number("a")).expect("a token");
    }
    let next = FencingToken::next(FencingToken::default(), StoreEra(4), number("b"));
    assert!(next > Some(last));
}

#[test]
fn tokens_of_earlier_releases_are_below_all_others_and_name_no_node() {
    let earlier = FencingToken(70_000);
    assert_eq!(earlier.node(), None);
    let next = FencingToken::next(FencingToken::default(), StoreEra(0), number("a"));
    assert!(next > Some(earlier));
}

/// An earlier release adds one to the token that it reads when it takes over a lease.
#[test]
fn a_token_that_an_earlier_release_has_raised_is_below_the_next_one() {
    let own = FencingToken::next(FencingToken::default(), StoreEra(1), number("a"));
    let raised = FencingToken(own.expect("a token").0 + 1);
    let next = FencingToken::next(raised, StoreEra(1), number("a"));
    assert!(Some(raised) > own && next > Some(raised));
}

#[test]
fn no_token_is_left_when_terms_are_used_up() {
    let last = FencingToken(LARGEST_EXACT - 1);
    assert_eq!(FencingToken::next(last, StoreEra(1), number("a")), None);
}

#[test]
fn the_nodes_of_a_large_fleet_have_distinct_numbers() {
    let names = (0..985).map(|index| format!("front-viti-west-{index}"));
    let numbers: BTreeSet<NodeNumber> = names.map(|name| number(&name)).collect();
    assert_eq!(numbers.len(), 985);
}
