//! Order and filtering of the events of several processes.

use events::{Kind, Page, Ring};
use ibis_timeline::{Filter, Line, merge};
use stdx::time::Timestamp;

/// Events of two processes. The second one's wall clock is behind, so that it advances its logical
/// clock to the first one's stamp.
fn pages() -> Vec<(String, Page)> {
    let mut a = Ring::new("entry-a", "zone-a", 10);
    let mut b = Ring::new("entry-b", "zone-b", 2);
    a.record(Timestamp(5_000), Kind::Started, None, String::new());
    b.record(Timestamp(1), Kind::Started, None, String::new());
    let stamp = a.stamp(Timestamp(5_001));
    b.observe(Timestamp(2), stamp);
    b.record(Timestamp(3), Kind::DocumentApplied, Some("desk"), "from=entry-a".to_owned());
    b.record(Timestamp(4), Kind::Ready, None, String::new());
    vec![("a:9000".to_owned(), a.since(0)), ("b:9000".to_owned(), b.since(0))]
}

fn kinds(lines: &[Line]) -> Vec<Kind> {
    let kind = |line: &Line| match line {
        Line::Event(event) => Some(event.kind),
        Line::Gap { .. } => None,
    };
    lines.iter().filter_map(kind).collect()
}

#[test]
fn merge_effect_after_cause() {
    let lines = merge(&pages(), &Filter::default());
    assert_eq!(lines[0], Line::Gap { source: "b:9000".to_owned(), missed: 1 });
    assert_eq!(kinds(&lines), [Kind::Started, Kind::DocumentApplied, Kind::Ready]);
}

#[test]
fn merge_filtered() {
    let service = Filter { service: Some("desk".to_owned()), ..Filter::default() };
    assert_eq!(kinds(&merge(&pages(), &service)), [Kind::DocumentApplied]);
    let instance = Filter { instance: Some("entry-a".to_owned()), ..Filter::default() };
    assert_eq!(kinds(&merge(&pages(), &instance)), [Kind::Started]);
    let zone = Filter { zone: Some("zone-b".to_owned()), ..Filter::default() };
    assert_eq!(kinds(&merge(&pages(), &zone)), [Kind::DocumentApplied, Kind::Ready]);
}
