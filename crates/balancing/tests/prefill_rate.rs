//! The prefill rate learned from three differently shaped fleets.

use ploverlift_balancing::prefill_rate::PrefillRate;

/// The configured rate, in tokens per millisecond.
const CONFIGURED: f64 = 40.0;

/// A fleet as observed through its answers.
struct Fleet {
    tokens_per_ms: f64,
    /// Time to the first event of a prompt that is fully cached.
    start_ms: f64,
    /// Longest prompt, in tokens.
    longest: u64,
}

/// The rate learned from `answers` answers, every twentieth of which stalls for a second.
fn learned(fleet: &Fleet, answers: u64, seed: u64) -> f64 {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut rate = PrefillRate::default();
    for number in 0..answers {
        let tokens = random.u64(0..fleet.longest);
        let noise_ms = random.f64() * 10.0;
        let stall_ms = if number % 20 == 19 { 1_000.0 } else { 0.0 };
        let ms = fleet.start_ms + tokens as f64 / fleet.tokens_per_ms + noise_ms + stall_ms;
        rate.observe(tokens, ms as u64);
    }
    rate.tokens_per_ms(CONFIGURED)
}

#[test]
fn the_rates_of_three_fleets_are_learned_to_a_sixth() {
    let fleets = [
        Fleet {
            tokens_per_ms: 6.0,
            start_ms: 30.0,
            longest: 4_000,
        },
        Fleet {
            tokens_per_ms: 38.0,
            start_ms: 25.0,
            longest: 12_000,
        },
        Fleet {
            tokens_per_ms: 150.0,
            start_ms: 10.0,
            longest: 30_000,
        },
    ];
    for fleet in &fleets {
        for seed in 0..20 {
            let rate = learned(fleet, 300, seed);
            let error = (rate / fleet.tokens_per_ms - 1.0).abs();
            assert!(
                error < 0.17,
                "{rate} of {} with seed {seed}",
                fleet.tokens_per_ms
            );
        }
    }
}

#[test]
fn few_or_uniform_samples_leave_the_configured_rate() {
    let mut rate = PrefillRate::default();
    for _ in 0..10 {
        rate.observe(4_000, 900);
    }
    assert_eq!(rate.tokens_per_ms(CONFIGURED), CONFIGURED);
    for _ in 0..500 {
        rate.observe(4_000, 900);
    }
    assert_eq!(rate.tokens_per_ms(CONFIGURED), CONFIGURED);
}

#[test]
fn what_is_learned_stays_within_its_bounds() {
    let mut rate = PrefillRate::default();
    for number in 0..200 {
        rate.observe(number * 50, number * 5_000);
    }
    assert_eq!(rate.tokens_per_ms(CONFIGURED), CONFIGURED * 0.1);
}

#[test]
fn the_rate_is_learned_again_when_engines_become_slower() {
    let mut rate = PrefillRate::default();
    for tokens in (0..200).map(|number| number * 40) {
        rate.observe(tokens, 20 + tokens / 50);
    }
    for tokens in (0..200).map(|number| number * 40) {
        rate.observe(tokens, 20 + tokens / 10);
    }
    let learned = rate.tokens_per_ms(CONFIGURED);
    assert!((9.0..=12.0).contains(&learned), "{learned}");
}
