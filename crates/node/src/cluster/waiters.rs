//! Tasks that wait for something the core will say, by ticket.

use async_channel::{Receiver, Sender};
use ploverlift_cluster::claim_proposer::{ClaimOutcome, Ticket};
use ploverlift_cluster::core::CoreEvent;
use ploverlift_policy::directory::PrefixMatch;
use std::collections::HashMap;
use std::sync::Mutex;

/// All waiting tasks.
#[derive(Default)]
pub struct Waiters {
    claims: Mutex<HashMap<Ticket, Sender<ClaimOutcome>>>,
    lookups: Mutex<HashMap<Ticket, Sender<Vec<PrefixMatch>>>>,
    explanations: Mutex<HashMap<Ticket, Sender<Vec<u8>>>>,
}

impl Waiters {
    /// Registers a task that waits for a claim's outcome.
    pub fn claim(&self, ticket: Ticket) -> Receiver<ClaimOutcome> {
        register(&self.claims, ticket)
    }

    /// Registers a task that waits for the directory's answer.
    pub fn lookup(&self, ticket: Ticket) -> Receiver<Vec<PrefixMatch>> {
        register(&self.lookups, ticket)
    }

    /// Registers a task that waits for another node's decisions.
    pub fn explanation(&self, ticket: Ticket) -> Receiver<Vec<u8>> {
        register(&self.explanations, ticket)
    }

    /// Forgets a lookup that was given up.
    pub fn forget_lookup(&self, ticket: Ticket) {
        take(&self.lookups, ticket);
    }

    /// Forgets an explanation that was given up.
    pub fn forget_explanation(&self, ticket: Ticket) {
        take(&self.explanations, ticket);
    }

    /// Hands an event to the task that waits for it.
    pub fn resolve(&self, event: CoreEvent) {
        match event {
            CoreEvent::Claim { ticket, outcome } => hand_over(&self.claims, ticket, outcome),
            CoreEvent::Lookup { ticket, matches } => hand_over(&self.lookups, ticket, matches),
            CoreEvent::Explained { ticket, decisions } => {
                hand_over(&self.explanations, ticket, decisions);
            }
            CoreEvent::WriteClaimGroup { .. } => {}
        }
    }
}

type Table<T> = Mutex<HashMap<Ticket, Sender<T>>>;

fn register<T>(table: &Table<T>, ticket: Ticket) -> Receiver<T> {
    let (sender, receiver) = async_channel::bounded(1);
    if let Ok(mut waiting) = table.lock() {
        waiting.insert(ticket, sender);
    }
    receiver
}

fn take<T>(table: &Table<T>, ticket: Ticket) -> Option<Sender<T>> {
    table.lock().ok()?.remove(&ticket)
}

fn hand_over<T>(table: &Table<T>, ticket: Ticket, value: T) {
    if let Some(sender) = take(table, ticket) {
        let _ = sender.try_send(value);
    }
}
