//! Arbitrary text never makes the settings reader panic or show the secret.

use geraniumshed_daemon::settings::read_settings;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const EXAMPLE: &str = include_str!("../../../settings.example.yaml");

/// The number of cases, unless `PROPTEST_CASES` is set.
const CASES: u32 = 300;

fn config() -> ProptestConfig {
    let cases = std::env::var("PROPTEST_CASES")
        .ok()
        .and_then(|text| text.parse().ok());
    ProptestConfig {
        cases: cases.unwrap_or(CASES),
        rng_seed: RngSeed::Fixed(21),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// Generates the example without its comments and with a few characters replaced, removed or
/// inserted.
fn mutated_example() -> impl Strategy<Value = String> {
    let edit = (
        any::<prop::sample::Index>(),
        0..12usize,
        "[ -~\\n:\\-{}\\[\\]'\"&*#]{0,6}",
    );
    proptest::collection::vec(edit, 1..4).prop_map(|edits| {
        let lines = EXAMPLE
            .lines()
            .filter(|line| !line.trim_start().starts_with('#'));
        let mut text: Vec<char> = lines.collect::<Vec<_>>().join("\n").chars().collect();
        for (index, removed, added) in edits {
            let start = index.index(text.len());
            let end = (start + removed).min(text.len());
            text.splice(start..end, added.chars());
        }
        text.into_iter().collect()
    })
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn any_text_is_read_or_rejected(text in prop_oneof![mutated_example(), ".{0,200}"], value in ".{0,20}") {
        let secret = ("GERANIUMSHED_OPERATOR_SECRET", "a secret of enough letters");
        let variables = [secret, ("GERANIUMSHED_CALLERS_BODY_LIMIT", value.as_str())];
        let environment = variables.map(|(name, value)| (name.to_owned(), value.to_owned()));
        if let Err(problems) = read_settings(&text, environment.into_iter()) {
            prop_assert!(!problems.is_empty());
            prop_assert!(!problems.to_string().contains("a secret of enough letters"));
        }
    }
}
