//! Turns events of the traffic thread and table changes into log lines and metrics.

use std::sync::Arc;
use std::time::Duration;

use directory::TableChange;
use health::OutlierState;
use metrics::{counter, gauge, histogram};
use stdx::time::Timestamp;
use steer::{
    AnswerFailure, Event, FlowKey, Refusal, ResetReason, Table, Upstream, UpstreamId, ZoneId,
};

use crate::logs::RateLimit;
use crate::pin_outbox::OutboxStats;
use crate::traffic::Counts;

/// Maximum lines per second for sent openings and for opened flows, each: the log samples them,
/// metrics count all.
const MAX_SUCCESS_LINES_PER_S: u32 = 10;

/// Maximum lines per second for unanswered openings, refusals, resets, retries, failed answers and
/// state changes, each.
const MAX_FAILURE_LINES_PER_S: u32 = 50;

/// Interval of the lines that report how many were suppressed.
const SUPPRESSED_REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Logs events, rate-limited by kind, and updates the metrics.
#[derive(Debug)]
pub struct EventLogger {
    table: Arc<Table>,
    opened: RateLimit,
    retried: RateLimit,
    accepted: RateLimit,
    unanswered: RateLimit,
    refused: RateLimit,
    reset: RateLimit,
    failed_answers: RateLimit,
    state_changes: RateLimit,
    last_suppressed_report: Timestamp,
    last_counts: Counts,
    last_pin_messages: OutboxStats,
    /// Whether the view of load was lost while there was load; `None` before it was first known.
    load_view_lost: Option<bool>,
}

impl EventLogger {
    /// Creates a logger with an empty table.
    pub fn new() -> Self {
        Self {
            table: Arc::new(Table::default()),
            opened: RateLimit::new(MAX_SUCCESS_LINES_PER_S),
            retried: RateLimit::new(MAX_FAILURE_LINES_PER_S),
            accepted: RateLimit::new(MAX_SUCCESS_LINES_PER_S),
            unanswered: RateLimit::new(MAX_FAILURE_LINES_PER_S),
            refused: RateLimit::new(MAX_FAILURE_LINES_PER_S),
            reset: RateLimit::new(MAX_FAILURE_LINES_PER_S),
            failed_answers: RateLimit::new(MAX_FAILURE_LINES_PER_S),
            state_changes: RateLimit::new(MAX_FAILURE_LINES_PER_S),
            last_suppressed_report: Timestamp::default(),
            last_counts: Counts::default(),
            last_pin_messages: OutboxStats::default(),
            load_view_lost: None,
        }
    }

    /// Sets the table by which upstreams and zones are named in log lines.
    pub fn set_table(&mut self, table: Arc<Table>) {
        self.table = table;
    }

    /// Logs a new table.
    pub fn on_table(&mut self, table: &Table, change: &TableChange) {
        if change.version_before != change.version {
            tracing::info!(
                before = change.version_before,
                version = change.version,
                routes = table.routes.len(),
                "configuration in force"
            );
        }
        gauge!("ibis_configuration_version").set(change.version as f64);
        gauge!("ibis_upstreams_eligible").set(change.eligible as f64);
        gauge!("ibis_entries").set(f64::from(change.entries));
        gauge!("ibis_store_words_held").set(change.held as f64);
        gauge!("ibis_upstreams_contested").set(change.contested as f64);
        tracing::info!(
            version = change.version,
            upstreams = table.upstreams.len(),
            eligible_before = change.eligible_before,
            eligible = change.eligible,
            zones_out = change.zones_out,
            entries = change.entries,
            held = change.held,
            contested = change.contested,
            "table"
        );
        self.log_ended(table);
    }

