//! Collects and totals the statistics that the caller processes print.

use std::net::Ipv4Addr;
use std::sync::{Arc, Mutex, PoisonError};

use indexmap::IndexMap;
use serde_json::Value;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::ChildStdout;

/// The latest statistics of one caller process, parsed from its JSON output.
#[derive(Debug, Clone, Default)]
struct Report {
    last: bool,
    open: u64,
    opened: u64,
    refused: u64,
    unanswered: u64,
    ok: u64,
    wrong: u64,
    broken: IndexMap<Ipv4Addr, u64>,
    p99_us: u64,
    max_us: u64,
}

/// The latest statistics of each caller process, by its name.
#[derive(Debug, Clone, Default)]
pub struct CallerStats {
    reports: Arc<Mutex<IndexMap<String, Report>>>,
}

/// Totals over all caller processes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Totals {
    /// Sessions open now.
    pub open: u64,
    /// Sessions opened.
    pub opened: u64,
    /// Refused openings.
    pub refused: u64,
    /// Unanswered openings.
    pub unanswered: u64,
    /// Correct answers.
    pub ok: u64,
    /// Wrong answers.
    pub wrong: u64,
    /// Broken sessions, without `broken_zone_out`.
    pub broken: u64,
    /// Broken sessions whose upstream is in a zone that operators took out of service.
    pub broken_zone_out: u64,
    /// Highest 99th percentile of response times of any caller process, in microseconds.
    pub p99_us: u64,
    /// Longest response time in microseconds.
    pub max_us: u64,
    /// Caller processes that have printed their final statistics.
    pub finished: usize,
}

impl CallerStats {
    /// Reads a caller process's output until it ends.
    pub async fn read_output(self, name: String, stdout: ChildStdout) {
        let mut lines = BufReader::new(stdout).lines();
        while let Ok(Some(text)) = lines.next_line().await {
            if let Ok(value) = serde_json::from_str(&text) {
                let mut reports = self.reports.lock().unwrap_or_else(PoisonError::into_inner);
                reports.insert(name.clone(), Report::from(&value));
            }
        }
    }

    /// Adds up all statistics. Broken sessions at upstreams for which `zone_out` holds are counted
    /// separately.
    pub fn totals(&self, zone_out: impl Fn(Ipv4Addr) -> bool) -> Totals {
        let reports = self.reports.lock().unwrap_or_else(PoisonError::into_inner);
        let mut totals = Totals::default();
        for report in reports.values() {
            totals.open += report.open;
            totals.opened += report.opened;
            totals.refused += report.refused;
            totals.unanswered += report.unanswered;
            totals.ok += report.ok;
            totals.wrong += report.wrong;
            for (upstream, count) in &report.broken {
                *if zone_out(*upstream) {
                    &mut totals.broken_zone_out
                } else {
                    &mut totals.broken
                } += count;
            }
            totals.p99_us = totals.p99_us.max(report.p99_us);
            totals.max_us = totals.max_us.max(report.max_us);
            totals.finished += usize::from(report.last);
        }
        totals
    }
}

impl From<&Value> for Report {
    fn from(value: &Value) -> Self {
        let number = |name: &str| value[name].as_u64().unwrap_or_default();
        let broken = value["broken"].as_object().into_iter().flatten();
        Self {
            last: value["last"].as_bool().unwrap_or_default(),
            open: number("open"),
            opened: number("opened"),
            refused: number("refused"),
            unanswered: number("unanswered"),
            ok: number("ok"),
            wrong: number("wrong"),
            broken: broken
                .filter_map(|(ip, count)| Some((ip.parse().ok()?, count.as_u64()?)))
                .collect(),
            p99_us: number("p99_us"),
            max_us: number("max_us"),
        }
    }
}
