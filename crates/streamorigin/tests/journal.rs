//! The journal of running streams: what it keeps and writes, its text, and what is believed of it.

use ploverlift_policy::ids::Millis;
use ploverlift_routing::configuration::ServiceName;
use ploverlift_routing::software::SoftwareVersion;
use ploverlift_streamorigin::encoding::{decode, encode, StoredStream, STREAM_CHARS};
use ploverlift_streamorigin::journal::{write_period_ms, Journal, JournalledStream, MAX_STREAMS};
use ploverlift_streamorigin::source::StreamSource;
use ploverlift_streamorigin::stored_origins::{left_now_ms, StoredOrigins};
use ploverlift_streamorigin::stream_key::StreamKey;
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Rate at which the store accepts writes, a second.
const WRITES_PER_SECOND: u64 = 400;
/// Bound on the size of one journal, in bytes.
const MAX_BYTES: usize = 65_536;

fn source(number: u8) -> Arc<StreamSource> {
    let software = SoftwareVersion(format!("v{number}"));
    Arc::new(StreamSource::new(&ServiceName::from("llm"), software))
}

fn stream(key: u64, number: u8, expires_at: u64) -> JournalledStream {
    JournalledStream {
        stream: StreamKey(key),
        source: source(number),
        expires_at: Millis(expires_at),
    }
}

fn stored(key: u64, number: u8, left_ms: u64) -> StoredStream {
    StoredStream {
        stream: StreamKey(key),
        source: source(number),
        left_ms,
    }
}

fn keys(journal: &mut Journal, now: u64) -> Vec<u64> {
    let contents = journal.contents(Millis(now));
    contents.streams.iter().map(|it| it.stream.0).collect()
}

// Guards against writers that together use up the store's rate, and against a long period where
// there are few of them.
#[test]
fn all_writers_together_use_a_fifth_of_the_rate_of_writes() {
    for (writers, expected_ms) in [
        (1, 100),
        (7, 100),
        (8, 100),
        (20, 250),
        (32, 400),
        (69, 863),
    ] {
        let period_ms = write_period_ms(writers, WRITES_PER_SECOND);
        assert_eq!(period_ms, expected_ms, "{writers} writers");
    }
}

// Guards against an object that outgrows its bound, and against dropping new streams for old ones.
#[test]
fn a_full_journal_drops_its_oldest_streams_and_counts_them() {
    let mut journal = Journal::default();
    let more = 100;
    let all = (MAX_STREAMS + more) as u64;
    let noted = (0..all).map(|key| journal.note_began(stream(key, 1, 1_000), Millis(0)));
    assert_eq!(noted.sum::<usize>(), more);
    let kept = keys(&mut journal, 0);
    assert_eq!(kept.first(), Some(&(all - 1)), "the newest comes first");
    assert_eq!(kept.last(), Some(&(more as u64)));
    let contents = journal.contents(Millis(0));
    let encoded = encode(&contents.streams, Millis(0));
    assert!(encoded.text.len() <= MAX_BYTES, "{}", encoded.text.len());
    // Streams of the former incarnation give way to all of these.
    assert_eq!(
        journal.restore(vec![stream(1 << 40, 1, 1_000)], Millis(0)),
        1
    );
    assert_eq!(keys(&mut journal, 0).len(), MAX_STREAMS);
    assert!(!keys(&mut journal, 0).contains(&(1 << 40)));
}

#[test]
fn only_new_streams_are_a_reason_to_write() {
    let mut journal = Journal::default();
    assert!(!journal.has_unwritten());
    journal.restore(vec![stream(9, 1, 5_000)], Millis(0));
    assert!(!journal.has_unwritten(), "it is stored");
    journal.note_began(stream(1, 1, 5_000), Millis(10));
    let contents = journal.contents(Millis(20));
    // Begun during the write.
    journal.note_began(stream(2, 1, 5_000), Millis(25));
    assert_eq!(journal.note_written(&contents, Millis(30)), [20]);
    assert!(journal.has_unwritten());
    let contents = journal.contents(Millis(40));
    assert_eq!(journal.note_written(&contents, Millis(45)), [20]);
    assert!(!journal.has_unwritten());
    journal.note_began(stream(2, 1, 5_000), Millis(50));
    journal.note_ended(StreamKey(1), Millis(50));
    assert!(!journal.has_unwritten(), "nothing is new");
    assert_eq!(keys(&mut journal, 2_051), [2, 9], "the first has ended");
    // A write that is lost is made again, with what is left.
    journal.note_lost();
    assert!(journal.has_unwritten());
    assert!(keys(&mut journal, 5_000).is_empty());
    assert!(!journal.has_unwritten(), "nothing is left");
}

