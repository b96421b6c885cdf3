//! Rules for the values of fields.

use std::fmt::Display;
use std::marker::PhantomData;
use std::ops::RangeInclusive;
use std::str::FromStr;

use smol_str::{SmolStr, format_smolstr};

use super::node::NodeValue;

/// A value that breaks its rule: what is wrong and what can be done about it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BrokenRule {
    /// What is wrong.
    pub problem: SmolStr,
    /// What the reader can do about it.
    pub hint: SmolStr,
}

impl BrokenRule {
    /// Creates a report of a broken rule.
    pub fn new(problem: impl Into<SmolStr>, hint: impl Into<SmolStr>) -> Self {
        Self {
            problem: problem.into(),
            hint: hint.into(),
        }
    }
}

/// A rule for the value of a field.
pub trait FieldRule {
    /// What the field's value becomes.
    type Value;

    /// Returns what is allowed, for the reader of an error.
    fn allowed(&self) -> SmolStr;

    /// Reads the value of a node.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the value.
    fn read(&self, value: &NodeValue) -> Result<Self::Value, BrokenRule>;
}

/// A whole number within a range.
#[derive(Debug, Clone)]
pub struct WholeField(pub RangeInclusive<u32>);

impl FieldRule for WholeField {
    type Value = u32;

    fn allowed(&self) -> SmolStr {
        format_smolstr!("whole numbers from {} to {}", self.0.start(), self.0.end())
    }

    fn read(&self, value: &NodeValue) -> Result<u32, BrokenRule> {
        let NodeValue::Whole(number) = value else {
            return Err(BrokenRule::new(
                "is not a whole number",
                "write digits only, without quotes or a unit",
            ));
        };
        u32::try_from(*number)
            .ok()
            .filter(|number| self.0.contains(number))
            .ok_or_else(|| BrokenRule::new("is out of range", ""))
    }
}

/// A number of up to three decimals within a range, read in thousandths.
#[derive(Debug, Clone)]
pub struct MilliField(pub RangeInclusive<u32>);

impl FieldRule for MilliField {
    type Value = u32;

    fn allowed(&self) -> SmolStr {
        let (low, high) = (f64::from(*self.0.start()), f64::from(*self.0.end()));
        format_smolstr!("numbers from {} to {}", low / 1000.0, high / 1000.0)
    }

    fn read(&self, value: &NodeValue) -> Result<u32, BrokenRule> {
        let text = match value {
            NodeValue::Whole(number) => number.to_string(),
            NodeValue::Decimal(number) => number.to_string(),
            _ => {
                return Err(BrokenRule::new(
                    "is not a number",
                    "write a plain number such as `2` or `0.5`, without quotes or a unit",
                ));
            }
        };
        let milli = parse_milli(&text).ok_or_else(|| {
            BrokenRule::new("is not a number of up to three decimals", "round it")
        })?;
        if !self.0.contains(&milli) {
            return Err(BrokenRule::new("is out of range", ""));
        }
        Ok(milli)
    }
}

/// Reads a decimal number of up to three decimals in thousandths.
fn parse_milli(text: &str) -> Option<u32> {
    let (whole, fraction) = text.split_once('.').unwrap_or((text, ""));
    if fraction.len() > 3 {
        return None;
    }
    let fraction: u32 = format!("{fraction:0<3}").parse().ok()?;
    let whole: u32 = whole.parse().ok()?;
    whole.checked_mul(1000)?.checked_add(fraction)
}

/// Text that a type parses, such as a name or an address.
#[derive(Debug)]
pub struct ParsedField<T> {
    allowed: &'static str,
    parsed: PhantomData<fn() -> T>,
}

impl<T> ParsedField<T> {
    /// Creates a rule with what is allowed.
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

