//! Tests of reading the newest records page by page.

use std::cell::RefCell;
use std::time::Duration;

use bytes::Bytes;
use geraniumshed_batch::store::{KeyedRecord, NewestPage, StoreError, read_pages};
use geraniumshed_model::prelude::LogOffset;
use rstest::rstest;
use smol_str::{SmolStr, ToSmolStr, format_smolstr};

/// The number of pages, each with one record.
const PAGES: u64 = 5;

/// Serves pages, and fails the reads of the third one as listed.
#[derive(Debug)]
struct PageSource {
    failures: Vec<(StoreError, Duration)>,
    reads: u64,
}

impl PageSource {
    fn page(after: Option<SmolStr>) -> NewestPage {
        let number = after.map_or(0, |key| key.parse::<u64>().expect("keys are numbers") + 1);
        let record = KeyedRecord {
            key: number.to_smolstr(),
            value: Bytes::from_static(b"v"),
        };
        NewestPage {
            records: vec![(LogOffset(number), record)],
            end: LogOffset(100 + number),
            has_more: number + 1 < PAGES,
        }
    }
}

async fn read_page(
    source: &RefCell<PageSource>,
    after: Option<SmolStr>,
) -> Result<NewestPage, StoreError> {
    source.borrow_mut().reads += 1;
    let failure = match after.as_deref() {
        Some("1") => source.borrow_mut().failures.pop(),
        Some(_) | None => None,
    };
    match failure {
        Some((error, delay)) => {
            tokio::time::sleep(delay).await;
            Err(error)
        }
        None => Ok(PageSource::page(after)),
    }
}

fn soon(error: StoreError) -> (StoreError, Duration) {
    (error, Duration::from_millis(5))
}

fn late(error: StoreError) -> (StoreError, Duration) {
    (error, Duration::from_secs(4))
}

/// A page that fails once is read again by itself. Reading goes on from it, and the end is still that
/// of the first page.
#[rstest]
#[case::no_failure(vec![], PAGES)]
#[case::refused_once(vec![soon(StoreError::Refused)], PAGES + 1)]
#[case::unanswered_once(vec![soon(StoreError::Unanswered)], PAGES + 1)]
#[tokio::test(start_paused = true)]
async fn failed_page_is_read_once_more(
    #[case] failures: Vec<(StoreError, Duration)>,
    #[case] reads: u64,
) {
    let source = RefCell::new(PageSource { failures, reads: 0 });
    let (records, end) = read_pages(|after| read_page(&source, after))
        .await
        .expect("the pages are read");
    let keys: Vec<SmolStr> = records.into_iter().map(|record| record.key).collect();
    let expected: Vec<SmolStr> = (0..PAGES).map(|key| format_smolstr!("{key}")).collect();
    assert_eq!(keys, expected);
    assert_eq!(end, LogOffset(100));
    assert_eq!(source.borrow().reads, reads);
}

/// A page that keeps failing, fails late or for good isn't read again and again.
#[rstest]
#[case::twice(vec![soon(StoreError::Refused), soon(StoreError::Refused)], StoreError::Refused, 4)]
#[case::late(vec![late(StoreError::Unanswered)], StoreError::Unanswered, 3)]
#[case::fenced(vec![soon(StoreError::Fenced)], StoreError::Fenced, 3)]
#[tokio::test(start_paused = true)]
async fn page_that_fails_for_good_ends_the_reading(
    #[case] failures: Vec<(StoreError, Duration)>,
    #[case] error: StoreError,
    #[case] reads: u64,
) {
    let source = RefCell::new(PageSource { failures, reads: 0 });
    let result = read_pages(|after| read_page(&source, after)).await;
    assert_eq!(result, Err(error));
    assert_eq!(source.borrow().reads, reads);
}

/// Guards against an endless read of a page that ends with a key that isn't UTF-8: the store takes the
/// key as it was decoded for another one, and returns the same page again.
#[rstest]
#[case::decoded_key("k\u{fffd}", Ok(2))]
#[case::own_key("k", Err(StoreError::Invalid("the pages of records don't advance".into())))]
#[tokio::test(start_paused = true)]
async fn page_that_comes_again_ends_the_reading(
    #[case] key: &str,
    #[case] expected: Result<usize, StoreError>,
) {
    let reads = RefCell::new(0);
    let result = read_pages(|_| {
        *reads.borrow_mut() += 1;
        assert!(*reads.borrow() < 10, "the page is read again and again");
        let record = KeyedRecord {
            key: key.into(),
            value: Bytes::from_static(b"v"),
        };
        let page = NewestPage {
            records: vec![(LogOffset(1), record)],
            end: LogOffset(2),
            has_more: true,
        };
        async { Ok(page) }
    });
    let count = result.await.map(|(records, _)| records.len());
    assert_eq!(count, expected);
}
