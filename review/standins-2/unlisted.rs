//! The first registration of an entry is done late and not answered, and the entry registers again. A
//! minute later it leaves as planned.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::client::Client;
use crate::endpoint::Work;
use crate::fleet::{self, Fleet};
use crate::record::Record;
use crate::wire;

/// Share of answers to openings that are lost.
const LOSS: f64 = 0.02;

/// Flows, the time in which they are opened, and from an opening to the first request.
const FLOWS: usize = 1_600;
const OPENED_WITHIN: Duration = Duration::from_millis(4_000);
const PAUSE: Duration = Duration::from_millis(5_200);

pub fn run(record: &Arc<Record>, trouble: bool) -> bool {
    let work = Work { mean_ms: 20.0, min_bytes: 400, max_bytes: 900 };
    let key = trouble.then_some("ibis/nodes/edge-zone-a-1");
    let fleet = Fleet::start(record, work, 2, 6, 2, "unsafe", LOSS, key);
    let ready = fleet.wait_ready(record);
    // The lease of the first registration lasts for 10 s, and the others remember an entry for
    // `flow_ttl_s` after that.
    thread::sleep(Duration::from_secs_f64((73.0 - wire::clock()).max(0.0)));
    let listed = fleet.store.count("ibis/nodes/");
    record.note(&format!("{listed} of 4 entries are registered, all run"));
    let endpoint = Arc::clone(&fleet.world.endpoints.lock().unwrap()[11]);
    fleet.store.put(&endpoint.key(), &endpoint.entry());
    thread::sleep(Duration::from_millis(2_500));
    let mut users = Vec::new();
    for number in 0..FLOWS {
        let client = Client { body: 900, ..fleet.client(number, 0) };
        let builder = thread::Builder::new().stack_size(128 << 10);
        match builder.spawn(move || client.hold_once(PAUSE)) {
            Ok(user) => users.push(user),
            Err(_) => return false,
        }
        thread::sleep(OPENED_WITHIN / FLOWS as u32);
    }
    fleet::report(record, &fleet.world, "opened");
    let node = &fleet.world.nodes[0];
    record.note(&format!("{} gets SIGTERM", node.name));
    node.stop("-TERM");
    record.note(&format!("{} has left", node.name));
    thread::sleep(Duration::from_secs(7));
    fleet::report(record, &fleet.world, "end");
    fleet.stop(record, users);
    ready
}
