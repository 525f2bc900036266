//! The TOML form of a document, and its validation into a [`Document`].

use std::fmt;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::ops::Range;
use std::time::Duration;

use indexmap::IndexMap;
use packet::Protocol;
use serde::Deserialize;
use toml::Spanned;

use crate::document::{Document, MAX_DOCUMENT_BYTES, Upstream, UpstreamState};
use crate::duration;

/// Supported version of the document format.
const FORMAT_VERSION: u32 = 1;

/// Maximum number of upstreams in a document.
const MAX_UPSTREAMS: usize = 4_096;

/// Maximum weight of an upstream.
const MAX_WEIGHT: u32 = 1_000;

/// Maximum value of a limit on open flows or on new flows per second.
const MAX_FLOWS: u32 = 10_000_000;

/// Maximum length of the name of a service or zone.
const MAX_NAME_BYTES: usize = 63;

/// Maximum duration of any setting.
const MAX_DURATION: Duration = Duration::from_hours(24);

stdx::record! {
    /// A reason why a document is invalid, with its position.
    #[derive(derive_more::Display)]
    #[display("line {line}, column {column}: {reason}")]
    pub struct Problem {
        /// Line in the document, starting at 1.
        pub line: usize,
        /// Column in the line in characters, starting at 1.
        pub column: usize,
        /// What is wrong.
        pub reason: String,
    }

    /// All reasons why a document is invalid.
    #[derive(derive_more::Error)]
    pub struct Problems(#[error(not(source))] pub Vec<Problem>);
}

impl fmt::Display for Problems {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, problem) in self.0.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            write!(f, "{problem}")?;
        }
        Ok(())
    }
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawDocument {
    version: Spanned<u32>,
    service: Spanned<String>,
    address: Spanned<String>,
    protocol: Spanned<String>,
    zones: Spanned<Vec<Spanned<String>>>,
    priority: Option<Spanned<u8>>,
    repeatable: Option<bool>,
    limits: RawLimits,
    #[serde(default)]
    timeouts: RawTimeouts,
    upstreams: Spanned<Vec<RawUpstream>>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawLimits {
    flows: Spanned<u32>,
    cold_flows: Spanned<u32>,
    cold_opens_per_s: Spanned<u32>,
    cold_ramp: Spanned<String>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawTimeouts {
    idle: Option<Spanned<String>>,
    opening: Option<Spanned<String>>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawUpstream {
    address: Spanned<String>,
    zone: Spanned<String>,
    weight: Option<Spanned<u32>>,
    state: Option<Spanned<String>>,
}

/// Parses and validates a document.
pub(crate) fn parse(text: &str) -> Result<Document, Problems> {
    let mut validator = Validator { text, problems: Vec::new() };
    if text.len() > MAX_DOCUMENT_BYTES {
        validator.problem(0..0, format!("longer than {MAX_DOCUMENT_BYTES} bytes"));
        return Err(Problems(validator.problems));
    }
    let raw: RawDocument = match toml::from_str(text) {
        Ok(raw) => raw,
        Err(e) => {
            validator.problem(e.span().unwrap_or(0..0), e.message().to_owned());
            return Err(Problems(validator.problems));
        }
    };
    let document = validator.document(&raw);
    match document {
        Some(document) if validator.problems.is_empty() => Ok(document),
        _ => Err(Problems(validator.problems)),
    }
}

impl Document {
    /// Checks that the document names the service under whose key it is stored.
    pub(crate) fn expect_service(self, service: &str) -> Result<Self, Problems> {
        if self.service == service {
            return Ok(self);
        }
        let reason = format!("`service` is \"{}\", expected \"{service}\"", self.service);
        Err(Problems(vec![Problem { line: 1, column: 1, reason }]))
    }
}

/// Validates a document and collects its problems.
struct Validator<'a> {
    text: &'a str,
    problems: Vec<Problem>,
}

impl Validator<'_> {
    fn document(&mut self, raw: &RawDocument) -> Option<Document> {
        self.check_range(&raw.version, "version", FORMAT_VERSION..=FORMAT_VERSION);
        self.check_name(&raw.service, "service");
        let address: Option<SocketAddrV4> = self.parse(&raw.address, "an IPv4 address and port");
        let protocol = self.protocol(&raw.protocol);
        let zones = self.zones(&raw.zones);
        let upstreams = self.upstreams(&raw.upstreams);
        let limits = &raw.limits;
        self.check_range(&limits.flows, "flows", 1..=MAX_FLOWS);
        self.check_range(&limits.cold_flows, "cold_flows", 1..=*limits.flows.get_ref());
        self.check_range(&limits.cold_opens_per_s, "cold_opens_per_s", 1..=MAX_FLOWS);
        let cold_ramp = self.duration(Some(&limits.cold_ramp), Duration::ZERO);
        let idle_timeout = self.duration(raw.timeouts.idle.as_ref(), Duration::from_hours(2));
        let opening_timeout =
            self.duration(raw.timeouts.opening.as_ref(), Duration::from_millis(300));
        Some(Document {
            service: raw.service.get_ref().clone(),
            address: address?,
            protocol: protocol?,
            zones,
            priority: raw.priority.as_ref().map_or(0, |priority| *priority.get_ref()),
            repeatable: raw.repeatable.unwrap_or(false),
            max_flows: *limits.flows.get_ref(),
            cold_flows: *limits.cold_flows.get_ref(),
            cold_opens_per_s: *limits.cold_opens_per_s.get_ref(),
            cold_ramp,
            idle_timeout,
            opening_timeout,
            upstreams,
        })
    }

    fn zones(&mut self, raw: &Spanned<Vec<Spanned<String>>>) -> Vec<String> {
        let mut zones: Vec<String> = Vec::new();
        for zone in raw.get_ref() {
            self.check_name(zone, "zone");
            if zones.contains(zone.get_ref()) {
                self.problem(zone.span(), format!("zone \"{}\" is listed twice", zone.get_ref()));
            }
            zones.push(zone.get_ref().clone());
        }
        zones
    }

    fn upstreams(&mut self, raw: &Spanned<Vec<RawUpstream>>) -> IndexMap<Ipv4Addr, Upstream> {
        if raw.get_ref().len() > MAX_UPSTREAMS {
            self.problem(raw.span(), format!("more than {MAX_UPSTREAMS} upstreams"));
        }
        let mut upstreams = IndexMap::new();
        for upstream in raw.get_ref() {
            let Some((ip, checked)) = self.upstream(upstream) else {
                continue;
            };
            if upstreams.insert(ip, checked).is_some() {
                self.problem(upstream.address.span(), format!("upstream {ip} is listed twice"));
            }
        }
        upstreams
    }

    fn upstream(&mut self, raw: &RawUpstream) -> Option<(Ipv4Addr, Upstream)> {
        self.check_name(&raw.zone, "zone");
        if let Some(weight) = &raw.weight {
            self.check_range(weight, "weight", 1..=MAX_WEIGHT);
        }
        let state = match raw.state.as_ref().map(Spanned::get_ref).map(String::as_str) {
            None | Some("active") => UpstreamState::Active,
            Some("draining") => UpstreamState::Draining,
            Some(other) => {
                let span = raw.state.as_ref().map_or(0..0, Spanned::span);
                self.problem(span, format!("state \"{other}\" is neither active nor draining"));
                return None;
            }
        };
        let ip = self.parse(&raw.address, "an IPv4 address")?;
        let weight = raw.weight.as_ref().map_or(1, |weight| *weight.get_ref());
        Some((ip, Upstream { zone: raw.zone.get_ref().clone(), weight, state }))
    }

    fn protocol(&mut self, raw: &Spanned<String>) -> Option<Protocol> {
        match raw.get_ref().as_str() {
            "tcp" => Some(Protocol::Tcp),
            "udp" => Some(Protocol::Udp),
            other => {
                self.problem(raw.span(), format!("protocol \"{other}\" is neither tcp nor udp"));
                None
            }
        }
    }

    fn duration(&mut self, raw: Option<&Spanned<String>>, default: Duration) -> Duration {
        let Some(raw) = raw else {
            return default;
        };
        match duration::parse(raw.get_ref()) {
            Some(duration) if !duration.is_zero() && duration <= MAX_DURATION => duration,
            _ => {
                let reason = "expected a duration from 1ms to 24h, such as \"30s\"".to_owned();
                self.problem(raw.span(), reason);
                default
            }
        }
    }

    fn parse<T: std::str::FromStr>(&mut self, raw: &Spanned<String>, what: &str) -> Option<T> {
        let parsed = raw.get_ref().parse().ok();
        if parsed.is_none() {
            self.problem(raw.span(), format!("\"{}\" is not {what}", raw.get_ref()));
        }
        parsed
    }

    fn check_name(&mut self, raw: &Spanned<String>, what: &str) {
        let name = raw.get_ref();
        let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
        if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.chars().all(allowed) {
            let reason = format!(
                "{what} \"{name}\" must be 1 to {MAX_NAME_BYTES} lower-case letters, digits or dashes"
            );
            self.problem(raw.span(), reason);
        }
    }

    fn check_range(
        &mut self,
        raw: &Spanned<u32>,
        what: &str,
        bounds: std::ops::RangeInclusive<u32>,
    ) {
        let value = *raw.get_ref();
        if !bounds.contains(&value) {
            let reason =
                format!("{what} {value} is out of range {} to {}", bounds.start(), bounds.end());
            self.problem(raw.span(), reason);
        }
    }

    fn problem(&mut self, span: Range<usize>, reason: String) {
        let before = &self.text[..self.text.floor_char_boundary(span.start)];
        let line = before.matches('\n').count() + 1;
        let column = before.chars().rev().take_while(|c| *c != '\n').count() + 1;
        self.problems.push(Problem { line, column, reason });
    }
}
