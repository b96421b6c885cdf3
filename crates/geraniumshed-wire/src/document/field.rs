//! Rules for the values of fields.

use std::fmt::Display;
use std::marker::PhantomData;
use std::ops::RangeInclusive;
use std::str::FromStr;

use smol_str::{SmolStr, format_smolstr};

use super::node::NodeValue;

/// The error for a value that violates its field's rule.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RuleViolation {
    /// The description of the problem, which follows the value in messages.
    pub problem: SmolStr,
    /// How to resolve the problem; may be empty.
    pub hint: SmolStr,
}

impl RuleViolation {
    /// Creates an error from a description and a hint.
    pub fn new(problem: impl Into<SmolStr>, hint: impl Into<SmolStr>) -> Self {
        Self {
            problem: problem.into(),
            hint: hint.into(),
        }
    }
}

/// A rule for the value of a field.
pub trait FieldRule {
    /// The type that the value is converted to.
    type Value;

    /// Returns a description of the allowed values, for error messages.
    fn allowed(&self) -> SmolStr;

    /// Converts the value of a node.
    ///
    /// # Errors
    ///
    /// Returns an error if the value violates the rule.
    fn read(&self, value: &NodeValue) -> Result<Self::Value, RuleViolation>;
}

/// An integer within a range.
#[derive(Debug, Clone)]
pub struct IntegerField(pub RangeInclusive<u32>);

impl FieldRule for IntegerField {
    type Value = u32;

    fn allowed(&self) -> SmolStr {
        format_smolstr!("whole numbers from {} to {}", self.0.start(), self.0.end())
    }

    fn read(&self, value: &NodeValue) -> Result<u32, RuleViolation> {
        let NodeValue::Integer(number) = value else {
            return Err(RuleViolation::new(
                "is not a whole number",
                "write digits only, without quotes or a unit",
            ));
        };
        u32::try_from(*number)
            .ok()
            .filter(|number| self.0.contains(number))
            .ok_or_else(|| RuleViolation::new("is out of range", ""))
    }
}

/// A number with up to three decimals within a range, converted to thousandths.
#[derive(Debug, Clone)]
pub struct MilliField(pub RangeInclusive<u32>);

impl FieldRule for MilliField {
    type Value = u32;

    fn allowed(&self) -> SmolStr {
        let (low, high) = (f64::from(*self.0.start()), f64::from(*self.0.end()));
        format_smolstr!("numbers from {} to {}", low / 1000.0, high / 1000.0)
    }

    fn read(&self, value: &NodeValue) -> Result<u32, RuleViolation> {
        let text = match value {
            NodeValue::Integer(number) => number.to_string(),
            NodeValue::Float(number) => number.to_string(),
            _ => {
                return Err(RuleViolation::new(
                    "is not a number",
                    "write a plain number such as `2` or `0.5`, without quotes or a unit",
                ));
            }
        };
        let milli = parse_milli(&text).ok_or_else(|| {
            RuleViolation::new(
                "is not a number of up to three decimals",
                "round it to three decimals",
            )
        })?;
        if !self.0.contains(&milli) {
            return Err(RuleViolation::new("is out of range", ""));
        }
        Ok(milli)
    }
}

/// Parses a number with up to three decimals, and returns it in thousandths.
fn parse_milli(text: &str) -> Option<u32> {
    let (whole, fraction) = text.split_once('.').unwrap_or((text, ""));
    if fraction.len() > 3 {
        return None;
    }
    let fraction: u32 = format!("{fraction:0<3}").parse().ok()?;
    let whole: u32 = whole.parse().ok()?;
    whole.checked_mul(1000)?.checked_add(fraction)
}

/// Text that is parsed to a type, such as a name or an address.
#[derive(Debug)]
pub struct ParsedField<T> {
    allowed: &'static str,
    parsed: PhantomData<fn() -> T>,
}

impl<T> ParsedField<T> {
    /// Creates a rule with a description of the allowed text.
    pub const fn new(allowed: &'static str) -> Self {
        Self {
            allowed,
            parsed: PhantomData,
        }
    }
}

impl<T: FromStr> FieldRule for ParsedField<T> {
    type Value = T;

    fn allowed(&self) -> SmolStr {
        SmolStr::new_static(self.allowed)
    }

    fn read(&self, value: &NodeValue) -> Result<T, RuleViolation> {
        let text = scalar_text(value)?;
        text.parse()
            .map_err(|_| RuleViolation::new("is not valid here", ""))
    }
}

/// A value with a unit, within a range.
#[derive(Debug, Clone)]
pub struct RangeField<T>(pub RangeInclusive<T>);