    /// Logs upstreams that have ended since the last table, and which one has their address now:
    /// resets with the reason `upstream_ended` follow.
    fn log_ended(&self, table: &Table) {
        let had_run = |upstream: &&Upstream| {
            self.table.upstreams.get(&upstream.id).is_some_and(|before| !before.ended)
        };
        let ended = table.upstreams.values().filter(|upstream| upstream.ended).filter(had_run);
        for upstream in ended.take(MAX_FAILURE_LINES_PER_S as usize) {
            let has_address = |other: &&Upstream| other.addr == upstream.addr && !other.ended;
            let taker = table.upstreams.values().find(has_address);
            tracing::info!(
                upstream = self.describe(upstream.id),
                started_ms = upstream.started_ms,
                address_passed_to = taker.map(|taker| format!("{:x}", taker.id.0)),
                taker_started_ms = taker.and_then(|taker| taker.started_ms),
                "upstream ended"
            );
        }
    }

    /// Logs an event of the engine.
    pub fn on_event(&mut self, at: Timestamp, event: &Event) {
        match event {
            Event::OpeningSent { flow, upstream, attempt, waited } => {
                let limit = if *attempt == 0 { &mut self.opened } else { &mut self.retried };
                if limit.allow(at) {
                    let upstream = self.describe(*upstream);
                    let waited_us = waited.as_micros() as u64;
                    let version = self.table.version;
                    let flow = flow_name(flow);
                    tracing::info!(
                        at = at.as_micros(),
                        flow,
                        upstream,
                        attempt,
                        waited_us,
                        version,
                        "opening sent"
                    );
                }
            }
            Event::Accepted { flow, upstream, took } => {
                histogram!("ibis_opening_seconds").record(took.as_secs_f64());
                if self.accepted.allow(at) {
                    let upstream = self.describe(*upstream);
                    let took_us = took.as_micros() as u64;
                    let flow = flow_name(flow);
                    tracing::info!(at = at.as_micros(), flow, upstream, took_us, "flow open");
                }
            }
            Event::Adopted { flow, upstream } => {
                if self.accepted.allow(at) {
                    let upstream = self.describe(*upstream);
                    let flow = flow_name(flow);
                    tracing::info!(at = at.as_micros(), flow, upstream, "flow adopted");
                }
            }
            Event::Unanswered { flow, upstream, attempts } => {
                counter!("ibis_openings_unanswered_total").increment(1);
                if self.unanswered.allow(at) {
                    let upstream = self.describe(*upstream);
                    let flow = flow_name(flow);
                    tracing::warn!(
                        at = at.as_micros(),
                        flow,
                        upstream,
                        attempts,
                        "opening unanswered"
                    );
                }
            }
            Event::Refused { flow, reason } => {
                counter!("ibis_refusals_total", "reason" => reason_name(*reason)).increment(1);
                if self.refused.allow(at) {
                    let version = self.table.version;
                    let flow = flow_name(flow);
                    tracing::warn!(
                        at = at.as_micros(),
                        flow,
                        reason = reason_name(*reason),
                        version,
                        "opening refused"
                    );
                }
            }
            Event::FlowReset { flow, upstream, reason } => {
                self.on_flow_reset(at, flow, *upstream, *reason);
            }
            Event::UpstreamAvoided { upstream } => {
                counter!("ibis_upstreams_avoided_total").increment(1);
                if self.state_changes.allow(at) {
                    let upstream = self.describe(*upstream);
                    tracing::warn!(at = at.as_micros(), upstream, "upstream avoided");
                }
            }
            Event::ZoneAvoided { zone } => {
                if self.state_changes.allow(at) {
                    let zone = self.zone(*zone);
                    tracing::warn!(at = at.as_micros(), zone, "zone avoided");
                }
            }
            Event::AnswerFailed { flow, upstream, failure, waited } => {
                self.on_answer_failed(at, flow, *upstream, *failure, *waited);
            }
            Event::OutlierStateChanged { upstream, state } => {
                self.on_outlier_state(at, *upstream, *state);
            }
            Event::UpstreamRecovered { upstream } => {
                if self.state_changes.allow(at) {
                    let upstream = self.describe(*upstream);
                    tracing::info!(at = at.as_micros(), upstream, "upstream answers again");
                }
            }
        }
    }

