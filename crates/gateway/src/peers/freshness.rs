//! Proofs that the configuration is the newest, from the nodes that read the store.
//!
//! A proof counts from when the asker asked, less the age that the answer tells:
//! however long the answer travelled, the proof is not younger than that. It is
//! taken in only when both nodes have the same version in force.

use super::messages::{encode, FreshnessAnswer, PeerMessage};
use super::readers::readers;
use crate::state::Gateway;
use crate::time::sleep;
use ploverlift_policy::ids::Millis;
use smol::net::UdpSocket;
use std::sync::Arc;

/// Time between two questions, in milliseconds.
const QUESTION_PERIOD_MS: u64 = 500;

/// Asks the readers in turn, as long as this node relies on any, until the task
/// is dropped.
pub async fn ask_for_proofs(gateway: Arc<Gateway>, socket: Arc<UdpSocket>) {
    let mut turn: usize = 0;
    loop {
        sleep(QUESTION_PERIOD_MS).await;
        let readers = {
            let beliefs = gateway.beliefs();
            readers(&gateway, &beliefs)
        };
        if readers.is_empty() {
            continue;
        }
        turn = turn.wrapping_add(1);
        let reader = readers[turn % readers.len()];
        let Some(address) = gateway.address_book().address_of(reader) else {
            continue;
        };
        let asked_at = gateway.clock.now();
        let question = encode(&PeerMessage::FreshnessQuestion { asked_at });
        // A lost question is asked again soon.
        let _ = socket.send_to(&question, address).await;
    }
}

/// The answer to a question; nothing while this node has no proof itself.
pub fn answer(gateway: &Gateway, asked_at: Millis) -> Option<FreshnessAnswer> {
    let now = gateway.clock.now();
    let beliefs = gateway.beliefs();
    Some(FreshnessAnswer {
        asked_at,
        configuration: beliefs.configuration.as_ref()?.document.version,
        proof_age_ms: beliefs.freshness.age_ms(now)?,
    })
}

/// Takes in an answer.
pub fn take_answer(gateway: &Gateway, answer: &FreshnessAnswer) {
    if answer.asked_at > gateway.clock.now() {
        return;
    }
    let mut beliefs = gateway.beliefs();
    let version = beliefs.configuration.as_ref();
    let version = version.map(|known| known.document.version);
    if version < Some(answer.configuration) {
        gateway.configuration_outdated.notify(usize::MAX);
    } else if version == Some(answer.configuration) {
        let proven_at = answer.asked_at.0.saturating_sub(answer.proof_age_ms);
        beliefs.freshness.prove(Millis(proven_at));
    }
}
