//! State and table after reads, changes and outages of the store.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use directory::{
    Config, Directory, Member, Record, RecordKey, RecordValue, Revision, RouteSpec, ServiceSpec,
    Settings, UpstreamSpec,
};
use proptest::prelude::*;
use stdx::time::Timestamp;
use steer::{Table, Upstream, UpstreamId};

const ROUTE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443);

fn settings() -> Settings {
    Settings {
        relist_grace: Duration::from_secs(2),
        retention: Duration::from_mins(1),
        member_grace: Duration::from_secs(4),
        step_hold: Duration::from_secs(9),
        cold_burst: 5,
        cold_factor_permille: 1_500,
    }
}

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(1_000_000 + millis)
}

const fn rev(number: u64) -> Revision {
    Revision::new(0, number)
}

fn config(revision: u64, version: u64, service: Option<&str>) -> Record {
    let service_spec = |name: &str| ServiceSpec {
        name: name.to_owned(),
        cold: Duration::from_secs(2),
        cold_opens_per_s: 4.0,
    };
    let route = |name: &str| RouteSpec {
        addr: ROUTE,
        targets: vec![(name.to_owned(), 1)],
        repeatable: true,
    };
    let value = RecordValue::Config(Config {
        version,
        routes: service.map(route).into_iter().collect(),
        services: ["orders", "menus"].map(service_spec).to_vec(),
    });
    Record { key: RecordKey::Config, revision: rev(revision), created: rev(1), value: Some(value) }
}

fn spec(id: u64) -> UpstreamSpec {
    UpstreamSpec {
        id: UpstreamId(id),
        service: "orders".to_owned(),
        addr: SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, id as u8), 80),
        zone: if id.is_multiple_of(2) { "a" } else { "b" }.to_owned(),
        slots: 2,
        leaving: false,
        cold_left: Duration::ZERO,
        started_ms: Some(7),
    }
}

fn upstream(revision: u64, spec: UpstreamSpec) -> Record {
    let key = RecordKey::Upstream(spec.id);
    let (revision, created) = (rev(revision), rev(spec.id.0));
    Record { key, revision, created, value: Some(RecordValue::Upstream(spec)) }
}

fn removed(revision: u64, key: RecordKey) -> Record {
    Record { key, revision: rev(revision), created: rev(0), value: None }
}

fn zone_out(revision: u64, zone: &str) -> Record {
    let key = RecordKey::ZoneOut(zone.to_owned());
    let revision = rev(revision);
    Record { key, revision, created: revision, value: Some(RecordValue::ZoneOut) }
}

fn all_records() -> Vec<Record> {
    let mut records = vec![config(10, 5, Some("orders"))];
    records.extend((1..5).map(|id| upstream(id, spec(id))));
    records
}

fn loaded_directory() -> Directory {
    let mut directory = Directory::new(settings());
    directory.load(at(0), all_records());
    directory
}

fn table(directory: &mut Directory, now: Timestamp) -> Table {
    directory.table(now, "me").0
}

fn upstream_of(table: &Table, id: u64) -> &Upstream {
    &table.upstreams[&UpstreamId(id)]
}

fn eligible(directory: &mut Directory, now: Timestamp) -> Vec<u64> {
    let table = table(directory, now);
    table.upstreams.values().filter(|u| u.accepts_new).map(|u| u.id.0).collect()
}

#[test]
fn load_makes_table() {
    let mut directory = loaded_directory();
    let table = table(&mut directory, at(0));
    assert!(table.synced);
    assert_eq!((table.version, table.upstreams.len()), (5, 4));
    assert_eq!(
        table.services[usize::from(upstream_of(&table, 1).service.0)].cold_opens_per_s,
        4 * 3 / 2 + 5
    );
}

/// The configuration may arrive as a change after a full read that found the store empty.
#[test]
fn apply_after_empty_load_is_synced() {
    let mut directory = Directory::new(settings());
    directory.load(at(0), Vec::new());
    assert!(!directory.is_synced());
    for record in all_records() {
        directory.apply(at(1), record);
    }
    assert!(table(&mut directory, at(1)).synced);
}

#[test]
fn apply_older_version_is_ignored() {
    let mut directory = loaded_directory();
    directory.apply(at(1), config(11, 4, Some("menus")));
    directory.load(at(2), {
        let mut records = all_records();
        records[0] = config(12, 3, None);
        records
    });
    let table = table(&mut directory, at(2));
    assert_eq!((table.version, table.routes.len()), (5, 1));
}