// Guards against a stream whose id was used before going on at the source of the earlier one.
#[test]
fn streams_of_one_id_and_two_sources_are_both_written() {
    let mut journal = Journal::default();
    journal.note_began(stream(1, 1, 100), Millis(0));
    journal.note_began(stream(1, 2, 900), Millis(10));
    let contents = journal.contents(Millis(20));
    let sources = contents.streams.iter().map(|it| (*it.source).clone());
    assert_eq!(
        sources.collect::<Vec<_>>(),
        [(*source(2)).clone(), (*source(1)).clone()]
    );
    assert_eq!(keys(&mut journal, 100), [1], "the earlier one has expired");
    journal.note_began(stream(1, 2, 1_000), Millis(110));
    assert_eq!(keys(&mut journal, 950), [1]);
}

// Guards against an id that was used for two streams placing one of them at the other's source.
#[test]
fn journals_that_contradict_each_other_place_no_stream() {
    let mut origins = StoredOrigins::default();
    for read in [stored(1, 1, 500), stored(2, 1, 500), stored(1, 1, 900)] {
        assert!(origins.add(&read, Millis(0)));
    }
    let known =
        |origins: &StoredOrigins, key, now| origins.source(StreamKey(key), Millis(now)).cloned();
    assert_eq!(known(&origins, 1, 899), Some((*source(1)).clone()));
    assert_eq!(known(&origins, 1, 900), None);
    assert_eq!(known(&origins, 2, 500), None);
    origins.add(&stored(1, 2, 500), Millis(0));
    origins.add(&stored(1, 1, 500), Millis(0));
    assert_eq!(known(&origins, 1, 1), None);
    origins.expire(Millis(500));
    assert_eq!(origins.len(), 1);
}

// Guards against sources that are believed for ever, and against clocks that differ by seconds
// making them worthless.
#[test]
fn stored_streams_are_believed_for_as_long_as_clocks_allow() {
    let written = 1_000_000;
    for (left_ms, unix_ms, expected) in [
        (3_000, written, Some(3_000)),
        (3_000, written + 62_000, Some(1_000)),
        (3_000, written + 63_000, None),
        (3_000, written - 60_000, Some(3_000)),
        (3_000, written - 60_001, None),
        (3_000, 0, None),
        (0, written + 59_999, None),
    ] {
        let left = left_now_ms(left_ms, written, unix_ms);
        let left = left.filter(|left_ms| *left_ms > 0);
        assert_eq!(left, expected, "{left_ms} left, read at {unix_ms}");
    }
}

#[test]
fn more_sources_than_an_object_holds_are_left_out() {
    let streams: Vec<JournalledStream> = (0..300)
        .map(|key| JournalledStream {
            source: Arc::new(StreamSource::new(
                &ServiceName::from("llm"),
                SoftwareVersion(format!("v{key}")),
            )),
            ..stream(key, 0, 100)
        })
        .collect();
    let encoded = encode(&streams, Millis(0));
    assert_eq!((encoded.sources.len(), encoded.left_out), (256, 44));
    assert_eq!(decode(&encoded.sources, &encoded.text).len(), 256);
}

