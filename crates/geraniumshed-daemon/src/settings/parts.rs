//! Readers of the sections that other modules define.

use geraniumshed_core::schedule::SchedulerSettings;
use geraniumshed_wire::document::{ParseContext, SectionReader};

use super::field_reader::FieldReader;
use crate::log::LogSettings;
use crate::request::EntrySettings;

/// The minimum number of renewals within one lease, so that one may fail.
const LEASE_RENEWALS: u32 = 2;

/// Reads the settings of the request path.
pub(super) fn read_entry(
    root: &mut SectionReader<'_>,
    context: &mut ParseContext,
) -> Option<EntrySettings> {
    let default = EntrySettings::default();
    let mut reader = FieldReader::open(root, "callers", context);
    let listen = reader.address("listen");
    let connection_limit = reader.count("connection_limit", default.connection_limit);
    let header_limit = reader.buffer_size("header_limit", default.header_limit);
    let header_count = reader.count("header_count", default.header_count);
    let request_total = reader.buffer_size("request_total", default.request_total);
    let caller_idle_timeout = reader.duration("caller_idle_timeout", default.caller_idle_timeout);
    let write_timeout = reader.duration("write_timeout", default.write_timeout);
    let body_limit = reader.bytes("body_limit", default.body_limit);
    let buffer_limit = reader.buffer_size("buffer_limit", default.buffer_limit);
    let buffer_total = reader.buffer_size("buffer_total", default.buffer_total);
    let header_timeout = reader.duration("header_timeout", default.header_timeout);
    let body_timeout = reader.duration("body_timeout", default.body_timeout);
    let connect_timeout = reader.duration("connect_timeout", default.connect_timeout);
    let progress_timeout = reader.duration("progress_timeout", default.progress_timeout);
    let idle_timeout = reader.duration("idle_timeout", default.idle_timeout);
    let answer_window = reader.duration("answer_window", default.answer_window);
    let answer_total = reader.buffer_size("answer_total", default.answer_total);
    let keyed_answer_limit = reader.buffer_size("keyed_answer_limit", default.keyed_answer_limit);
    let ticket_lifetime = reader.duration("ticket_lifetime", default.ticket_lifetime);
    let key_append_interval = reader.duration("key_append_interval", default.key_append_interval);
    let zone_distance = reader.duration("zone_distance", default.zone_distance);
    let drain_notice = reader.duration("drain_notice", default.drain_notice);
    let drain_limit = reader.duration("drain_limit", default.drain_limit);
    reader.close();
    Some(EntrySettings {
        listen: listen?,
        connection_limit: connection_limit?,
        header_limit: header_limit?,
        header_count: header_count?,
        request_total: request_total?,
        caller_idle_timeout: caller_idle_timeout?,
        write_timeout: write_timeout?,
        body_limit: body_limit?,
        buffer_limit: buffer_limit?,
        buffer_total: buffer_total?,
        header_timeout: header_timeout?,
        body_timeout: body_timeout?,
        connect_timeout: connect_timeout?,
        progress_timeout: progress_timeout?,
        idle_timeout: idle_timeout?,
        answer_window: answer_window?,
        answer_total: answer_total?,
        keyed_answer_limit: keyed_answer_limit?,
        ticket_lifetime: ticket_lifetime?,
        key_append_interval: key_append_interval?,
        zone_distance: zone_distance?,
        drain_notice: drain_notice?,
        drain_limit: drain_limit?,
        key_shards: default.key_shards,
        tracing: default.tracing,
    })
}