#[test]
fn apply_route_moved_keeps_old_service() {
    let mut directory = loaded_directory();
    directory.apply(at(1), config(11, 6, Some("menus")));
    let table = table(&mut directory, at(1));
    assert_eq!(table.routes[&ROUTE].all_services.len(), 2);
    assert_eq!(table.routes[&ROUTE].targets.len(), 1);
}

#[test]
fn apply_route_removed() {
    let mut directory = loaded_directory();
    directory.apply(at(1), config(11, 6, None));
    let table = table(&mut directory, at(1));
    assert!(table.routes.is_empty() && table.removed_routes.contains(&ROUTE));
}

#[test]
fn apply_leaving_takes_no_new_flows() {
    let mut directory = loaded_directory();
    directory.apply(at(1), upstream(20, UpstreamSpec { leaving: true, ..spec(2) }));
    assert_eq!(eligible(&mut directory, at(1)), [1, 3, 4]);
}

#[test]
fn apply_removed_after_leaving_has_ended() {
    let mut directory = loaded_directory();
    directory.apply(at(1), upstream(20, UpstreamSpec { leaving: true, ..spec(2) }));
    directory.apply(at(2), removed(21, RecordKey::Upstream(UpstreamId(2))));
    assert!(upstream_of(&table(&mut directory, at(2)), 2).ended);
}

#[test]
fn apply_removed_without_leaving_may_be_alive() {
    let mut directory = loaded_directory();
    directory.apply(at(2), removed(21, RecordKey::Upstream(UpstreamId(2))));
    let table = table(&mut directory, at(2));
    assert!(!upstream_of(&table, 2).ended && !upstream_of(&table, 2).accepts_new);
}

#[test]
fn apply_outdated_removal_is_ignored() {
    let mut directory = loaded_directory();
    directory.apply(at(1), upstream(30, spec(2)));
    directory.apply(at(2), removed(21, RecordKey::Upstream(UpstreamId(2))));
    assert_eq!(eligible(&mut directory, at(2)), [1, 2, 3, 4]);
}

#[test]
fn load_without_outage_removes_at_once() {
    let mut directory = loaded_directory();
    directory.load(at(5), all_records().into_iter().take(3).collect());
    assert_eq!(eligible(&mut directory, at(5)), [1, 2]);
}

#[test]
fn load_after_outage_keeps_missing_for_grace_period() {
    let mut directory = loaded_directory();
    directory.store_lost();
    directory.load(at(5_000), vec![config(10, 5, Some("orders"))]);
    assert_eq!(eligible(&mut directory, at(6_900)), [1, 2, 3, 4]);
    assert_eq!(directory.next_change(), Some(at(7_000)));
    assert_eq!(eligible(&mut directory, at(7_000)), []);
    assert!(
        !upstream_of(&table(&mut directory, at(7_001)), 2).ended,
        "expired, but not known to have ended"
    );
}

/// An entry that starts while records have expired must not treat the first two upstreams as all:
/// it then received traffic in place of entries that knew all sixteen upstreams.
#[test]
fn is_complete_started_during_outage() {
    let mut directory = Directory::new(settings());
    assert!(directory.is_complete(at(0)));
    directory.store_lost();
    directory.load(at(5_000), all_records().into_iter().take(2).collect());
    assert!(directory.is_synced() && !directory.is_complete(at(6_999)));
    assert!(directory.is_complete(at(7_000)));
}

#[test]
fn is_complete_outage_of_running_process() {
    let mut directory = loaded_directory();
    directory.store_lost();
    directory.load(at(5_000), vec![config(10, 5, Some("orders"))]);
    assert!(directory.is_complete(at(5_000)));
}

#[test]
fn load_after_outage_registered_again() {
    let mut directory = loaded_directory();
    directory.store_lost();
    directory.load(at(5_000), vec![config(10, 5, Some("orders"))]);
    directory.apply(at(6_000), upstream(40, spec(3)));
    assert_eq!(eligible(&mut directory, at(7_000)), [3]);
}

