//! The cost per request of computing its fingerprint and checking its permission.

use criterion::{criterion_group, criterion_main, Criterion};
use ploverlift_balancing::names::EngineTag;
use ploverlift_policy::ids::Millis;
use ploverlift_quarantine::evidence::EngineEnd;
use ploverlift_quarantine::fingerprint::{RequestFingerprint, RequestParts};
use ploverlift_quarantine::quarantine::Quarantine;
use ploverlift_quarantine::retention::MAX_REQUESTS;
use ploverlift_routing::rate_limit::TenantTag;
use std::hint::black_box;

/// Size of a long prompt, in bytes.
const BODY_BYTES: usize = 34_000;

fn decide(criterion: &mut Criterion) {
    let now = Millis(1_000_000);
    let mut quarantine = Quarantine::default();
    for number in 0..MAX_REQUESTS as u64 {
        let end = EngineEnd {
            engine: EngineTag(number as u32),
            begun: now,
            at: now,
            request: RequestFingerprint(number).into(),
        };
        let request = RequestFingerprint(number).into();
        quarantine.note_end(request, TenantTag(number), end, None, now);
    }
    let body = vec![7; BODY_BYTES];
    let parts = RequestParts {
        tenant: Some("tenant"),
        host: "host",
        method: "POST",
        target: "/path",
        body: &body,
    };
    criterion.bench_function("fingerprint_and_ask/34000", |bencher| {
        bencher.iter(|| {
            let request = RequestFingerprint::of(black_box(&parts));
            black_box(quarantine.permission_for(request.into(), false, now))
        });
    });
}

criterion_group!(benches, decide);
criterion_main!(benches);
