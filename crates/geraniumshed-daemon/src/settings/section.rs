//! Short forms for the kinds of fields that settings have.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

use geraniumshed_model::prelude::{MemorySize, TimeSpan};
use geraniumshed_wire::document::{
    IntegerField, ParseContext, ParsedField, RangeField, SectionReader,
};

/// What an address may look like.
const ADDRESS_RULE: &str = "an IP number and a port, such as `10.0.0.7:8080`";
/// The longest time that a setting may name.
const SPAN_MAX: Duration = Duration::from_hours(24);

/// A section with the context that its fields are read in.
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

    /// Reads an address that has to be there.
    pub(super) fn address(&mut self, name: &str) -> Option<SocketAddr> {
        self.section
            .required(name, &ParsedField::new(ADDRESS_RULE), self.context)
    }

    /// Reads an address that may be missing.
    #[expect(
        clippy::option_option,
        reason = "missing and wrong values are told apart"
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

    /// Reads a time.
    pub(super) fn span(&mut self, name: &str, default: Duration) -> Option<Duration> {
        let rule = RangeField(TimeSpan(Duration::from_millis(1))..=TimeSpan(SPAN_MAX));
        let span = self
            .section
            .defaulted(name, &rule, TimeSpan(default), self.context)?;
        Some(span.0)
    }

    /// Reads a size in bytes.
    pub(super) fn bytes(&mut self, name: &str, default: u64) -> Option<u64> {
        let rule = RangeField(MemorySize(1)..=MemorySize(1_000_000_000_000));
        let size = self
            .section
            .defaulted(name, &rule, MemorySize(default), self.context)?;
        Some(size.0)
    }

    /// Reads a size in bytes of what is held in memory.
    pub(super) fn buffer(&mut self, name: &str, default: usize) -> Option<usize> {
        let size = self.bytes(name, u64::try_from(default).unwrap_or(u64::MAX))?;
        usize::try_from(size).ok()
    }

    /// Reads a whole number.
    pub(super) fn whole(
        &mut self,
        name: &str,
        range: RangeInclusive<u32>,
        default: u32,
    ) -> Option<u32> {
        self.section
            .defaulted(name, &IntegerField(range), default, self.context)
    }

    /// Reads a number of things that are held at once.
    pub(super) fn number(&mut self, name: &str, default: usize) -> Option<usize> {
        let default = u32::try_from(default).unwrap_or(u32::MAX);
        let number = self.whole(name, 1..=1_000_000, default)?;
        usize::try_from(number).ok()
    }

    /// Reports a rule that several fields break together.
    pub(super) fn report(&mut self, name: &str, problem: &str, hint: &str) {
        self.section.report(name, problem, hint, self.context);
    }

    /// Reports fields that were never asked for.
    pub(super) fn close(self) {
        self.section.close(self.context);
    }
}