/// Guards against upstreams that are long gone and are listed again during a further outage.
#[test]
fn load_after_second_outage_keeps_missing_removed() {
    let mut directory = loaded_directory();
    directory.store_lost();
    let rest = || all_records().into_iter().take(3).collect();
    directory.load(at(5_000), rest());
    assert_eq!(eligible(&mut directory, at(7_000)), [1, 2]);
    directory.store_lost();
    assert_eq!(eligible(&mut directory, at(8_000)), [1, 2]);
    directory.load(at(9_000), rest());
    assert_eq!(eligible(&mut directory, at(9_000)), [1, 2]);
}

#[test]
fn load_after_outage_leaving_takes_no_new_flows() {
    let mut directory = loaded_directory();
    directory.apply(at(1), upstream(20, UpstreamSpec { leaving: true, ..spec(2) }));
    directory.store_lost();
    directory.load(at(5_000), vec![config(10, 5, Some("orders"))]);
    assert_eq!(eligible(&mut directory, at(5_001)), [1, 3, 4]);
}

/// Counters of the engine by zone and service id must stay valid when the first upstreams are
/// removed.
#[test]
fn table_ids_are_stable() {
    let mut directory = loaded_directory();
    let before = table(&mut directory, at(0));
    directory.apply(at(1), removed(21, RecordKey::Upstream(UpstreamId(1))));
    directory.apply(at(1), removed(22, RecordKey::Upstream(UpstreamId(3))));
    let after = table(&mut directory, at(70_000));
    assert_eq!(after.upstreams.len(), 2);
    assert_eq!((&before.zones, &before.services), (&after.zones, &after.services));
    assert_eq!(upstream_of(&before, 2).zone, upstream_of(&after, 2).zone);
}

/// A watch that lasted through an outage reports all upstreams as removed whose records expired.
#[test]
fn apply_all_mass_removal_is_delayed() {
    let mut directory = loaded_directory();
    let removal = |id| removed(20 + id, RecordKey::Upstream(UpstreamId(id)));
    directory.apply_all(at(0), (1..5).map(removal).collect());
    assert_eq!(eligible(&mut directory, at(1_000)), [1, 2, 3, 4]);
    assert_eq!(eligible(&mut directory, at(2_000)), []);
    assert!(!upstream_of(&table(&mut directory, at(2_001)), 2).ended);
}

#[test]
fn apply_all_single_removal_is_immediate() {
    let mut directory = loaded_directory();
    directory.apply_all(at(0), vec![removed(21, RecordKey::Upstream(UpstreamId(1)))]);
    assert_eq!(eligible(&mut directory, at(0)), [2, 3, 4]);
}

/// Records of a peer that has not yet seen a removal must not undo it.
#[test]
fn apply_all_outdated_records_of_peer() {
    let mut directory = loaded_directory();
    directory.apply(at(0), removed(21, RecordKey::Upstream(UpstreamId(2))));
    directory.store_lost();
    let mut records = all_records();
    records[0] = config(30, 9, Some("menus"));
    directory.apply_all(at(1), records);
    assert_eq!(table(&mut directory, at(1)).version, 9);
    assert_eq!(eligible(&mut directory, at(1)), [1, 3, 4]);
}

/// An entry that starts during an outage of the store serves with the records of a peer.
#[test]
fn apply_all_records_of_peer_at_start() {
    let mut directory = Directory::new(settings());
    directory.store_lost();
    directory.apply_all(at(0), all_records());
    assert!(directory.is_synced() && directory.is_complete(at(0)));
    directory.load(at(5_000), vec![config(10, 5, Some("orders"))]);
    assert!(directory.is_complete(at(5_000)));
    assert_eq!(eligible(&mut directory, at(6_000)), [1, 2, 3, 4]);
}

#[test]
fn apply_zone_out_and_restored() {
    let mut directory = loaded_directory();
    directory.apply(at(1), zone_out(20, "a"));
    assert_eq!(eligible(&mut directory, at(1)), [1, 3]);
    directory.apply(at(9_000), removed(21, RecordKey::ZoneOut("a".to_owned())));
    let table = table(&mut directory, at(9_000));
    assert!(upstream_of(&table, 2).accepts_new);
    assert_eq!(upstream_of(&table, 2).cold_until, at(11_000), "a restored zone is cold");
    assert_eq!(upstream_of(&table, 1).cold_until, Timestamp::default());
}

