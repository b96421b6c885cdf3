//! The limits on what callers may hold of the process.

use geraniumshed_gate::{GateSettings, descriptor_limit};

use super::settings::EntrySettings;

/// The part of the descriptors for callers' connections. The others are for endpoints, the log, peers,
/// workers and operators.
const DESCRIPTOR_PART: usize = 2;
/// The HTTP library's header limit as a multiple of [`EntrySettings::header_limit`]. It is higher, so
/// that the daemon's own check fails first, whose answer explains the error.
const HEADER_LIMIT_FACTOR: usize = 2;
/// The minimum of the HTTP library's header limit, in bytes, which the library sets.
const HEADER_BUFFER_MIN: usize = 8192;

/// Returns the settings of the callers' gate.
pub(super) fn gate_settings(settings: &EntrySettings) -> GateSettings {
    let header_bytes = (settings.header_limit * HEADER_LIMIT_FACTOR).max(HEADER_BUFFER_MIN);
    let descriptors = descriptor_limit().map_or(usize::MAX, |limit| limit / DESCRIPTOR_PART);
    GateSettings {
        peer: "caller",
        memory_limit: settings.request_total,
        // Larger bodies are streamed to their endpoints, and not kept.
        connection_memory: header_bytes + settings.buffer_limit,
        connection_limit: settings.connection_limit.min(descriptors),
        header_bytes,
        header_count: settings.header_count,
        header_timeout: settings.header_timeout,
        body_timeout: settings.body_timeout,
        idle_timeout: settings.caller_idle_timeout,
        write_timeout: settings.write_timeout,
    }
}
