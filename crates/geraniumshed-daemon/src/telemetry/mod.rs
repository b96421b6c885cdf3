//! Metrics and traces.

pub mod metric;
pub mod report;
pub mod span;
pub mod trace;

pub use self::metric::{METRIC_LIST, MetricEntry, MetricKind, MetricName, MetricSet};
pub use self::report::{MetricReporter, ReporterHandle};
pub use self::span::{HopName, HopSpan};
pub use self::trace::TraceHandle;
