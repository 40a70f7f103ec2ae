//! Rejected entries of the store are logged within bounds.

use ploverlift_gateway::ports::{InvalidDocument, StoreKind};
use ploverlift_gateway::store::rejected_entries::{
    RejectedEntries, RejectionLine, LOG_PERIOD_MS, MAX_LOGGED_ENTRIES,
};
use ploverlift_policy::ids::Millis;

const NOW: Millis = Millis(1_000);

fn invalid(document: &str, reason: &str) -> InvalidDocument {
    InvalidDocument {
        document: document.to_owned(),
        reason: reason.to_owned(),
    }
}

// Guards against an entry that is logged each time the list is read, and one that never is again.
#[test]
fn an_entry_is_logged_once_in_a_period_for_each_reason() {
    let mut rejected = RejectedEntries::default();
    let (kind, other) = (StoreKind::Engines, StoreKind::Rollouts);
    let first = invalid("engine 'a'", "odd");
    assert_eq!(rejected.note(kind, &first, NOW), RejectionLine::Entry);
    assert_eq!(rejected.note(kind, &first, NOW), RejectionLine::None);
    assert_eq!(rejected.note(other, &first, NOW), RejectionLine::Entry);
    let again = invalid("engine 'a'", "odd in another way");
    assert_eq!(rejected.note(kind, &again, NOW), RejectionLine::Entry);
    let later = NOW.plus(LOG_PERIOD_MS);
    assert_eq!(rejected.note(kind, &first, later), RejectionLine::Entry);
}

// Guards against a log that thousands of entries fill.
#[test]
fn thousands_of_entries_are_logged_within_a_bound() {
    let mut rejected = RejectedEntries::default();
    let lines: Vec<RejectionLine> = (0..5_000)
        .map(|number| {
            rejected.note(
                StoreKind::Engines,
                &invalid(&number.to_string(), "odd"),
                NOW,
            )
        })
        .collect();
    let count = |wanted| lines.iter().filter(|line| **line == wanted).count();
    assert_eq!(count(RejectionLine::Entry), MAX_LOGGED_ENTRIES);
    assert_eq!(count(RejectionLine::Limit), 1);
}