#[test]
fn load_without_zone_out_restores_zone() {
    let mut directory = loaded_directory();
    directory.apply(at(1), zone_out(20, "a"));
    directory.load(at(9_000), all_records());
    assert_eq!(eligible(&mut directory, at(9_000)), [1, 2, 3, 4]);
}

/// A configuration may name any rate; a very high one is no low one.
#[test]
fn table_cold_rate_out_of_range() {
    let mut directory = directory_with_cold_rate(1e12);
    assert_eq!(table(&mut directory, at(0)).services[0].cold_opens_per_s, u32::MAX);
}

fn directory_with_cold_rate(cold_opens_per_s: f64) -> Directory {
    let mut directory = Directory::new(settings());
    let mut record = config(1, 7, Some("orders"));
    if let Some(RecordValue::Config(config)) = &mut record.value {
        config.services[0].cold_opens_per_s = cold_opens_per_s;
    }
    directory.load(at(0), vec![record]);
    directory
}

#[test]
fn load_same_record_keeps_cold_until() {
    let mut directory = loaded_directory();
    let cold = UpstreamSpec { cold_left: Duration::from_secs(3), ..spec(2) };
    directory.apply(at(0), upstream(20, cold.clone()));
    let mut records = all_records();
    records[2] = upstream(20, cold);
    directory.load(at(2_000), records);
    assert_eq!(upstream_of(&table(&mut directory, at(2_000)), 2).cold_until, at(3_000));
}

#[test]
fn apply_undecodable_record_removes_upstream_keeps_config() {
    let mut directory = loaded_directory();
    directory.apply(at(1), removed(20, RecordKey::Upstream(UpstreamId(2))));
    directory.apply(at(1), removed(20, RecordKey::Config));
    assert_eq!(eligible(&mut directory, at(1)), [1, 3, 4]);
    assert_eq!(table(&mut directory, at(1)).version, 5);
}

fn member(name: &str, revision: u64) -> Record {
    let addr = SocketAddrV4::new(Ipv4Addr::LOCALHOST, revision as u16);
    let member = Member { addr, zone: "a".to_owned(), incarnation: revision, link_mbps: 0 };
    let key = RecordKey::Member(name.to_owned());
    let value = Some(RecordValue::Member(member));
    Record { key, revision: rev(revision), created: rev(1), value }
}

/// Guards against messages to the address of an entry's earlier process, which a peer's facts name.
#[test]
fn apply_older_member_is_ignored() {
    let mut directory = loaded_directory();
    let ports = |directory: &Directory| {
        directory.members().map(|(_, member)| member.addr.port()).collect::<Vec<_>>()
    };
    directory.apply(at(0), member("other", 31));
    directory.apply(at(1), member("other", 30));
    assert_eq!(ports(&directory), [31]);
    directory.apply(at(2), removed(30, RecordKey::Member("other".to_owned())));
    assert_eq!(table(&mut directory, at(5_000)).entries.len(), 2, "a newer process is listed");
    directory.apply(at(6_000), removed(33, RecordKey::Member("other".to_owned())));
    directory.apply(at(6_001), member("other", 32));
    assert_eq!(table(&mut directory, at(11_000)).entries.len(), 1, "it was removed after that");
}

#[test]
fn apply_removed_member_counts_for_grace_period() {
    let mut directory = loaded_directory();
    directory.apply(at(0), member("me", 30));
    directory.apply(at(0), member("other", 31));
    assert_eq!(table(&mut directory, at(0)).entries.len(), 2);
    directory.apply(at(10), removed(32, RecordKey::Member("other".to_owned())));
    assert_eq!(table(&mut directory, at(4_000)).entries.len(), 2, "it may still be opening flows");
    assert_eq!(table(&mut directory, at(4_011)).entries.len(), 1);
}