impl<T: FromStr + Display + PartialOrd> FieldRule for RangeField<T>
where
    T::Err: Display,
{
    type Value = T;

    fn allowed(&self) -> SmolStr {
        format_smolstr!("from {} to {}", self.0.start(), self.0.end())
    }

    fn read(&self, value: &NodeValue) -> Result<T, RuleViolation> {
        let text = scalar_text(value)?;
        let parsed: T = text.parse().map_err(|error: T::Err| {
            let text = error.to_string();
            let hint = text.split_once(": ").map_or("", |(_, hint)| hint);
            RuleViolation::new("can't be read", hint)
        })?;
        if !self.0.contains(&parsed) {
            return Err(RuleViolation::new("is out of range", ""));
        }
        Ok(parsed)
    }
}

/// A boolean.
#[derive(Debug, Clone, Copy)]
pub struct BoolField;

impl FieldRule for BoolField {
    type Value = bool;

    fn allowed(&self) -> SmolStr {
        SmolStr::new_static("true or false")
    }

    fn read(&self, value: &NodeValue) -> Result<bool, RuleViolation> {
        match value {
            NodeValue::Bool(flag) => Ok(*flag),
            _ => Err(RuleViolation::new("is not a boolean", "remove the quotes")),
        }
    }
}

/// One of a fixed list of words.
#[derive(Debug, Clone, Copy)]
pub struct ChoiceField<T: 'static>(pub &'static [(&'static str, T)]);

impl<T: Clone> FieldRule for ChoiceField<T> {
    type Value = T;

    fn allowed(&self) -> SmolStr {
        let words: Vec<_> = self.0.iter().map(|(word, _)| *word).collect();
        SmolStr::new(words.join(", "))
    }

    fn read(&self, value: &NodeValue) -> Result<T, RuleViolation> {
        let text = scalar_text(value)?;
        let words = self.0.iter().map(|(word, _)| *word);
        self.0
            .iter()
            .find(|(word, _)| *word == text)
            .map(|(_, choice)| choice.clone())
            .ok_or_else(|| RuleViolation::new("is not one of the choices", suggest(&text, words)))
    }
}

/// Text of a limited length.
#[derive(Debug, Clone, Copy)]
pub struct TextField {
    /// The maximum length of the text, in bytes.
    pub limit: usize,
}

impl FieldRule for TextField {
    type Value = SmolStr;

    fn allowed(&self) -> SmolStr {
        format_smolstr!("text of 1 to {} bytes", self.limit)
    }

    fn read(&self, value: &NodeValue) -> Result<SmolStr, RuleViolation> {
        let text = scalar_text(value)?;
        if text.trim().is_empty() {
            return Err(RuleViolation::new("is empty", ""));
        }
        if text.len() > self.limit {
            return Err(RuleViolation::new("is too long", "shorten it"));
        }
        Ok(text)
    }
}

/// Returns the text of a value that is text or an integer.
fn scalar_text(value: &NodeValue) -> Result<SmolStr, RuleViolation> {
    match value {
        NodeValue::Text(text) => Ok(text.clone()),
        NodeValue::Integer(number) => Ok(SmolStr::new(number.to_string())),
        NodeValue::Bool(_) | NodeValue::Float(_) => {
            Err(RuleViolation::new("is not text", "put it in quotes"))
        }
        NodeValue::Null => Err(RuleViolation::new("is empty", "give a value")),
        NodeValue::List(_) | NodeValue::Section(_) => Err(RuleViolation::new(
            "is not a single value",
            "give one value",
        )),
    }
}

/// Returns a hint with the known word that is most similar, or an empty one if none is.
pub(super) fn suggest<'a>(found: &str, known: impl Iterator<Item = &'a str>) -> SmolStr {
    /// The maximum edit distance of a suggested word.
    const DISTANCE_LIMIT: usize = 3;
    known
        .map(|word| (edit_distance(found, word), word))
        .filter(|(distance, word)| *distance <= DISTANCE_LIMIT && *distance < word.len())
        .min()
        .map_or(SmolStr::default(), |(_, word)| {
            format_smolstr!("did you mean `{word}`?")
        })
}

/// Returns the Levenshtein distance of two words.
fn edit_distance(left: &str, right: &str) -> usize {
    let right: Vec<char> = right.chars().collect();
    let mut row: Vec<usize> = (0..=right.len()).collect();
    for (index, letter) in left.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = index + 1;
        for (column, other) in right.iter().enumerate() {
            let replaced = diagonal + usize::from(letter != *other);
            diagonal = row[column + 1];
            row[column + 1] = replaced.min(row[column] + 1).min(diagonal + 1);
        }
    }
    row[right.len()]
}