    fn read(&self, value: &NodeValue) -> Result<T, BrokenRule> {
        let text = scalar_text(value)?;
        text.parse()
            .map_err(|_| BrokenRule::new("is not valid here", ""))
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

    fn read(&self, value: &NodeValue) -> Result<T, BrokenRule> {
        let text = scalar_text(value)?;
        let parsed: T = text.parse().map_err(|error: T::Err| {
            let text = error.to_string();
            let hint = text.split_once(": ").map_or("", |(_, hint)| hint);
            BrokenRule::new("can't be read", hint)
        })?;
        if !self.0.contains(&parsed) {
            return Err(BrokenRule::new("is out of range", ""));
        }
        Ok(parsed)
    }
}

/// A truth value.
#[derive(Debug, Clone, Copy)]
pub struct FlagField;

impl FieldRule for FlagField {
    type Value = bool;

    fn allowed(&self) -> SmolStr {
        SmolStr::new_static("true or false")
    }

    fn read(&self, value: &NodeValue) -> Result<bool, BrokenRule> {
        match value {
            NodeValue::Flag(flag) => Ok(*flag),
            _ => Err(BrokenRule::new("is not a truth value", "leave quotes out")),
        }
    }
}

/// One of a few words.
#[derive(Debug, Clone, Copy)]
pub struct ChoiceField<T: 'static>(pub &'static [(&'static str, T)]);

impl<T: Clone> FieldRule for ChoiceField<T> {
    type Value = T;

    fn allowed(&self) -> SmolStr {
        let words: Vec<_> = self.0.iter().map(|(word, _)| *word).collect();
        SmolStr::new(words.join(", "))
    }

    fn read(&self, value: &NodeValue) -> Result<T, BrokenRule> {
        let text = scalar_text(value)?;
        let words = self.0.iter().map(|(word, _)| *word);
        self.0
            .iter()
            .find(|(word, _)| *word == text)
            .map(|(_, choice)| choice.clone())
            .ok_or_else(|| BrokenRule::new("is not one of the choices", suggest(&text, words)))
    }
}

/// Text of a limited length.
#[derive(Debug, Clone, Copy)]
pub struct TextField {
    /// The length in bytes that the text may have at most.
    pub limit: usize,
}

impl FieldRule for TextField {
    type Value = SmolStr;

    fn allowed(&self) -> SmolStr {
        format_smolstr!("text of 1 to {} bytes", self.limit)
    }

    fn read(&self, value: &NodeValue) -> Result<SmolStr, BrokenRule> {
        let text = scalar_text(value)?;
        if text.trim().is_empty() {
            return Err(BrokenRule::new("is empty", ""));
        }
        if text.len() > self.limit {
            return Err(BrokenRule::new("is too long", "shorten it"));
        }
        Ok(text)
    }
}

/// Returns the text of a node that holds text or a whole number.
fn scalar_text(value: &NodeValue) -> Result<SmolStr, BrokenRule> {
    match value {
        NodeValue::Text(text) => Ok(text.clone()),
        NodeValue::Whole(number) => Ok(SmolStr::new(number.to_string())),
        NodeValue::Flag(_) | NodeValue::Decimal(_) => {
            Err(BrokenRule::new("is not text", "put it in quotes"))
        }
        NodeValue::Null => Err(BrokenRule::new("is empty", "give a value")),
        NodeValue::List(_) | NodeValue::Section(_) => {
            Err(BrokenRule::new("is not a single value", "give one value"))
        }
    }
}

/// Returns a hint that names the closest of the known words.
pub(super) fn suggest<'a>(found: &str, known: impl Iterator<Item = &'a str>) -> SmolStr {
    /// The number of changed letters up to which a word counts as meant.
    const DISTANCE_LIMIT: usize = 3;
    known
        .map(|word| (edit_distance(found, word), word))
        .filter(|(distance, word)| *distance <= DISTANCE_LIMIT && *distance < word.len())
        .min()
        .map_or(SmolStr::default(), |(_, word)| {
            format_smolstr!("did you mean `{word}`?")
        })
}

/// Returns the number of letters that have to be changed, added or left out.
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
