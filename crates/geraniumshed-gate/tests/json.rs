//! JSON is measured as the decoder sees it.

use geraniumshed_gate::{JsonExcess, JsonLimits, JsonSize, measure_json};
use rstest::rstest;

const LIMITS: JsonLimits = JsonLimits {
    containers: 4,
    values: 5,
    depth: 3,
};

/// Guards against text in strings that counts as structure, and against limits that are off by one.
#[rstest]
#[case::empty("", Ok((0, 0)))]
#[case::text(r#"{"a":"[{,\"[,"}"#, Ok((1, 0)))]
#[case::escaped_end(r#"["\\",1]"#, Ok((1, 1)))]
#[case::unfinished_text(r#"["[[[[[["#, Ok((1, 0)))]
#[case::most_containers("[[],[],[]]", Ok((4, 2)))]
#[case::too_many_containers("[[],[],[],[]]", Err(JsonExcess::Containers))]
#[case::most_values("[1,2,3,4,5,6]", Ok((1, 5)))]
#[case::too_many_values("[1,2,3,4,5,6,7]", Err(JsonExcess::Values))]
#[case::deepest("[[[]]]", Ok((3, 0)))]
#[case::too_deep("[[[[]]]]", Err(JsonExcess::Depth))]
fn structure_is_measured(#[case] body: &str, #[case] expected: Result<(usize, usize), JsonExcess>) {
    let expected = expected.map(|(containers, values)| JsonSize { containers, values });
    assert_eq!(measure_json(body.as_bytes(), LIMITS), expected);
}
