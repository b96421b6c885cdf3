//! The table from error kind to answer is complete and consistent.

use std::collections::BTreeSet;

use geraniumshed_model::error::ERROR_ANSWERS;
use geraniumshed_model::prelude::{RetryAdvice, RunOutcome};

#[test]
fn each_kind_and_slug_has_one_row() {
    let kinds: BTreeSet<_> = ERROR_ANSWERS.iter().map(|answer| answer.kind).collect();
    let slugs: BTreeSet<_> = ERROR_ANSWERS.iter().map(|answer| answer.slug).collect();
    assert_eq!(kinds.len(), ERROR_ANSWERS.len());
    assert_eq!(slugs.len(), ERROR_ANSWERS.len());
    for answer in &ERROR_ANSWERS {
        assert_eq!(answer.kind.answer(), answer);
    }
}

#[test]
fn advice_agrees_with_the_outcome() {
    for answer in &ERROR_ANSWERS {
        assert!((400..600).contains(&answer.status), "{answer:?}");
        match answer.outcome {
            RunOutcome::Ran => panic!("an error never says that the request ran: {answer:?}"),
            RunOutcome::NotRun => assert_ne!(answer.retry, RetryAdvice::Ask, "{answer:?}"),
            RunOutcome::Unknown => assert_eq!(answer.retry, RetryAdvice::Ask, "{answer:?}"),
        }
    }
}
