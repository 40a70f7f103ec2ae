//! Which prompts are saved to the KV cache store.

use ploverlift_balancing::store_admission::{is_worth_saving, SaveCandidate, StoreFill};

fn is_saved(shared_tokens: u64, own_tokens: u64, stored_tokens: u64, kept_tokens: u64) -> bool {
    let candidate = SaveCandidate {
        shared_tokens,
        own_tokens,
        stored_tokens,
    };
    let fill = StoreFill {
        kept_tokens,
        capacity_tokens: 100_000,
    };
    is_worth_saving(candidate, fill)
}

#[test]
fn a_prompt_whose_own_part_is_small_is_saved_to_a_full_store() {
    assert!(is_saved(6_000, 2_000, 0, 100_000));
    assert!(!is_saved(6_000, 3_000, 0, 100_000));
}

#[test]
fn a_store_with_free_capacity_takes_larger_own_parts() {
    assert!(is_saved(6_000, 3_000, 0, 10_000));
    assert!(!is_saved(600, 3_000, 0, 10_000));
}

#[test]
fn only_what_the_store_lacks_counts() {
    assert!(!is_saved(6_000, 2_000, 5_000, 100_000));
    assert!(!is_saved(6_000, 0, 6_000, 0));
}
