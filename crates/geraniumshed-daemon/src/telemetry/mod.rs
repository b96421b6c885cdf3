//! Metrics and traces.
