//! Clients open flows ahead of their first requests. Meanwhile one entry is restarted as planned.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::client::Client;
use crate::endpoint::Work;
use crate::fleet::{self, Fleet};
use crate::record::Record;

/// Share of answers to openings that are lost.
const LOSS: f64 = 0.02;

/// Flows, and the time in which they are opened.
const FLOWS: usize = 1_600;
const OPENED_WITHIN: Duration = Duration::from_secs(4);

/// From the opening of a flow to its first request; `idle_timeout_ms` is 15 s.
const PAUSE: Duration = Duration::from_secs(11);

pub fn run(record: &Arc<Record>, trouble: bool) -> bool {
    let work = Work { mean_ms: 20.0, min_bytes: 400, max_bytes: 900 };
    let fleet = Fleet::start(record, work, 2, 6, 2, "unsafe", LOSS, None);
    let ready = fleet.wait_ready(record);
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
    thread::sleep(Duration::from_secs(1));
    if trouble {
        let node = &fleet.world.nodes[0];
        record.note(&format!("{} gets SIGTERM", node.name));
        node.stop("-TERM");
        node.launch();
        record.note(&format!("{} is started again", node.name));
    }
    thread::sleep(Duration::from_secs(14));
    fleet::report(record, &fleet.world, "end");
    fleet.stop(record, users);
    ready
}
