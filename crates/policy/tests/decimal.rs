//! Parsing of decimal numbers.

use ploverlift_policy::decimal::{read_decimal, read_seconds_as_ms};

#[test]
fn only_digits_with_at_most_one_point_are_a_number() {
    assert_eq!(read_decimal("0"), Some(0.0));
    assert_eq!(read_decimal("1.7"), Some(1.7));
    let bad = [
        "", ".", "-1", "+1", "1e3", "inf", "nan", "1,7", "1.2.3", "two",
    ];
    for text in bad {
        assert_eq!(read_decimal(text), None, "{text}");
    }
    assert_eq!(read_decimal(&"9".repeat(25)), None);
}

/// Guards against a time with a fraction of a second being treated as missing.
#[test]
fn fractions_of_a_second_are_parsed() {
    assert_eq!(read_seconds_as_ms("0.25"), Some(250));
    assert_eq!(read_seconds_as_ms("7"), Some(7_000));
    assert_eq!(read_seconds_as_ms("-1"), None);
}