proptest! {
    #[test]
    fn streams_survive_their_text(
        streams in prop::collection::vec((any::<u64>(), any::<u8>(), 0_u64..1 << 24), 0..200),
        now in 0_u64..1 << 40,
    ) {
        let journalled: Vec<JournalledStream> = streams
            .iter()
            .map(|(key, number, left)| stream(*key, *number, now + left))
            .collect();
        let encoded = encode(&journalled, Millis(now));
        prop_assert_eq!(encoded.text.len(), streams.len() * STREAM_CHARS);
        let decoded = decode(&encoded.sources, &encoded.text);
        let expected: Vec<StoredStream> = streams
            .iter()
            .map(|(key, number, left)| stored(*key, *number, *left))
            .collect();
        prop_assert_eq!(decoded, expected);
    }

    #[test]
    fn any_text_is_decoded_to_at_most_its_streams(text in ".{0,200}", sources in 0_u8..4) {
        let sources: Vec<Arc<StreamSource>> = (0..sources).map(source).collect();
        let decoded = decode(&sources, &text);
        prop_assert!(decoded.len() <= text.len() / STREAM_CHARS);
        prop_assert!(decoded.iter().all(|stored| sources.contains(&stored.source)));
    }

    /// What a journal tells is independent of the order in which journals are read.
    #[test]
    fn journals_may_be_read_in_any_order(
        read in prop::collection::vec((0_u64..8, 0_u8..3, 1_u64..50), 0..30).prop_shuffle(),
        other in any::<prop::sample::Index>(),
    ) {
        let add_all = |order: &[(u64, u8, u64)]| {
            let mut origins = StoredOrigins::default();
            for (key, number, left_ms) in order {
                origins.add(&stored(*key, *number, *left_ms), Millis(0));
            }
            let known = (0..8).map(|key| origins.source(StreamKey(key), Millis(0)).cloned());
            known.collect::<Vec<_>>()
        };
        let mut rotated = read.clone();
        if !rotated.is_empty() {
            let by = other.index(rotated.len());
            rotated.rotate_left(by);
            rotated.reverse();
        }
        prop_assert_eq!(add_all(&read), add_all(&rotated));
        let mut sources: BTreeMap<u64, BTreeSet<u8>> = BTreeMap::new();
        for (key, number, _) in &read {
            sources.entry(*key).or_default().insert(*number);
        }
        for (key, known) in add_all(&read).into_iter().enumerate() {
            let single = sources.get(&(key as u64)).filter(|numbers| numbers.len() == 1);
            let single = single.and_then(|numbers| numbers.first());
            prop_assert_eq!(known, single.map(|number| (*source(*number)).clone()));
        }
    }

    /// Writers together stay within their share, and a write is never put off for longer than
    /// that needs.
    #[test]
    fn the_period_of_writes_grows_with_their_number(
        writers in 1_usize..2_000,
        writes_per_second in 1_u64..10_000,
    ) {
        let period_ms = write_period_ms(writers, writes_per_second);
        prop_assert!(period_ms >= 100);
        let rate = writers as f64 * 1_000.0 / period_ms as f64;
        prop_assert!(rate <= writes_per_second as f64 / 5.0 + 1e-9);
        prop_assert!(write_period_ms(writers + 1, writes_per_second) >= period_ms);
    }

    /// Whatever happens, a stream that began and has not ended or expired is in the next write,
    /// as long as there is room.
    #[test]
    fn running_streams_are_written_until_they_end(
        steps in prop::collection::vec((0_u8..5, 0_u64..12, 1_u64..400), 1..120),
    ) {
        let mut journal = Journal::default();
        let mut expected: BTreeMap<u64, u64> = BTreeMap::new();
        let mut unwritten: BTreeSet<u64> = BTreeSet::new();
        let mut now = 0;
        for (step, key, ms) in steps {
            now += ms / 8;
            expected.retain(|_, expires_at| *expires_at > now);
            unwritten.retain(|key| expected.contains_key(key));
            match step {
                0 | 1 => {
                    let is_expired = !expected.contains_key(&key);
                    journal.note_began(stream(key, 1, now + ms), Millis(now));
                    if is_expired {
                        expected.insert(key, now + ms);
                        unwritten.insert(key);
                    }
                    let expires_at = expected.entry(key).or_default();
                    *expires_at = (*expires_at).max(now + ms);
                }
                2 => {
                    journal.contents(Millis(now));
                    journal.restore(vec![stream(key, 1, now + ms)], Millis(now));
                    expected.entry(key).or_insert(now + ms);
                }
                3 => {
                    journal.note_ended(StreamKey(key), Millis(now));
                }
                _ => {
                    let contents = journal.contents(Millis(now));
                    let written: BTreeSet<u64> = contents.streams.iter().map(|it| it.stream.0).collect();
                    prop_assert_eq!(&written, &expected.keys().copied().collect::<BTreeSet<u64>>());
                    journal.note_written(&contents, Millis(now));
                    unwritten.clear();
                    prop_assert!(!journal.has_unwritten());
                }
            }
            prop_assert!(unwritten.is_empty() || journal.has_unwritten());
        }
    }
}
