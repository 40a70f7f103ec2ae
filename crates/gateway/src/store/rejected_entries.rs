//! Stored entries that can't be used: each is counted whenever it is read, and logged once in a
//! while. Another writer may keep any number of them, of any size.

use crate::metrics::StoredKindLabel;
use crate::ports::{InvalidDocument, StoreError, StoreKind};
use crate::state::Gateway;
use ploverlift_policy::ids::Millis;
use std::collections::HashSet;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Maximum number of rejected entries that are logged in one period.
pub const MAX_LOGGED_ENTRIES: usize = 64;
/// Time after which entries that still stand are logged again, in milliseconds.
pub const LOG_PERIOD_MS: u64 = 600_000;
/// Maximum length of each logged text, in characters.
const MAX_LOGGED_CHARS: usize = 160;

/// How a rejected entry is logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectionLine {
    /// With a line of its own.
    Entry,
    /// With a line that says that further entries are not logged.
    Limit,
    /// Not at all: it has been logged, or too many have.
    None,
}

/// The entries that were logged in the present period.
#[derive(Clone, Debug, Default)]
pub struct RejectedEntries {
    logged: HashSet<u64>,
    is_limit_logged: bool,
    period_began: Option<Millis>,
}

impl RejectedEntries {
    /// Records that an entry was rejected; returns how to log that. An entry that is rejected for
    /// another reason than before is logged again.
    pub fn note(
        &mut self,
        kind: StoreKind,
        invalid: &InvalidDocument,
        now: Millis,
    ) -> RejectionLine {
        let began = *self.period_began.get_or_insert(now);
        if now.since(began) >= LOG_PERIOD_MS {
            *self = Self {
                period_began: Some(now),
                ..Self::default()
            };
        }
        let reason = xxh3_64_with_seed(invalid.reason.as_bytes(), kind as u64);
        let entry = xxh3_64_with_seed(invalid.document.as_bytes(), reason);
        if self.logged.contains(&entry) {
            return RejectionLine::None;
        }
        if self.logged.len() < MAX_LOGGED_ENTRIES {
            self.logged.insert(entry);
            return RejectionLine::Entry;
        }
        match std::mem::replace(&mut self.is_limit_logged, true) {
            false => RejectionLine::Limit,
            true => RejectionLine::None,
        }
    }
}

/// Counts and logs an entry that was rejected.
pub(crate) fn note_rejected(gateway: &Gateway, kind: StoreKind, invalid: &InvalidDocument) {
    let label = StoredKindLabel { kind: kind.name() };
    gateway.metrics.rejected_entries.get_or_create(&label).inc();
    log_within_bounds(gateway, kind, invalid, "stored entry rejected");
}

/// Counts and logs a list that could not be read to its end, as rarely as an entry.
pub(crate) fn note_incomplete_list(gateway: &Gateway, kind: StoreKind, error: &StoreError) {
    let label = StoredKindLabel { kind: kind.name() };
    gateway.metrics.incomplete_lists.get_or_create(&label).inc();
    let list = InvalidDocument {
        document: "list".to_owned(),
        reason: error.to_string(),
    };
    let message = "list of stored objects can't be read to its end";
    log_within_bounds(gateway, kind, &list, message);
}

fn log_within_bounds(
    gateway: &Gateway,
    kind: StoreKind,
    invalid: &InvalidDocument,
    message: &'static str,
) {
    let now = gateway.clock.now();
    let line = gateway.rejected_entries().note(kind, invalid, now);
    match line {
        RejectionLine::Entry => {
            slog::warn!(gateway.log, "{}", message;
                "kind" => kind.name(), "entry" => shortened(&invalid.document),
                "error" => shortened(&invalid.reason));
        }
        RejectionLine::Limit => {
            slog::warn!(gateway.log, "further rejected entries are counted only";
                "kind" => kind.name(), "logged" => MAX_LOGGED_ENTRIES);
        }
        RejectionLine::None => {}
    }
}

fn shortened(text: &str) -> String {
    text.chars().take(MAX_LOGGED_CHARS).collect()
}
