//! Targets of requests: what is written as one segment or one parameter is read as that.

use percent_encoding::percent_decode_str;
use ploverlift_http1::target::decode_segment;
use ploverlift_http1::Target;
use proptest::prelude::*;

const ODD: [&str; 14] = [
    "a&b",
    "a+b",
    "a#b",
    "a%b",
    "a%41",
    "a b",
    "a?b",
    "a/b",
    "a\r\nb",
    "a\0b",
    "é",
    "\u{1f426}",
    "a=b",
    "...",
];

fn object(name: &str) -> Target {
    let target = Target::literal("/objects/kind").segment(name);
    target.expect("a segment").segment("status").expect("one")
}

/// Path segments and parameters as a server reads them that splits first and decodes then.
fn read(target: &Target) -> (Vec<String>, Vec<(String, String)>) {
    let decode = |text: &str| {
        let decoded = percent_decode_str(text).decode_utf8().expect("text");
        decoded.into_owned()
    };
    let (path, query) = target
        .as_str()
        .split_once('?')
        .unwrap_or((target.as_str(), ""));
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    (
        path.split('/').skip(1).map(decode).collect(),
        pairs
            .map(|(name, value)| (decode(name), decode(value)))
            .collect(),
    )
}

fn check(name: &str) {
    let (segments, _) = read(&object(name));
    assert_eq!(segments, ["objects", "kind", name, "status"]);
    let list = Target::literal("/objects/kind").parameter("after", name);
    let (segments, parameters) = read(&list.parameter("stale", 1));
    assert_eq!(segments, ["objects", "kind"]);
    let expected = [("after", name), ("stale", "1")];
    assert_eq!(
        parameters,
        expected.map(|(name, value)| (name.to_owned(), value.to_owned()))
    );
}

// Guards against a name that becomes another path, parameter or line.
#[test]
fn odd_names_stay_one_segment_and_one_parameter() {
    ODD.into_iter().for_each(check);
}

// Guards against a call about one object that means all objects of its kind.
#[test]
fn a_segment_that_names_a_directory_is_refused() {
    for name in ["", ".", ".."] {
        assert!(
            Target::literal("/objects/kind").segment(name).is_err(),
            "'{name}'"
        );
    }
}

proptest! {
    // Guards against a name that becomes another path, parameter or line.
    #[test]
    fn any_name_stays_one_segment_and_one_parameter(name in any::<String>()) {
        prop_assume!(!["", ".", ".."].contains(&name.as_str()));
        check(&name);
        let written = object(&name);
        let segment = written.as_str().split('/').nth(3);
        prop_assert_eq!(segment.and_then(decode_segment), Some(name));
    }

    // Guards against a target that ends the request line.
    #[test]
    fn a_target_has_no_blank_and_no_control_character(text in any::<String>()) {
        let is_written = !text.is_empty() && !text.contains(|sign: char| sign <= ' ' || sign == '\x7f');
        prop_assert_eq!(Target::new(text).is_ok(), is_written);
    }
}
