//! Tests parsing and validation of documents.

use std::net::Ipv4Addr;
use std::time::Duration;

use config::{Document, UpstreamState};

const VALID: &str = r#"version = 1
service = "order-desk"
address = "10.10.0.1:4000"
protocol = "tcp"
zones = ["zone-a", "zone-b"]

[limits]
flows = 2000
cold_flows = 100
cold_opens_per_s = 50
cold_ramp = "30s"

[[upstreams]]
address = "127.2.0.1"
zone = "zone-a"

[[upstreams]]
address = "127.2.0.2"
zone = "zone-b"
weight = 3
state = "draining"
"#;

/// Replaces a part of the valid document and expects a problem.
fn assert_problem(from: &str, to: &str, expected: &str) {
    assert!(VALID.contains(from), "{from}");
    let text = VALID.replacen(from, to, 1);
    let problems = Document::parse(&text).expect_err(to).to_string();
    assert!(problems.contains(expected), "{to}: got {problems}");
}

#[test]
fn parse_valid() {
    let document = Document::parse(VALID).expect("a valid document");
    assert_eq!(document.idle_timeout, Duration::from_hours(2));
    assert_eq!(document.upstreams.len(), 2);
    let second = &document.upstreams[&Ipv4Addr::new(127, 2, 0, 2)];
    assert_eq!((second.weight, second.state), (3, UpstreamState::Draining));
    assert!(document.serves_zone("zone-a") && !document.serves_zone("zone-c"));
}

#[test]
fn parse_invalid_value() {
    assert_problem("version = 1", "version = 2", "line 1, column 11: version 2");
    assert_problem("order-desk", "Order Desk", "line 2, column 11: service");
    assert_problem("10.10.0.1:4000", "10.10.0.1", "line 3, column 11:");
    assert_problem("\"tcp\"", "\"sctp\"", "line 4, column 12: protocol \"sctp\"");
    assert_problem(
        "\"zone-b\"]",
        "\"zone-a\"]",
        "line 5, column 20: zone \"zone-a\" is listed twice",
    );
    assert_problem("flows = 2000", "flows = 0", "line 8, column 9: flows 0");
    assert_problem("cold_flows = 100", "cold_flows = 2001", "line 9, column 14: cold_flows 2001");
    assert_problem("30s", "30 parsecs", "line 11, column 13: expected a duration");
    assert_problem("30s", "25h", "line 11, column 13: expected a duration");
    assert_problem(
        "127.2.0.2",
        "127.2.0.1",
        "line 18, column 11: upstream 127.2.0.1 is listed twice",
    );
    assert_problem("weight = 3", "weight = 0", "line 20, column 10: weight 0");
    assert_problem("draining", "resting", "line 21, column 9: state \"resting\"");
}

#[test]
fn parse_invalid_structure() {
    assert_problem(
        "version = 1",
        "version = 1\ncolour = 3",
        "line 2, column 1: unknown field `colour`",
    );
    assert_problem("flows = 2000\n", "", "missing field `flows`");
    assert_problem("flows = 2000", "flows = -1", "line 8, column 9:");
    assert_problem("[limits]", "[limits", "line 7");
}

#[test]
fn parse_several_problems() {
    let text = VALID.replace("\"tcp\"", "\"sctp\"").replace("weight = 3", "weight = 0");
    let problems = Document::parse(&text).expect_err("two problems");
    assert_eq!(problems.0.len(), 2);
}

#[test]
fn parse_too_long() {
    let text = format!("{VALID}#{}", "x".repeat(1_000_000));
    let problems = Document::parse(&text).expect_err("too long").to_string();
    assert!(problems.contains("longer than 1000000 bytes"), "{problems}");
}
