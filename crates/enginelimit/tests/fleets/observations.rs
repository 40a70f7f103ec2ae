//! Which of two answers is newer.

use ploverlift_balancing::names::EngineTag;
use ploverlift_enginelimit::observation::{Observation, StandingLimit};
use ploverlift_policy::ids::Millis;

/// When the newest known answer was read, in milliseconds.
const OBSERVED_AT: u64 = 10_000;

/// The limit in force after an answer, where 4 a second was in force before.
fn after(limit: Option<f64>, sent_at: u64, head_at: u64) -> Option<f64> {
    let mut standing = StandingLimit {
        limit: Some(4.0),
        observed_at: Millis(OBSERVED_AT),
    };
    standing.apply(&Observation {
        engine: EngineTag(1),
        limit,
        sent_at: Millis(sent_at),
        head_at: Millis(head_at),
    });
    standing.limit
}

#[test]
fn a_lower_limit_applies_at_once_even_when_answers_are_reordered() {
    assert_eq!(after(Some(1.0), 9_000, OBSERVED_AT - 50), Some(1.0));
    assert_eq!(after(Some(0.0), 9_000, OBSERVED_AT + 50), Some(0.0));
    // This answer is certainly older.
    assert_eq!(after(Some(1.0), 9_000, OBSERVED_AT - 500), Some(4.0));
}

#[test]
fn a_higher_limit_or_none_applies_once_it_is_certainly_newer() {
    for higher in [Some(8.0), None] {
        // The request was sent after the newest answer was read.
        assert_eq!(after(higher, OBSERVED_AT, OBSERVED_AT + 10), higher);
        // Sent before, and read slightly later: the answers may have been reordered.
        assert_eq!(after(higher, 9_000, OBSERVED_AT + 10), Some(4.0));
        assert_eq!(after(higher, 9_000, OBSERVED_AT - 10), Some(4.0));
        // Sent before, and read so much later that no reordering is possible.
        assert_eq!(after(higher, 9_000, OBSERVED_AT + 300), higher);
    }
}
