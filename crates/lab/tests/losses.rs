//! Tests the table of delays and failures by cause, from log lines.

use ploverlift_lab::losses::{Group, Losses, Reason};

const LOG: &str = concat!(
    r#"{"msg":"started","node":"a"}"#,
    "\n",
    r#"  1.2 node-a {"msg":"request","outcome":"answered","route":"r","first_byte_ms":30,"attempts":"e1 weights=1 cache=local of=9 held=0 queue=3 transfer=0 eviction=0 prefill=10 stale=0 zone=0 slots=1 failure=0 -> answered"}"#,
    "\n",
    r#"{"msg":"request","outcome":"answered","route":"r","first_byte_ms":130,"attempts":"e1 weights=1 cache=fetch of=9 held=0 queue=3 transfer=2 eviction=50 prefill=110 stale=0 zone=0 slots=1 failure=0 -> answered"}"#,
    "\n",
    r#"{"msg":"request","outcome":"answered","route":"r","first_byte_ms":900,"attempts":"e1 weights=1 queue=0 -> broken (reset); e2 weights=1 queue=700 -> answered"}"#,
    "\n",
    r#"{"msg":"request","outcome":"timed_out","route":"r","first_byte_ms":null,"attempts":""}"#,
    "\n",
    "not JSON\n",
    r#"{"msg":"request","id":"x","outcome":"caller_left","attempts":""}"#,
    "\n",
);

#[test]
fn requests_are_counted_by_route_and_largest_delay() {
    let losses = Losses::of(LOG.as_bytes()).expect("a log");
    let group = |route: &str, reason| losses.groups.get(&(route.to_owned(), reason)).copied();
    let one = |first_byte_ms| {
        Some(Group {
            requests: 1,
            timed: 1,
            first_byte_ms,
        })
    };
    assert_eq!(group("r", Reason::NoDelay), one(30));
    assert_eq!(group("r", Reason::Prefill), one(130));
    assert_eq!(group("r", Reason::SecondEngine), one(900));
    assert_eq!(
        group("r", Reason::TimedOut).map(|group| group.timed),
        Some(0)
    );
    assert_eq!(
        group("", Reason::CallerLeft).map(|group| group.requests),
        Some(1)
    );
    assert_eq!((losses.groups.len(), losses.other_lines), (5, 2));
    let table = losses.table();
    assert_eq!(table.lines().count(), 6);
    assert!(table.contains("shared parts were read"));
}

#[test]
fn an_empty_log_gives_an_empty_table() {
    let losses = Losses::of("".as_bytes()).expect("a log");
    assert_eq!(losses, Losses::default());
}

#[test]
fn refusals_and_lost_engines_are_distinguished_by_reason() {
    let reasons = [
        (
            "not_admitted",
            "the tenant is over its limit of 5 tokens a second",
            Reason::OverLimit,
        ),
        (
            "refused",
            "the engines are overloaded: requests wait 2.00 objectives",
            Reason::Overload,
        ),
        (
            "refused",
            "no engine can begin to answer before 9 ms",
            Reason::NoEngineInTime,
        ),
        (
            "not_admitted",
            "the configuration is not known yet",
            Reason::ConfigurationUnproven,
        ),
        (
            "not_admitted",
            "keys may have been taken away meanwhile",
            Reason::ConfigurationUnproven,
        ),
        ("refused", "the engine refused", Reason::Refused),
        (
            "engine_lost",
            "the engine is lost",
            Reason::EngineUnreachable,
        ),
        ("engine_lost", "no event in time", Reason::EngineLost),
    ];
    for (outcome, reason, expected) in reasons {
        let line =
            format!(r#"{{"msg":"request","outcome":"{outcome}","route":"r","reason":"{reason}"}}"#);
        let losses = Losses::of(line.as_bytes()).expect("a log");
        let known: Vec<Reason> = losses.groups.keys().map(|(_, reason)| *reason).collect();
        assert_eq!(known, [expected], "{reason}");
    }
}