    fn on_flow_reset(
        &mut self,
        at: Timestamp,
        flow: &FlowKey,
        upstream: Option<UpstreamId>,
        reason: ResetReason,
    ) {
        let reason = reset_reason_name(reason);
        counter!("ibis_flow_resets_total", "reason" => reason).increment(1);
        if self.reset.allow(at) {
            let upstream = upstream.map(|id| self.describe(id));
            let version = self.table.version;
            let flow = flow_name(flow);
            tracing::warn!(at = at.as_micros(), flow, upstream, reason, version, "flow reset");
        }
    }

    fn on_answer_failed(
        &mut self,
        at: Timestamp,
        flow: &FlowKey,
        upstream: UpstreamId,
        failure: AnswerFailure,
        waited: Duration,
    ) {
        if self.failed_answers.allow(at) {
            let upstream = self.describe(upstream);
            let waited_us = waited.as_micros() as u64;
            let reason = failure_name(failure);
            let flow = flow_name(flow);
            tracing::warn!(at = at.as_micros(), flow, upstream, reason, waited_us, "answer failed");
        }
    }

    fn on_outlier_state(&mut self, at: Timestamp, upstream: UpstreamId, state: OutlierState) {
        let standing = outlier_state_name(state);
        counter!("ibis_upstream_standing_changes_total", "now" => standing).increment(1);
        if self.state_changes.allow(at) {
            let upstream = self.describe(upstream);
            tracing::warn!(at = at.as_micros(), upstream, standing, "upstream judged");
        }
    }

    /// Logs a pause of the traffic thread that ended at `at`.
    pub fn on_pause(&mut self, at: Timestamp, pause: Duration) {
        counter!("ibis_pauses_total").increment(1);
        if self.state_changes.allow(at) {
            let paused_ms = pause.as_millis() as u64;
            tracing::warn!(at = at.as_micros(), paused_ms, "process was paused");
        }
    }