proptest! {
    /// In any order of changes and full reads, the version never decreases, and upstreams that have
    /// ended or whose zone is out of service take no new flows.
    #[test]
    fn apply_any(steps in proptest::collection::vec((0_u8..8, 1_u64..5, 1_u64..60), 1..100)) {
        let mut directory = loaded_directory();
        let (mut now, mut version) = (at(0), 5);
        let mut revision = 100;
        for (kind, id, number) in steps {
            now = now + Duration::from_millis(number * 50);
            revision += 1;
            match kind {
                0 => directory.apply(now, config(revision, number, Some("menus"))),
                1 => directory.apply(now, upstream(revision, spec(id))),
                2 => directory.apply(now, upstream(revision, UpstreamSpec { leaving: true, ..spec(id) })),
                3 => directory.apply(now, removed(revision, RecordKey::Upstream(UpstreamId(id)))),
                4 => directory.apply(now, zone_out(revision, "a")),
                5 => directory.apply(now, removed(revision, RecordKey::ZoneOut("a".to_owned()))),
                6 => directory.store_lost(),
                _ => directory.load(now, all_records()),
            }
            let table = table(&mut directory, now);
            prop_assert!(table.version >= version);
            version = table.version;
            let out = table.zones.iter().position(|zone| zone == "a").filter(|_| kind == 4);
            for upstream in table.upstreams.values() {
                let is_out = out.is_some_and(|zone_id| usize::from(upstream.zone.0) == zone_id);
                prop_assert!(!(is_out && upstream.accepts_new));
                prop_assert!(!(upstream.ended && upstream.accepts_new));
            }
        }
    }
}

/// The record of an upstream that ended without a word is removed only when its lease expires. Its
/// address may pass to an upstream of another service before that.
#[test]
fn table_address_passed_on_ends_its_former_upstream() {
    let mut directory = Directory::new(settings());
    directory.load(at(0), all_records());
    let taker = UpstreamSpec { service: "menus".to_owned(), addr: spec(1).addr, ..spec(9) };
    directory.apply_all(at(100), vec![upstream(20, taker)]);
    let (table, _) = directory.table(at(100), "e1");
    let former = &table.upstreams[&UpstreamId(1)];
    assert!(former.ended && !former.accepts_new);
    let taker = &table.upstreams[&UpstreamId(9)];
    assert!(!taker.ended && taker.accepts_new);
}

/// The store may execute an upstream's last write seconds after it has crashed, when another one runs
/// at its address. Guards against resets of the flows of the living one.
#[test]
fn table_late_record_at_an_address_ends_nothing() {
    let mut directory = loaded_directory();
    let taker = UpstreamSpec { addr: spec(1).addr, started_ms: Some(8), ..spec(9) };
    directory.apply(at(100), upstream(20, taker));
    directory.apply(at(200), removed(21, RecordKey::Upstream(UpstreamId(1))));
    let late = Record { created: rev(30), ..upstream(30, spec(1)) };
    directory.apply(at(6_000), late);
    let (current, change) = directory.table(at(6_000), "me");
    let (late, taker) = (upstream_of(&current, 1), upstream_of(&current, 9));
    assert!(!taker.ended && taker.accepts_new && !late.accepts_new);
    assert_eq!(change.contested, 1);
    // Without its record the living upstream may have lost the store only.
    directory.apply(at(7_000), removed(31, RecordKey::Upstream(UpstreamId(9))));
    let current = table(&mut directory, at(7_000));
    assert!(!upstream_of(&current, 9).ended && upstream_of(&current, 9).unlisted);
}

/// An upstream that drained, crashed and started again under its id loses the store after its earlier
/// start's last write was executed late. Guards against resets of its flows.
#[test]
fn apply_late_leaving_record_of_an_earlier_start_ends_nothing() {
    let mut directory = loaded_directory();
    directory.apply(at(100), upstream(20, UpstreamSpec { started_ms: Some(8), ..spec(2) }));
    directory.apply(at(6_000), upstream(21, UpstreamSpec { leaving: true, ..spec(2) }));
    directory.apply(at(9_600), removed(22, RecordKey::Upstream(UpstreamId(2))));
    let current = table(&mut directory, at(9_600));
    assert!(!upstream_of(&current, 2).ended && upstream_of(&current, 2).unlisted);
}

/// A record of a service that is not configured was not written by an upstream.
#[test]
fn table_address_in_a_foreign_record_ends_nothing() {
    let mut directory = Directory::new(settings());
    directory.load(at(0), all_records());
    let foreign = UpstreamSpec { service: "unknown".to_owned(), addr: spec(1).addr, ..spec(9) };
    directory.apply_all(at(100), vec![upstream(20, foreign)]);
    let (table, _) = directory.table(at(100), "e1");
    let upstream = &table.upstreams[&UpstreamId(1)];
    assert!(!upstream.ended && upstream.accepts_new);
}

