//! Checks that ids, sizes and durations survive a round trip through text and reject invalid text.

use std::fmt::{Debug, Display};
use std::str::FromStr;

use geraniumshed_model::prelude::{
    MemorySize, ProcessorShare, RecordKind, TaskId, TeamName, TimeSpan, ZoneName,
};
use proptest::prelude::*;
use rstest::rstest;

fn assert_round_trip<T>(text: &str)
where
    T: FromStr + Display + PartialEq + Debug,
    T::Err: Debug,
{
    let value: T = text.parse().unwrap();
    assert_eq!(value.to_string().parse::<T>().unwrap(), value);
}

#[rstest]
#[case("32", 32_000)]
#[case("250m", 250)]
#[case("1500m", 1_500)]
fn processors_parse(#[case] text: &str, #[case] milli: u32) {
    assert_eq!(text.parse(), Ok(ProcessorShare(milli)));
    assert_round_trip::<ProcessorShare>(text);
}

#[rstest]
#[case("125GB", 125_000_000_000)]
#[case("512MB", 512_000_000)]
#[case("0B", 0)]
fn memory_parses(#[case] text: &str, #[case] bytes: u64) {
    assert_eq!(text.parse(), Ok(MemorySize(bytes)));
    assert_round_trip::<MemorySize>(text);
}

#[rstest]
#[case("250ms", 250_000)]
#[case("13s", 13_000_000)]
#[case("2h", 7_200_000_000)]
fn durations_parse(#[case] text: &str, #[case] micros: u128) {
    assert_eq!(text.parse::<TimeSpan>().unwrap().0.as_micros(), micros);
    assert_round_trip::<TimeSpan>(text);
}

#[rstest]
#[case("")]
#[case("GB")]
#[case("-1GB")]
#[case("1.5GB")]
#[case("10 GB")]
#[case("10gb")]
#[case("99999999999999999999GB")]
#[case("99999999999999TB")]
fn invalid_memory_sizes_are_rejected(#[case] text: &str) {
    let error = text.parse::<MemorySize>().unwrap_err();
    assert!(error.to_string().contains("such as `125GB`"), "{error}");
}

#[rstest]
#[case("")]
#[case("-zone")]
#[case("a/b")]
#[case("año")]
#[case("a234567890123456789012345678901234567890123456789012345678901234")]
fn invalid_names_are_rejected(#[case] text: &str) {
    let _ = text.parse::<ZoneName>().unwrap_err();
    let _ = text.parse::<TeamName>().unwrap_err();
}

#[test]
fn record_kinds_round_trip() {
    for kind in RecordKind::all() {
        assert_round_trip::<RecordKind>(kind.name());
    }
}

proptest! {
    #[test]
    fn parsing_arbitrary_text_never_panics(text in ".{0,40}") {
        let _ = text.parse::<TaskId>();
        let _ = text.parse::<MemorySize>();
        let _ = text.parse::<ProcessorShare>();
        let _ = text.parse::<TimeSpan>();
    }

    #[test]
    fn task_ids_round_trip(name in "[a-z0-9][a-z0-9._-]{0,20}", generation: u64, index: u32) {
        let text = format!("{name}/{generation}/{index}");
        prop_assert_eq!(text.parse::<TaskId>().unwrap().to_string(), text);
    }
}
