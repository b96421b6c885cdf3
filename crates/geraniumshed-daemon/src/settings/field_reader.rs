//! Readers of the types of fields that settings have.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

use geraniumshed_model::prelude::{MemorySize, TimeSpan};
use geraniumshed_wire::document::{
    IntegerField, ParseContext, ParsedField, RangeField, SectionReader,
};

/// The description of valid addresses.
const ADDRESS_RULE: &str = "an IP number and a port, such as `10.0.0.7:8080`";
/// The maximum duration in settings.
const DURATION_MAX: Duration = Duration::from_hours(24);

/// A section, with the context in which its fields are read.
#[derive(Debug)]
pub(super) struct FieldReader<'a, 'c> {
    pub(super) section: SectionReader<'a>,
    pub(super) context: &'c mut ParseContext,
}

impl<'a, 'c> FieldReader<'a, 'c> {
    /// Opens a section of the document.
    pub(super) fn open(
        root: &mut SectionReader<'a>,
        name: &str,
        context: &'c mut ParseContext,
    ) -> Self {
        Self {
            section: root.section(name, context),
            context,
        }
    }

    /// Reads a required address.
    pub(super) fn address(&mut self, name: &str) -> Option<SocketAddr> {
        self.section
            .required(name, &ParsedField::new(ADDRESS_RULE), self.context)
    }

    /// Reads an optional address.
    #[expect(
        clippy::option_option,
        reason = "missing and invalid values are distinguished"
    )]
    pub(super) fn optional_address(&mut self, name: &str) -> Option<Option<SocketAddr>> {
        self.section
            .optional(name, &ParsedField::new(ADDRESS_RULE), self.context)
    }

    /// Reads a list of addresses.
    pub(super) fn addresses(&mut self, name: &str) -> Option<Vec<SocketAddr>> {
        self.section
            .list(name, &ParsedField::new(ADDRESS_RULE), self.context)
    }

    /// Reads a duration.
    pub(super) fn duration(&mut self, name: &str, default: Duration) -> Option<Duration> {
        let rule = RangeField(TimeSpan(Duration::from_millis(1))..=TimeSpan(DURATION_MAX));
        let duration = self
            .section
            .defaulted(name, &rule, TimeSpan(default), self.context)?;
        Some(duration.0)
    }

    /// Reads a size in bytes.
    pub(super) fn bytes(&mut self, name: &str, default: u64) -> Option<u64> {
        let rule = RangeField(MemorySize(1)..=MemorySize(1_000_000_000_000));
        let size = self
            .section
            .defaulted(name, &rule, MemorySize(default), self.context)?;
        Some(size.0)
    }

    /// Reads the size in bytes of a buffer in memory.
    pub(super) fn buffer_size(&mut self, name: &str, default: usize) -> Option<usize> {
        let size = self.bytes(name, u64::try_from(default).unwrap_or(u64::MAX))?;
        usize::try_from(size).ok()
    }

    /// Reads an integer.
    pub(super) fn integer(
        &mut self,
        name: &str,
        range: RangeInclusive<u32>,
        default: u32,
    ) -> Option<u32> {
        self.section
            .defaulted(name, &IntegerField(range), default, self.context)
    }

    /// Reads a count, which is at least one.
    pub(super) fn count(&mut self, name: &str, default: usize) -> Option<usize> {
        let default = u32::try_from(default).unwrap_or(u32::MAX);
        let count = self.integer(name, 1..=1_000_000, default)?;
        usize::try_from(count).ok()
    }

    /// Reports a problem that results from several fields.
    pub(super) fn report(&mut self, name: &str, problem: &str, hint: &str) {
        self.section.report(name, problem, hint, self.context);
    }

    /// Reports fields of the section that are not known.
    pub(super) fn close(self) {
        self.section.close(self.context);
    }
}
