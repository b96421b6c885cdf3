//! Checks that the table of error answers is complete and consistent.

use std::collections::BTreeSet;

use geraniumshed_model::error::ERROR_ANSWERS;
use geraniumshed_model::prelude::{RetryAdvice, RunOutcome};

#[test]
fn kinds_and_slugs_are_unique() {
    let kinds: BTreeSet<_> = ERROR_ANSWERS.iter().map(|answer| answer.kind).collect();
    let slugs: BTreeSet<_> = ERROR_ANSWERS.iter().map(|answer| answer.slug).collect();
    assert_eq!(kinds.len(), ERROR_ANSWERS.len());
    assert_eq!(slugs.len(), ERROR_ANSWERS.len());
    for answer in &ERROR_ANSWERS {
        assert_eq!(answer.kind.answer(), answer);
    }
}

#[test]
fn retry_advice_is_consistent_with_the_outcome() {
    for answer in &ERROR_ANSWERS {
        assert!((400..600).contains(&answer.status), "{answer:?}");
        match answer.outcome {
            RunOutcome::Ran => panic!("an error must not report that the request ran: {answer:?}"),
            RunOutcome::NotRun => assert_ne!(answer.retry, RetryAdvice::Ask, "{answer:?}"),
            RunOutcome::Unknown => assert_eq!(answer.retry, RetryAdvice::Ask, "{answer:?}"),
        }
    }
}
