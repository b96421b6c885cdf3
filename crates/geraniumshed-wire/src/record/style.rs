//! The notation of sizes and durations in the two schemas.

use std::ops::RangeInclusive;

use geraniumshed_model::prelude::{
    AcceleratorCount, MemorySize, ProcessorShare, ResourceSize, SchemaVersion, TimeSpan,
    whole_millis,
};
use serde_json::{Map, Value};
use smol_str::{SmolStr, format_smolstr};

use crate::document::{IntegerField, MilliField, ParseContext, RangeField, SectionReader};

/// The maximum processors of a task or a quota, in thousandths of a processor.
const PROCESSOR_LIMIT_MILLI: u32 = 100_000_000;
/// The maximum memory of a task or a quota, in megabytes.
const MEMORY_LIMIT_MB: u32 = 1_000_000_000;
/// The maximum number of accelerators of a task or a quota.
const ACCELERATOR_LIMIT: u32 = 100_000;
/// The number of bytes in a megabyte.
const BYTES_PER_MB: u64 = 1_000_000;

/// The fields of a JSON object.
pub(super) type FieldMap = Map<String, Value>;

/// The notation of sizes and durations in a schema.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UnitStyle {
    /// Schema 1: plain numbers, with memory in megabytes and durations in milliseconds.
    Plain,
    /// Schema 2: numbers with units.
    Units,
}

impl UnitStyle {
    /// Returns the notation of a schema, or `None` if the schema is unknown.
    pub fn of(schema: SchemaVersion) -> Option<Self> {
        match schema {
            SchemaVersion::V1 => Some(Self::Plain),
            SchemaVersion::V2 => Some(Self::Units),
            _ => None,
        }
    }

    /// Returns the name of a duration field in this notation.
    pub fn span_name(self, name: &str) -> SmolStr {
        match self {
            Self::Plain => format_smolstr!("{name}_ms"),
            Self::Units => SmolStr::new(name),
        }
    }
}

/// Reads the fields of a size.
pub(super) fn read_size(
    section: &mut SectionReader<'_>,
    style: UnitStyle,
    context: &mut ParseContext,
) -> Option<ResourceSize> {
    let (processors, memory) = match style {
        UnitStyle::Plain => {
            let rule = MilliField(1..=PROCESSOR_LIMIT_MILLI);
            let processors = section.required("cpus", &rule, context);
            let rule = IntegerField(1..=MEMORY_LIMIT_MB);
            let memory = section.required("memory_mb", &rule, context);
            (
                processors.map(ProcessorShare),
                memory.map(|number| MemorySize(u64::from(number) * BYTES_PER_MB)),
            )
        }
        UnitStyle::Units => {
            let rule = RangeField(ProcessorShare(1)..=ProcessorShare(PROCESSOR_LIMIT_MILLI));
            let processors = section.required("processors", &rule, context);
            let limit = MemorySize(u64::from(MEMORY_LIMIT_MB) * BYTES_PER_MB);
            let memory = section.required(
                "memory",
                &RangeField(MemorySize(BYTES_PER_MB)..=limit),
                context,
            );
            (processors, memory)
        }
    };
    let rule = IntegerField(0..=ACCELERATOR_LIMIT);
    let accelerators = section.defaulted("accelerators", &rule, 0, context);
    Some(ResourceSize {
        processors: processors?,
        memory: memory?,
        accelerators: AcceleratorCount(accelerators?),
    })
}

/// Reads an optional duration. The outer `None` means that the value is invalid.
#[expect(
    clippy::option_option,
    reason = "missing and invalid values are distinguished"
)]
pub(super) fn read_span(
    section: &mut SectionReader<'_>,
    name: &str,
    range: RangeInclusive<TimeSpan>,
    style: UnitStyle,
    context: &mut ParseContext,
) -> Option<Option<TimeSpan>> {
    let name = style.span_name(name);
    match style {
        UnitStyle::Plain => {
            let limit = u32::try_from(range.end().0.as_millis()).unwrap_or(u32::MAX);
            let found = section.optional(&name, &IntegerField(1..=limit), context)?;
            Some(found.map(|millis| TimeSpan(std::time::Duration::from_millis(millis.into()))))
        }
        UnitStyle::Units => section.optional(&name, &RangeField(range), context),
    }
}

/// Writes the fields of a size.
pub(super) fn write_size(fields: &mut FieldMap, size: &ResourceSize, style: UnitStyle) {
    match style {
        UnitStyle::Plain => {
            let milli = size.processors.0;
            let cpus = if milli.is_multiple_of(1000) {
                Value::from(milli / 1000)
            } else {
                Value::from(f64::from(milli) / 1000.0)
            };
            fields.insert("cpus".into(), cpus);
            fields.insert("memory_mb".into(), (size.memory.0 / BYTES_PER_MB).into());
        }
        UnitStyle::Units => {
            fields.insert("processors".into(), size.processors.to_string().into());
            fields.insert("memory".into(), size.memory.to_string().into());
        }
    }
    if size.accelerators.0 > 0 {
        fields.insert("accelerators".into(), size.accelerators.0.into());
    }
}

/// Writes a duration.
pub(super) fn write_span(fields: &mut FieldMap, name: &str, span: TimeSpan, style: UnitStyle) {
    let value = match style {
        UnitStyle::Plain => Value::from(whole_millis(span.0)),
        UnitStyle::Units => Value::from(span.to_string()),
    };
    fields.insert(style.span_name(name).into(), value);
}