/// Reads the settings of the log's followers and writers.
pub(super) fn read_log(
    root: &mut SectionReader<'_>,
    context: &mut ParseContext,
) -> Option<LogSettings> {
    let default = LogSettings::default();
    let mut reader = FieldReader::open(root, "log", context);
    let poll_wait = reader.duration("poll_wait", default.poll_wait);
    let append_rate = reader.integer("append_rate", 1..=10_000, default.append_rate);
    let append_burst = reader.integer("append_burst", 1..=10_000, default.append_burst);
    let append_patience = reader.duration("append_patience", default.append_patience);
    let retry_floor = reader.duration("retry_floor", default.retry_floor);
    let retry_ceiling = reader.duration("retry_ceiling", default.retry_ceiling);
    let batch_limit = reader.count("batch_limit", default.batch_limit);
    let queue_limit = reader.count("queue_limit", default.queue_limit);
    if let (Some(floor), Some(ceiling)) = (retry_floor, retry_ceiling)
        && floor > ceiling
    {
        reader.report(
            "retry_floor",
            "is longer than `retry_ceiling`",
            "swap the two",
        );
    }
    reader.close();
    Some(LogSettings {
        poll_wait: poll_wait?,
        append_rate: append_rate?,
        append_burst: append_burst?,
        append_patience: append_patience?,
        retry_floor: retry_floor?,
        retry_ceiling: retry_ceiling?,
        batch_limit: batch_limit?,
        queue_limit: queue_limit?,
    })
}

/// Reads the settings of the scheduler.
pub(super) fn read_scheduler(
    root: &mut SectionReader<'_>,
    context: &mut ParseContext,
) -> Option<SchedulerSettings> {
    let default = SchedulerSettings::default();
    let mut reader = FieldReader::open(root, "scheduler", context);
    let lease = reader.duration("lease", default.lease);
    let renewal = reader.duration("renewal", default.renewal);
    let active_poll = reader.duration("active_poll", default.active_poll);
    let end_poll = reader.duration("end_poll", default.end_poll);
    let call_retry = reader.duration("call_retry", default.call_retry);
    let inventory_wait = reader.duration("inventory_wait", default.inventory_wait);
    let list_lag = reader.duration("list_lag", default.list_lag);
    let config_lag = reader.duration("config_lag", default.config_lag);
    let drift_margin = reader.duration("drift_margin", default.drift_margin);
    let pause_limit = reader.duration("pause_limit", default.pause_limit);
    let service_grace = reader.duration("service_grace", default.service_grace);
    let batch_grace = reader.duration("batch_grace", default.batch_grace);
    let replace_wait = reader.duration("replace_wait", default.replace_wait);
    let leave_wait = reader.duration("leave_wait", default.leave_wait);
    let preempt_grace = reader.duration("preempt_grace", default.preempt_grace);
    let urgent_poll = reader.duration("urgent_poll", default.urgent_poll);
    let move_after = reader.duration("move_after", default.move_after);
    let endpoint_refresh = reader.duration("endpoint_refresh", default.endpoint_refresh);
    let progress_interval = reader.duration("progress_interval", default.progress_interval);
    let usage_interval = reader.duration("usage_interval", default.usage_interval);
    let quarantine_jobs = reader.count("quarantine_jobs", default.quarantine_jobs);
    let probe_after = reader.duration("probe_after", default.probe_after);
    if let (Some(lease), Some(renewal)) = (lease, renewal)
        && renewal * LEASE_RENEWALS > lease
    {
        reader.report(
            "renewal",
            "leaves no time for a second attempt before the lease ends",
            "renew at least twice within a lease",
        );
    }
    reader.close();
    Some(SchedulerSettings {
        lease: lease?,
        renewal: renewal?,
        active_poll: active_poll?,
        end_poll: end_poll?,
        call_retry: call_retry?,
        inventory_wait: inventory_wait?,
        list_lag: list_lag?,
        config_lag: config_lag?,
        drift_margin: drift_margin?,
        pause_limit: pause_limit?,
        service_grace: service_grace?,
        batch_grace: batch_grace?,
        replace_wait: replace_wait?,
        leave_wait: leave_wait?,
        preempt_grace: preempt_grace?,
        urgent_poll: urgent_poll?,
        move_after: move_after?,
        endpoint_refresh: endpoint_refresh?,
        progress_interval: progress_interval?,
        usage_interval: usage_interval?,
        quarantine_jobs: quarantine_jobs?,
        probe_after: probe_after?,
        interference: default.interference,
        latency_control: default.latency_control,
        policy: default.policy,
        rules: default.rules,
    })
}