/// A record that is removed without notice is no end: the upstream may have lost the store.
#[test]
fn table_record_removed_without_notice_is_unlisted() {
    let mut directory = Directory::new(settings());
    directory.load(at(0), all_records());
    directory.apply_all(at(100), vec![removed(20, RecordKey::Upstream(UpstreamId(1)))]);
    let (table, _) = directory.table(at(100), "e1");
    let upstream = &table.upstreams[&UpstreamId(1)];
    assert!(upstream.unlisted && !upstream.ended && !upstream.accepts_new);
}

/// Flows can be opened before the last page of a first read arrives.
#[test]
fn apply_page_first_read_syncs_early() {
    let mut directory = Directory::new(settings());
    let mut records = all_records();
    let rest = records.split_off(3);
    assert!(directory.apply_page(at(0), records.clone()));
    assert!(directory.is_synced() && directory.is_complete(at(0)));
    records.extend(rest);
    directory.load(at(10), records);
    assert_eq!(directory.table(at(10), "e1").0.upstreams.len(), 4);
    assert!(!directory.apply_page(at(20), vec![upstream(30, spec(9))]));
}

/// After an outage only a complete read tells which upstreams may be missing.
#[test]
fn apply_page_after_an_outage_waits() {
    let mut directory = Directory::new(settings());
    directory.store_lost();
    assert!(!directory.apply_page(at(0), all_records()));
    assert!(!directory.is_synced());
}

/// An entry that started after a route had moved learns from another one where flows may be open.
#[test]
fn add_route_services_of_moved_route() {
    let mut directory = Directory::new(settings());
    directory.apply(at(0), config(10, 5, Some("menus")));
    directory.apply(at(0), upstream(1, spec(1)));
    let known = |directory: &mut Directory| {
        directory.table(at(0), "me").0.routes[&ROUTE].all_services.len()
    };
    assert_eq!(known(&mut directory), 1);
    let names = ["orders".to_owned(), "unknown".to_owned()];
    assert!(directory.add_route_services(ROUTE, &names));
    assert!(!directory.add_route_services(ROUTE, &names), "it is known now");
    assert_eq!(known(&mut directory), 2, "a service without upstreams or configuration is ignored");
    assert_eq!(directory.moved_routes().count(), 1);
    let other = SocketAddrV4::new(*ROUTE.ip(), 9);
    assert!(!directory.add_route_services(other, &names), "no route has this address");
}

/// The record as an answer of the given era tells it.
fn in_era(era: u64, record: Record) -> Record {
    let stamp = |revision: Revision| Revision { era, ..revision };
    Record { revision: stamp(record.revision), created: stamp(record.created), ..record }
}

/// Reads the store after it came back from a copy of all records of the beginning.
fn load_copy(directory: &mut Directory, now: Timestamp) {
    let records = all_records().into_iter().map(|record| in_era(1, record));
    directory.load(now, records.collect());
}

#[test]
fn load_copy_version_does_not_revert() {
    let mut directory = loaded_directory();
    directory.apply(at(1), config(20, 8, Some("menus")));
    load_copy(&mut directory, at(1_000));
    assert_eq!(table(&mut directory, at(60_000)).version, 8);
    directory.apply(at(60_000), in_era(1, config(11, 9, None)));
    assert_eq!(table(&mut directory, at(60_000)).version, 9);
}

#[test]
fn load_copy_draining_upstream_takes_no_new_flows() {
    let mut directory = loaded_directory();
    directory.apply(at(1), upstream(20, UpstreamSpec { leaving: true, ..spec(2) }));
    load_copy(&mut directory, at(1_000));
    load_copy(&mut directory, at(2_000));
    assert_eq!(eligible(&mut directory, at(9_999)), [1, 3, 4]);
    assert_eq!(table(&mut directory, at(9_999)).upstreams.len(), 4);
    let mut confirmed = directory.clone();
    assert_eq!(eligible(&mut directory, at(10_000)), [1, 2, 3, 4], "nobody wrote it again");
    // Revisions are given out again, so a certain word may have a lower number than a lost one.
    confirmed.apply(at(3_000), in_era(1, upstream(15, spec(2))));
    assert_eq!(eligible(&mut confirmed, at(3_000)), [1, 2, 3, 4], "written after the step");
}

