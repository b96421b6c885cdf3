//! Measures JSON before it is decoded, without allocating.

use std::fmt::{self, Display, Formatter};

/// What a body may contain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct JsonLimits {
    /// The number of objects and lists.
    pub containers: usize,
    /// The number of members of objects and elements of lists.
    pub values: usize,
    /// The depth of nested objects and lists.
    pub depth: usize,
}

/// What a body contains.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct JsonSize {
    /// The number of objects and lists.
    pub containers: usize,
    /// The number of separators between members and elements.
    pub values: usize,
}

/// Which limit a body exceeds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JsonExcess {
    /// The number of objects and lists.
    Containers,
    /// The number of members and elements.
    Values,
    /// The depth.
    Depth,
}

impl Display for JsonExcess {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Containers => "too many objects and lists",
            Self::Values => "too many members and elements",
            Self::Depth => "too deeply nested",
        })
    }
}

/// Measures a body up to the first limit that it exceeds. A body that isn't valid JSON may have any
/// size here; the decoder rejects it.
///
/// # Errors
///
/// Returns the limit that the body exceeds.
pub fn measure_json(body: &[u8], limits: JsonLimits) -> Result<JsonSize, JsonExcess> {
    let mut size = JsonSize::default();
    let mut depth = 0usize;
    let mut bytes = body.iter();
    while let Some(byte) = bytes.next() {
        match byte {
            b'"' => {
                while let Some(byte) = bytes.next() {
                    match byte {
                        b'"' => break,
                        b'\\' => drop(bytes.next()),
                        _ => {}
                    }
                }
            }
            b'{' | b'[' => {
                depth += 1;
                size.containers += 1;
                if depth > limits.depth {
                    return Err(JsonExcess::Depth);
                }
                if size.containers > limits.containers {
                    return Err(JsonExcess::Containers);
                }
            }
            b'}' | b']' => depth = depth.saturating_sub(1),
            b',' => {
                size.values += 1;
                if size.values > limits.values {
                    return Err(JsonExcess::Values);
                }
            }
            _ => {}
        }
    }
    Ok(size)
}
