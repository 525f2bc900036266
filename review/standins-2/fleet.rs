//! A small deployment as in waha-takaful-grown: a store, endpoints, entries and routers.

use std::fs;
use std::net::SocketAddrV4;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use crate::client::{Client, Counts, World};
use crate::endpoint::{Endpoint, Work};
use crate::node::{self, Node};
use crate::record::Record;
use crate::site::{DATA_PORT, Site};
use crate::store::Store;
use crate::wire;

const BOUNDS: &[(&str, &str)] = &[
    ("seed_staleness_s", "3"),
    ("addr_reuse_s", "2"),
    ("stable_window_ms", "5000"),
    ("ack_ms", "8000"),
    ("sync_s", "6"),
    ("drain_ms", "5000"),
    ("grace_s", "6"),
    ("loss_slack_ms", "200"),
    ("config_apply_ms", "5000"),
    ("downgrade_slack_ms", "250"),
    ("skew_max_ms", "15000"),
    ("warmup_overage_factor", "1.5"),
    ("warmup_burst", "5"),
    ("evac_ms", "5000"),
    ("recover_s", "15"),
    ("reorder_ms", "2000"),
    ("flow_ttl_s", "60"),
];

pub const SERVICE: &str = "policy-desk";

pub struct Fleet {
    pub site: Site,
    pub store: Arc<Store>,
    pub world: Arc<World>,
    pub route: SocketAddrV4,
}

impl Fleet {
    /// Starts `endpoints` and `entries` in each zone, with a route of a kind. The first write of the key
    /// `lost_write` is done late. The network loses a share `loss` of endpoints' answers to openings.
    pub fn start(
        record: &Arc<Record>,
        work: Work,
        zones: usize,
        endpoints: usize,
        entries: usize,
        kind: &str,
        loss: f64,
        lost_write: Option<&str>,
    ) -> Self {
        let site = Site::new(zones, BOUNDS);
        let store = Store::start(site.store());
        if let Some(key) = lost_write {
            store.lose_write(key);
        }
        let mut all = Vec::new();
        for index in 0..zones * endpoints {
            let addr = SocketAddrV4::new(site.ip(64, 1 + index), 8_080);
            let id = wire::random() >> 24;
            let zone = &site.zones[index % zones];
            let endpoint =
                Endpoint::start(index, id, addr, zone, SERVICE, work, DATA_PORT, loss, record);
            store.put(&endpoint.key(), &endpoint.entry());
            all.push(endpoint);
        }
        let route = SocketAddrV4::new(site.ip(200, 1), 8_443);
        store.put("op/config", &config(route, kind));
        let mut nodes = Vec::new();
        for number in 0..zones * entries {
            let zone = &site.zones[number % zones];
            let ip = site.ip(10 + (number % zones) as u8, 10 + number);
            nodes.push(Node::start(
                &site,
                &format!("edge-{zone}-{}", 1 + number / zones),
                ip,
                zone,
            ));
        }
        let world = Arc::new(World {
            nodes,
            endpoints: Mutex::new(all),
            record: Arc::clone(record),
            running: AtomicBool::new(true),
            counts: Counts::default(),
        });
        Self { site, store, world, route }
    }

    /// Waits for the entries. Returns whether all are in rotation and registered.
    pub fn wait_ready(&self, record: &Record) -> bool {
        let count = self.world.nodes.len();
        let is_ready = || {
            self.world.nodes.iter().all(|node| node.is_in_rotation())
                && self.store.count("ibis/nodes/") == count
        };
        for _ in 0..100 {
            if is_ready() {
                break;
            }
            thread::sleep(Duration::from_millis(100));
        }
        thread::sleep(Duration::from_secs(3));
        record.note(&format!("{count} entries started, all in rotation: {}", is_ready()));
        is_ready()
    }

    /// A client with long flows. `pause_ms` is the mean pause between its requests.
    pub fn client(&self, number: usize, pause_ms: u64) -> Client {
        let zones = self.site.zones.len();
        let (zone, place) = (number % zones, number / zones);
        Client {
            world: Arc::clone(&self.world),
            zone: self.site.zones[zone].clone(),
            addr: SocketAddrV4::new(
                self.site.ip((100 + zone + zones * (place / 250)) as u8, 1 + place % 250),
                DATA_PORT,
            ),
            route: self.route,
            pause: Duration::from_millis(pause_ms),
            deadline: Duration::from_millis(2_000),
            per_flow: 200,
            body: 0,
            running: Arc::new(AtomicBool::new(true)),
        }
    }

    /// Ends the clients and all processes.
    pub fn stop(&self, record: &Record, users: Vec<JoinHandle<()>>) {
        self.world.running.store(false, Ordering::Relaxed);
        for user in users {
            let _ended = user.join();
        }
        for node in &self.world.nodes {
            node.kill();
            let log = fs::read_to_string(&node.log).unwrap_or_default();
            for line in log.lines().filter(|line| line.contains("flow reset")).take(3) {
                record.line(&format!("log of {}: {line}", node.name));
            }
        }
        node::forget_processes();
        let _left = fs::remove_dir_all(&self.site.folder);
    }
}

fn config(route: SocketAddrV4, kind: &str) -> String {
    format!(
        r#"{{"version":7,"routes":[{{"name":"r-1","host":"{}","prefix":"/{}/","type":"{kind}","timeout_ms":2000,"goal_ms":400,"priority":2,"service":"{SERVICE}","max_attempts":2}}],"services":[{{"name":"{SERVICE}","health_path":"/healthz","max_conns":2000,"protocol":"h1","tls":false,"warmup_s":2.0,"warmup_per_s":10.0}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#,
        route.ip(),
        route.port()
    )
}

pub fn report(record: &Record, world: &World, when: &str) {
    let c = &world.counts;
    let get = |count: &AtomicU64| count.load(Ordering::Relaxed);
    record.note(&format!(
        "{when}: asked {}, served {} ({} later than 400 ms), shed {}, copies {}, resets {}, failed {}, flows {}",
        get(&c.asked),
        get(&c.served),
        get(&c.late),
        get(&c.shed),
        get(&c.copies),
        get(&c.resets),
        get(&c.failed),
        get(&c.opened)
    ));
}