#[test]
fn load_copy_missing_upstream_has_not_ended() {
    let mut directory = loaded_directory();
    directory.apply(at(1), upstream(20, spec(6)));
    directory.apply(at(1), upstream(21, UpstreamSpec { leaving: true, ..spec(8) }));
    load_copy(&mut directory, at(1_000));
    assert_eq!(eligible(&mut directory, at(2_999)), [1, 2, 3, 4, 6]);
    for now in [1_000, 2_999, 3_000, 20_000] {
        let table = table(&mut directory, at(now));
        assert!(!upstream_of(&table, 6).ended && !upstream_of(&table, 8).ended, "at {now} ms");
    }
    assert!(upstream_of(&table(&mut directory, at(3_000)), 6).unlisted);
    directory.apply(at(21_000), in_era(1, upstream(12, spec(6))));
    assert_eq!(eligible(&mut directory, at(21_000)), [1, 2, 3, 4, 6]);
}

#[test]
fn load_copy_ended_upstream_gets_nothing() {
    let mut directory = loaded_directory();
    directory.apply(at(1), upstream(20, UpstreamSpec { leaving: true, ..spec(2) }));
    directory.apply(at(2), removed(21, RecordKey::Upstream(UpstreamId(2))));
    directory.apply(at(2), removed(22, RecordKey::Upstream(UpstreamId(3))));
    load_copy(&mut directory, at(1_000));
    let table = table(&mut directory, at(9_000));
    assert!(upstream_of(&table, 2).ended && upstream_of(&table, 3).unlisted);
    assert_eq!(eligible(&mut directory, at(9_000)), [1, 4]);
    let started = UpstreamSpec { started_ms: Some(8), ..spec(2) };
    directory.apply(at(9_000), in_era(1, upstream(9, started)));
    assert_eq!(eligible(&mut directory, at(9_000)), [1, 2, 4], "a new start is another matter");
}

/// The address of an upstream that ended had passed on in the time that the store has lost.
#[test]
fn load_copy_address_passed_on() {
    let mut directory = loaded_directory();
    let taker = UpstreamSpec { service: "menus".to_owned(), addr: spec(1).addr, ..spec(9) };
    directory.apply(at(1), upstream(20, taker));
    load_copy(&mut directory, at(1_000));
    for now in [1_000, 2_999, 3_000, 9_999] {
        let table = table(&mut directory, at(now));
        assert!(!upstream_of(&table, 1).accepts_new && !upstream_of(&table, 9).ended, "at {now}");
    }
}

#[test]
fn load_copy_zone_stays_out_of_service() {
    let mut directory = loaded_directory();
    directory.apply(at(1), zone_out(20, "a"));
    load_copy(&mut directory, at(1_000));
    load_copy(&mut directory, at(3_000));
    assert_eq!(eligible(&mut directory, at(9_999)), [1, 3]);
    let (mut written, mut removed_again) = (directory.clone(), directory.clone());
    assert_eq!(directory.next_change(), Some(at(10_000)));
    let table = table(&mut directory, at(10_000));
    assert!(upstream_of(&table, 2).accepts_new && upstream_of(&table, 2).cold_until > at(10_000));
    written.apply(at(5_000), in_era(1, zone_out(11, "a")));
    assert_eq!(eligible(&mut written, at(60_000)), [1, 3]);
    removed_again.apply(at(5_000), in_era(1, removed(12, RecordKey::ZoneOut("a".to_owned()))));
    assert_eq!(eligible(&mut removed_again, at(5_000)), [1, 2, 3, 4]);
}

/// The store is away for long after the first sign of a new era.
#[test]
fn on_era_holds_until_the_store_is_read() {
    let mut directory = loaded_directory();
    directory.apply(at(1), zone_out(20, "a"));
    assert!(directory.on_era(at(2), 1) && !directory.on_era(at(3), 1));
    assert_eq!((eligible(&mut directory, at(50_000)), directory.next_change()), (vec![1, 3], None));
    load_copy(&mut directory, at(50_000));
    assert_eq!(eligible(&mut directory, at(58_999)), [1, 3]);
    assert_eq!(eligible(&mut directory, at(59_000)), [1, 2, 3, 4]);
}

#[test]
fn on_era_of_a_first_read_is_no_step() {
    let mut directory = Directory::new(settings());
    assert!(!directory.on_era(at(0), 3));
    directory.load(at(0), all_records().into_iter().map(|record| in_era(3, record)).collect());
    assert!(directory.is_complete(at(0)));
    directory.apply(at(1), in_era(3, removed(20, RecordKey::Upstream(UpstreamId(2)))));
    assert_eq!(eligible(&mut directory, at(1)), [1, 3, 4]);
}

