//! The stored progress of a rollout, and the identity of its order.

use ploverlift_rollout::order::{RolloutOrder, RolloutState, RolloutStatus};
use ploverlift_rollout::stage::{
    Epoch, OrderIdentity, Progress, ProgressError, Recorded, RollBackCause, RolloutNumber, Stage,
};
use ploverlift_routing::configuration::ServiceName;
use ploverlift_routing::software::SoftwareVersion;
use proptest::prelude::*;

pub fn version(name: &str) -> SoftwareVersion {
    SoftwareVersion(name.to_owned())
}

pub fn order(target: &str, duration_ms: u64, revision: u64) -> RolloutOrder {
    RolloutOrder {
        service: ServiceName("service".to_owned()),
        target: version(target),
        duration_ms,
        revision,
        status: None,
    }
}

pub fn progress(stage: Stage, duration_ms: u64) -> Progress {
    Progress {
        rollout: RolloutNumber(10),
        epoch: Epoch(12),
        stage,
        duration_ms,
        elapsed_ms: 300,
        requests: 0,
        target_arrivals: 0,
        credits: 20,
        avoided: Vec::new(),
        established: vec![version("v1")],
    }
}

fn stage() -> impl Strategy<Value = Stage> {
    prop_oneof![
        any::<u32>().prop_map(|share_ppm| Stage::Canary { share_ppm }),
        Just(Stage::CuttingOver),
        Just(Stage::Completed),
        prop_oneof![
            Just(RollBackCause::BadAnswers),
            Just(RollBackCause::NoEngines),
            Just(RollBackCause::OrderDoesNotFit),
        ]
        .prop_map(|cause| Stage::RolledBack { cause }),
    ]
}

fn versions() -> impl Strategy<Value = Vec<SoftwareVersion>> {
    let name = "[a-z0-9 ,=%;.é\t-]{1,12}".prop_map(SoftwareVersion);
    proptest::collection::vec(name, 0..4)
}

proptest! {
    #[test]
    fn a_successor_reads_what_was_stored(
        stage in stage(),
        numbers in any::<[u64; 7]>(),
        avoided in versions(),
        established in versions(),
    ) {
        let [rollout, epoch, duration_ms, elapsed_ms, requests, target_arrivals, credits] = numbers;
        let progress = Progress {
            rollout: RolloutNumber(rollout),
            epoch: Epoch(epoch),
            stage,
            duration_ms,
            elapsed_ms,
            requests,
            target_arrivals,
            credits,
            avoided,
            established,
        };
        prop_assert_eq!(Progress::decode(&progress.encode()), Ok(progress));
    }

    #[test]
    fn no_text_makes_decoding_panic(text in ".*") {
        let _ = Progress::decode(&text);
        let _ = Progress::decode(&format!("rollout/1 {text}"));
    }
}

#[test]
fn unknown_texts_are_typed_errors() {
    let found = "rollout/2".to_owned();
    let unknown = Progress::decode("rollout/2 epoch=1");
    assert_eq!(unknown, Err(ProgressError::UnknownFormat { found }));
    let lacking = Progress::decode("rollout/1 rollout=1");
    assert_eq!(lacking, Err(ProgressError::MissingField { field: "epoch" }));
    let text = progress(Stage::CuttingOver, 12_000).encode();
    let stage = "paused".to_owned();
    let unknown = Progress::decode(&text.replace("cutting_over", "paused"));
    assert_eq!(unknown, Err(ProgressError::UnknownStage { stage }));
    let no_number = Progress::decode(&text.replace("epoch=12", "epoch=x"));
    assert!(matches!(
        no_number,
        Err(ProgressError::InvalidNumber { field: "epoch", .. })
    ));
}

#[test]
fn a_state_that_contradicts_the_stage_is_an_error() {
    let mut order = order("v2", 12_000, 14);
    order.status = Some(RolloutStatus {
        state: RolloutState::Completed,
        ..progress(Stage::CuttingOver, 12_000).status(&order)
    });
    let recorded = Recorded::of(&order);
    assert!(matches!(recorded, Err(ProgressError::Contradiction { .. })));
}

#[test]
fn writes_of_the_status_do_not_change_the_order_identity() {
    let mut order = order("v2", 12_000, 14);
    let before = OrderIdentity::of(&order);
    let progress = progress(Stage::CuttingOver, 12_000);
    order.status = Some(progress.status(&order));
    order.revision += 1;
    assert_eq!(OrderIdentity::of(&order), before);
    assert_eq!(Recorded::of(&order), Ok(Recorded::Present(progress)));
}

#[test]
fn an_order_with_another_target_or_duration_supersedes() {
    let status =
        |target: &str| progress(Stage::Completed, 12_000).status(&order(target, 12_000, 14));
    let of = |target: &str, duration_ms, status| RolloutOrder {
        status: Some(status),
        ..order(target, duration_ms, 20)
    };
    let older = Ok(Recorded::OfOlderOrder(progress(Stage::Completed, 12_000)));
    assert_eq!(Recorded::of(&of("v3", 12_000, status("v2"))), older);
    assert_eq!(Recorded::of(&of("v2", 9_000, status("v2"))), older);
    assert_ne!(Recorded::of(&of("v2", 12_000, status("v2"))), older);
}