    /// Updates the metrics from the traffic thread's counters and logs the differences.
    pub fn on_counts(&mut self, counts: &Counts) {
        counter!("ibis_packets_received_total").absolute(counts.received);
        counter!("ibis_packets_steered_total").absolute(counts.engine.steered);
        counter!("ibis_packets_corrected_total").absolute(counts.engine.corrected);
        counter!("ibis_flows_adopted_total").absolute(counts.engine.adopted);
        counter!("ibis_flows_pinned_total").absolute(counts.engine.pinned);
        counter!("ibis_flow_lookups_total").absolute(counts.engine.lookups);
        counter!("ibis_flow_inquiries_total").absolute(counts.engine.inquiries);
        counter!("ibis_flow_inquiries_pinned_total").absolute(counts.engine.inquiries_pinned);
        counter!("ibis_flow_inquiries_timed_out_total").absolute(counts.engine.inquiries_timed_out);
        counter!("ibis_openings_total").absolute(counts.engine.openings);
        counter!("ibis_hedges_total").absolute(counts.engine.hedges);
        counter!("ibis_resets_total").absolute(counts.engine.resets);
        counter!("ibis_resets_ahead_total").absolute(counts.engine.resets_ahead);
        counter!("ibis_request_copies_total").absolute(counts.engine.request_copies);
        counter!("ibis_requests_unacknowledged_total")
            .absolute(counts.engine.unacknowledged_requests);
        counter!("ibis_acknowledgements_total", "when" => "at_once")
            .absolute(counts.engine.acknowledged_at_once);
        counter!("ibis_acknowledgements_total", "when" => "late")
            .absolute(counts.engine.acknowledged_late);
        counter!("ibis_stranded_searches_total").absolute(counts.engine.stranded_searches);
        counter!("ibis_answers_failed_total").absolute(counts.engine.answers_failed);
        counter!("ibis_news_lost_total").absolute(counts.updates_lost);
        counter!("ibis_drops_total", "reason" => "malformed").absolute(counts.malformed);
        counter!("ibis_drops_total", "reason" => "no_route").absolute(counts.no_route);
        counter!("ibis_drops_total", "reason" => "unknown_token").absolute(counts.unknown_token);
        counter!("ibis_drops_total", "reason" => "late_copy").absolute(counts.late_copies);
        counter!("ibis_drops_total", "reason" => "held_too_many").absolute(counts.held_dropped);
        counter!("ibis_drops_total", "reason" => "old_opening").absolute(counts.old_openings);
        counter!("ibis_drops_total", "reason" => "unasked").absolute(counts.unasked);
        counter!("ibis_drops_total", "reason" => "not_sent").absolute(counts.send_failed);
        counter!("ibis_log_events_lost_total").absolute(counts.reports_lost);
        gauge!("ibis_openings_remembered").set(counts.tracked_openings as f64);
        gauge!("ibis_loop_gap_seconds").set(counts.loop_gap_us as f64 / 1e6);
        gauge!("ibis_opening_usual_seconds").set(counts.opening_baseline_us as f64 / 1e6);
        self.on_load_view(counts);
        tracing::info!(
            received = counts.received - self.last_counts.received,
            openings = counts.engine.openings - self.last_counts.engine.openings,
            hedges = counts.engine.hedges - self.last_counts.engine.hedges,
            copies = counts.engine.retransmits - self.last_counts.engine.retransmits,
            accepted = counts.engine.accepted - self.last_counts.engine.accepted,
            corrected = counts.engine.corrected - self.last_counts.engine.corrected,
            adopted = counts.engine.adopted - self.last_counts.engine.adopted,
            pinned = counts.engine.pinned - self.last_counts.engine.pinned,
            lookups = counts.engine.lookups - self.last_counts.engine.lookups,
            inquiries = counts.engine.inquiries - self.last_counts.engine.inquiries,
            inquiries_pinned =
                counts.engine.inquiries_pinned - self.last_counts.engine.inquiries_pinned,
            inquiries_timed_out =
                counts.engine.inquiries_timed_out - self.last_counts.engine.inquiries_timed_out,
            refusals = counts.engine.refusals - self.last_counts.engine.refusals,
            request_copies = counts.engine.request_copies - self.last_counts.engine.request_copies,
            unacknowledged = counts.engine.unacknowledged_requests
                - self.last_counts.engine.unacknowledged_requests,
            acknowledged_at_once =
                counts.engine.acknowledged_at_once - self.last_counts.engine.acknowledged_at_once,
            acknowledged_late =
                counts.engine.acknowledged_late - self.last_counts.engine.acknowledged_late,
            unknown_token = counts.unknown_token - self.last_counts.unknown_token,
            held = counts.held - self.last_counts.held,
            old_openings = counts.old_openings - self.last_counts.old_openings,
            opening_us = counts.opening_baseline_us,
            loop_gap_us = counts.loop_gap_us,
            "counts"
        );
        self.last_counts = *counts;
    }

    /// Updates the metrics of messages with pins, and logs those that were given up.
    pub fn on_pin_messages(&mut self, stats: OutboxStats) {
        counter!("ibis_pin_messages_total", "outcome" => "sent").absolute(stats.sent);
        counter!("ibis_pin_messages_total", "outcome" => "resent").absolute(stats.resent);
        counter!("ibis_pin_messages_total", "outcome" => "confirmed").absolute(stats.confirmed);
        counter!("ibis_pin_messages_total", "outcome" => "given_up").absolute(stats.given_up);
        let given_up = stats.given_up - self.last_pin_messages.given_up;
        if given_up > 0 {
            let resent = stats.resent - self.last_pin_messages.resent;
            tracing::warn!(given_up, resent, "messages with pins were not confirmed");
        }
        self.last_pin_messages = stats;
    }