#[test]
fn load_late_answer_of_an_earlier_era() {
    let mut directory = loaded_directory();
    load_copy(&mut directory, at(1_000));
    directory.apply(at(1_001), in_era(1, upstream(11, UpstreamSpec { leaving: true, ..spec(2) })));
    directory.load(at(1_002), vec![config(30, 9, Some("menus")), upstream(30, spec(2))]);
    directory.apply_all(
        at(1_003),
        vec![zone_out(31, "b"), removed(32, RecordKey::Upstream(UpstreamId(4)))],
    );
    assert_eq!(eligible(&mut directory, at(20_000)), [1, 3, 4]);
    assert_eq!(table(&mut directory, at(20_000)).version, 9, "configurations have their own order");
}

#[test]
fn load_copy_members_count_for_grace_period() {
    let mut directory = loaded_directory();
    directory.apply(at(1), member("other", 31));
    load_copy(&mut directory, at(1_000));
    assert_eq!(table(&mut directory, at(4_999)).entries.len(), 2);
    assert_eq!(table(&mut directory, at(5_000)).entries.len(), 1);
    directory.apply(at(5_000), in_era(1, member("other", 12)));
    assert_eq!(table(&mut directory, at(5_000)).entries.len(), 2);
}

#[test]
fn load_copy_keeps_cold_until() {
    let mut directory = Directory::new(settings());
    let mut records = all_records();
    records[2] = upstream(2, UpstreamSpec { cold_left: Duration::from_secs(3), ..spec(2) });
    directory.load(at(0), records.clone());
    directory.load(at(2_000), records.into_iter().map(|record| in_era(1, record)).collect());
    assert_eq!(upstream_of(&table(&mut directory, at(2_000)), 2).cold_until, at(3_000));
}

proptest! {
    /// Whatever was lost: what took no new flows takes none on the copy's word, nothing ends, and no
    /// version reverts. A second step may come at any time.
    #[test]
    fn load_any_copy(
        kept in proptest::collection::vec((0_u8..6, 1_u64..7, 1_u64..20), 0..20),
        lost in proptest::collection::vec((0_u8..6, 1_u64..7, 1_u64..20), 0..20),
        second in 0_u64..8_999,
    ) {
        // Upstreams 5 and 6 take the addresses of 1 and 2.
        let taker = |id| UpstreamSpec { addr: spec((id - 1) % 4 + 1).addr, ..spec(id) };
        let mut directory = Directory::new(settings());
        let mut store = all_records();
        directory.load(at(0), store.clone());
        let (mut revision, mut copy) = (100, store.clone());
        for (number, (kind, id, version)) in kept.iter().chain(&lost).enumerate() {
            revision += 1;
            let record = match kind {
                0 => config(revision, *version, Some("menus")),
                1 => upstream(revision, taker(*id)),
                2 => upstream(revision, UpstreamSpec { leaving: true, ..taker(*id) }),
                3 => removed(revision, RecordKey::Upstream(UpstreamId(*id))),
                4 => zone_out(revision, "a"),
                _ => removed(revision, RecordKey::ZoneOut("a".to_owned())),
            };
            store.retain(|current| current.key != record.key);
            store.extend(record.value.is_some().then(|| record.clone()));
            directory.apply(at(number as u64), record);
            if number < kept.len() {
                copy.clone_from(&store);
            }
        }
        let before = table(&mut directory, at(1_000));
        let taking = eligible(&mut directory, at(1_000));
        for (now, era) in [(1_000, 1), (1_001 + second, 2)] {
            let read = copy.iter().cloned().map(|record| in_era(era, record)).collect();
            directory.load(at(now), read);
            for now in [now, now + 1_999, now + 8_999] {
                let after = table(&mut directory, at(now));
                prop_assert!(after.version >= before.version);
                for (id, upstream) in &after.upstreams {
                    let known = before.upstreams.get(id);
                    let took = taking.contains(&id.0);
                    prop_assert!(took || known.is_none() || !upstream.accepts_new, "{id:?} at {now}");
                    let had_ended = known.is_none_or(|known| known.ended);
                    prop_assert!(had_ended || !upstream.ended, "{id:?} at {now} has ended");
                }
            }
        }
    }
}
