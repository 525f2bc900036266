//! What the callers report, added up, and the verdict.

use std::net::Ipv4Addr;
use std::sync::{Arc, Mutex, PoisonError};

use indexmap::IndexMap;
use serde_json::Value;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::ChildStdout;

/// The last line of one caller process.
#[derive(Debug, Clone, Default)]
struct Line {
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

/// The last lines of all caller processes.
#[derive(Debug, Clone, Default)]
pub struct Tally {
    lines: Arc<Mutex<IndexMap<String, Line>>>,
}

/// All callers together.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Sum {
    /// Sessions open now.
    pub open: u64,
    /// Sessions opened.
    pub opened: u64,
    /// Openings refused.
    pub refused: u64,
    /// Openings without an answer.
    pub unanswered: u64,
    /// Right answers.
    pub ok: u64,
    /// Wrong answers.
    pub wrong: u64,
    /// Broken sessions.
    pub broken: u64,
    /// Broken sessions whose upstream is in a zone that operators took out.
    pub excused: u64,
    /// Largest 99th percentile of answer times in microseconds.
    pub p99_us: u64,
    /// Longest answer time in microseconds.
    pub max_us: u64,
    /// Caller processes that have printed their last line.
    pub finished: usize,
}

impl Tally {
    /// Reads a caller process's lines until it ends.
    pub async fn follow(self, name: String, stdout: ChildStdout) {
        let mut lines = BufReader::new(stdout).lines();
        while let Ok(Some(text)) = lines.next_line().await {
            if let Ok(value) = serde_json::from_str(&text) {
                let mut all = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
                all.insert(name.clone(), Line::from(&value));
            }
        }
    }

    /// Adds up. Broken sessions at the upstreams that `excused` names are counted apart.
    pub fn sum(&self, excused: impl Fn(Ipv4Addr) -> bool) -> Sum {
        let lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        let mut sum = Sum::default();
        for line in lines.values() {
            sum.open += line.open;
            sum.opened += line.opened;
            sum.refused += line.refused;
            sum.unanswered += line.unanswered;
            sum.ok += line.ok;
            sum.wrong += line.wrong;
            for (upstream, count) in &line.broken {
                *if excused(*upstream) { &mut sum.excused } else { &mut sum.broken } += count;
            }
            sum.p99_us = sum.p99_us.max(line.p99_us);
            sum.max_us = sum.max_us.max(line.max_us);
            sum.finished += usize::from(line.last);
        }
        sum
    }
}

impl From<&Value> for Line {
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