    /// Updates the metrics of the view of load, and logs when it is lost and known again.
    fn on_load_view(&mut self, counts: &Counts) {
        let (news, before) = (counts.load_news, self.last_counts.load_news);
        if news.reports_sent + news.reports_received == 0 {
            return;
        }
        counter!("ibis_load_news_bytes_total", "way" => "sent").absolute(news.bytes_sent);
        counter!("ibis_load_news_bytes_total", "way" => "received").absolute(news.bytes_received);
        counter!("ibis_load_news_total", "way" => "sent").absolute(news.reports_sent);
        counter!("ibis_load_news_total", "way" => "received").absolute(news.reports_received);
        let status = counts.load_status;
        gauge!("ibis_load_view_coverage")
            .set(status.map_or(0.0, |status| f64::from(status.coverage_milli) / 1e3));
        if let Some(status) = status {
            gauge!("ibis_load_view_age_seconds").set(status.age.as_secs_f64());
        }
        let received = news.reports_received - before.reports_received;
        if let Some(status) = status {
            if self.load_view_lost != Some(false) {
                self.load_view_lost = Some(false);
                let (age_ms, coverage) = (status.age.as_millis() as u64, status.coverage_milli);
                tracing::info!(age_ms, coverage, received, "view of load known");
            }
        } else if counts.has_fleet_load && self.load_view_lost == Some(false) {
            self.load_view_lost = Some(true);
            let last = self.last_counts.load_status;
            let age_ms = last.map(|status| status.age.as_millis() as u64);
            let coverage = last.map(|status| status.coverage_milli);
            tracing::warn!(age_ms, coverage, received, "view of load lost");
        }
    }

    /// Logs how many lines the rate limits suppressed since the last report.
    pub fn on_tick(&mut self, now: Timestamp) {
        if now.since(self.last_suppressed_report) < SUPPRESSED_REPORT_INTERVAL {
            return;
        }
        self.last_suppressed_report = now;
        let limits = [
            ("opening sent", &mut self.opened),
            ("opening sent again", &mut self.retried),
            ("flow open", &mut self.accepted),
            ("opening unanswered", &mut self.unanswered),
            ("opening refused", &mut self.refused),
            ("flow reset", &mut self.reset),
            ("answer failed", &mut self.failed_answers),
            ("belief changed", &mut self.state_changes),
        ];
        for (kind, limit) in limits {
            let left_out = limit.take_suppressed();
            if left_out > 0 {
                tracing::info!(at = now.as_micros(), kind, left_out, "lines left out");
            }
        }
    }

    fn describe(&self, id: UpstreamId) -> String {
        let Some(upstream) = self.table.upstreams.get(&id) else {
            return format!("{:x}", id.0);
        };
        format!("{:x}@{}/{}", id.0, upstream.addr, self.zone(upstream.zone))
    }

    fn zone(&self, zone: ZoneId) -> &str {
        self.table.zones.get(usize::from(zone.0)).map_or("?", String::as_str)
    }
}

impl Default for EventLogger {
    fn default() -> Self {
        Self::new()
    }
}

fn reason_name(reason: Refusal) -> &'static str {
    match reason {
        Refusal::NoRoute => "no_route",
        Refusal::NoneEligible => "none_eligible",
        Refusal::AllAtLimit => "all_at_limit",
    }
}

fn reset_reason_name(reason: ResetReason) -> &'static str {
    match reason {
        ResetReason::RouteRemoved => "route_removed",
        ResetReason::UpstreamEnded => "upstream_ended",
        ResetReason::ZoneUnreachable => "zone_unreachable",
        ResetReason::UpstreamSilent => "upstream_silent",
        ResetReason::UpstreamUnlisted => "upstream_unlisted",
    }
}

fn failure_name(failure: AnswerFailure) -> &'static str {
    match failure {
        AnswerFailure::NoAnswer => "silent",
        AnswerFailure::Short => "short",
    }
}

fn outlier_state_name(state: OutlierState) -> &'static str {
    match state {
        OutlierState::Healthy => "sound",
        OutlierState::HalfOpen => "on_trial",
        OutlierState::Ejected => "ejected",
    }
}

/// A flow in log lines, as `client>service`.
fn flow_name(flow: &FlowKey) -> String {
    format!("{}>{}", flow.client, flow.service)
}
