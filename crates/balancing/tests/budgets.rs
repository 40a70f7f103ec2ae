//! Retry budgets, the schedule of weights loads, and cache contents.

use ploverlift_balancing::cache_contents::{CacheContents, CacheEvent, CacheEvents};
use ploverlift_balancing::load_schedule::{loads_now, LoadPace};
use ploverlift_balancing::retry_budget::{RetryBudget, RetryLimits};
use ploverlift_policy::ids::Millis;
use ploverlift_routing::prompt::PromptPart;
use proptest::prelude::*;

const LIMITS: RetryLimits = RetryLimits {
    ratio: 0.16,
    reserve: 2.0,
    window_ms: 10_000,
};

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, ..ProptestConfig::default() })]

    /// Over any number of nodes and in every window, retries stay below the share of the
    /// requests in that window plus each node's reserve.
    #[test]
    fn repeats_of_all_nodes_stay_under_the_share(
        arrivals in prop::collection::vec((0usize..4, 0u64..400, any::<bool>()), 1..600),
    ) {
        let mut budgets = vec![RetryBudget::new(LIMITS); 4];
        let mut now = Millis(1_000_000);
        let mut requests = Vec::new();
        let mut repeats = Vec::new();
        for (node, pause, wants_repeat) in arrivals {
            now = now.plus(pause);
            budgets[node].record_request(now);
            requests.push(now);
            if wants_repeat && budgets[node].try_take(now) {
                repeats.push(now);
            }
        }
        for end in &repeats {
            let in_window = |times: &[Millis], window: u64| {
                times.iter().filter(|at| **at <= *end && end.since(**at) < window).count() as f64
            };
            // A slot of half a second may count slightly longer than the window.
            let allowed = 0.2 * in_window(&requests, 10_500) + 4.0 * LIMITS.reserve;
            prop_assert!(in_window(&repeats, 10_000) <= allowed);
        }
    }

    /// The schedule never loads more engines than it must, and never waits when waiting
    /// would miss a deadline.
    #[test]
    fn loads_begin_in_time_and_not_before(
        engines in 1usize..40,
        left_ms in 0u64..10_000,
        at_once in 1usize..4,
    ) {
        let now = Millis(1_000);
        let deadlines = vec![now.plus(left_ms); engines];
        let pace = LoadPace { load_ms: 600, at_once, at_once_limit: 8 };
        let count = loads_now(&deadlines, &pace, now);
        let needed_ms = engines.div_ceil(at_once) as u64 * 600;
        prop_assert_eq!(count == 0, needed_ms < left_ms);
        prop_assert!(count <= 8);
        if count > at_once {
            prop_assert!(engines.div_ceil(count - 1) as u64 * 600 > left_ms);
        }
    }
}

#[test]
fn one_late_engine_is_loaded_though_the_others_have_time() {
    let now = Millis(10_000);
    let pace = LoadPace {
        load_ms: 600,
        at_once: 2,
        at_once_limit: 4,
    };
    let all = [now.plus(8_000), now.plus(500), now.plus(8_000)];
    assert!(loads_now(&all, &pace, now) >= 2);
    assert_eq!(loads_now(&[], &pace, now), 0);
}

/// A batch of events, each with the salt, the part and the tokens cached from then on.
fn batch(epoch: u64, next: u64, events: &[(&str, u64, u64)]) -> CacheEvents {
    let events = events.iter().map(|(salt, part, kept_tokens)| CacheEvent {
        salt: (*salt).to_owned(),
        part: *part,
        kept_tokens: *kept_tokens,
    });
    CacheEvents {
        epoch,
        next,
        has_gap: false,
        events: events.collect(),
    }
}

fn part(id: u64) -> PromptPart {
    PromptPart { id, tokens: 100 }
}

#[test]
fn cache_contents_follow_events_and_begin_anew_with_an_epoch() {
    let mut contents = CacheContents::default();
    contents.apply(&batch(1, 2, &[("s", 7, 100), ("t", 8, 100)]));
    assert!(contents.has("s", &part(7)) && contents.has("t", &part(8)));
    assert!(!contents.has("t", &part(7)));
    contents.apply(&batch(1, 3, &[("s", 7, 0)]));
    assert!(!contents.has("s", &part(7)));
    assert_eq!(contents.next(), 3);
    contents.apply(&batch(2, 1, &[]));
    assert!(contents.is_empty());
    contents.apply(&batch(2, 2, &[("s", 7, 100)]));
    contents.note_kept("s", &part(9));
    assert!(contents.has("s", &part(9)) && contents.has("s", &part(7)));
    contents.forget();
    assert_eq!((contents.next(), contents.len()), (0, 0));
}

#[test]
fn a_part_that_is_kept_in_part_ends_the_kept_prefix() {
    let mut contents = CacheContents::default();
    let parts = [part(1), part(2), part(3)];
    contents.apply(&batch(1, 4, &[("s", 1, 96), ("s", 2, 100), ("s", 3, 100)]));
    // The last block of a part need not be full.
    assert_eq!(contents.prefix_tokens("s", &parts), 300);
    contents.apply(&batch(1, 5, &[("s", 2, 48)]));
    assert_eq!(contents.prefix_tokens("s", &parts), 100);
    assert!(contents.has("s", &part(3)));
}

#[test]
fn after_a_gap_nothing_from_before_is_believed() {
    let mut contents = CacheContents::default();
    contents.apply(&batch(1, 2, &[("s", 1, 100)]));
    let mut after_gap = batch(1, 90, &[("s", 2, 100)]);
    after_gap.has_gap = true;
    contents.apply(&after_gap);
    assert!(!contents.has("s", &part(1)) && contents.has("s", &part(2)));
}
