//! Many users come at once for 3 s: requests wait in the queues of endpoints that live.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::client::Client;
use crate::endpoint::Work;
use crate::fleet::{self, Fleet};
use crate::record::Record;

/// Usual users, and how many times as many the burst has.
const USERS: usize = 104;
const BURST: f64 = 1.7;
const ROUNDS: usize = 6;

pub fn run(record: &Arc<Record>, trouble: bool) -> bool {
    let work = Work { mean_ms: 47.0, min_bytes: 400, max_bytes: 1_600 };
    let fleet = Fleet::start(record, work, 4, 4, 3, "safe", 0.0, None);
    let ready = fleet.wait_ready(record);
    // Flows that last for the whole run, which is shorter than `flow_ttl_s`.
    let client = |number| Client { per_flow: 500, ..fleet.client(number, 150) };
    // The usual users come one after the other, so that their flows are placed evenly.
    let mut threads = Vec::new();
    for number in 0..USERS {
        threads.push(client(number).spawn());
        thread::sleep(Duration::from_millis(25));
    }
    thread::sleep(Duration::from_secs(5));
    for round in 0..ROUNDS {
        fleet::report(record, &fleet.world, "usual load");
        if trouble {
            let all = (USERS as f64 * BURST) as usize;
            record.note(&format!("burst {round}: {USERS} users become {all} for 3 s"));
            let more: Vec<_> = (USERS..all).map(client).collect();
            let running: Vec<_> = more.iter().map(|client| Arc::clone(&client.running)).collect();
            threads.extend(more.into_iter().map(|client| client.spawn()));
            thread::sleep(Duration::from_secs(3));
            fleet::report(record, &fleet.world, "burst");
            for running in running {
                running.store(false, Ordering::Relaxed);
            }
        } else {
            thread::sleep(Duration::from_secs(3));
        }
        thread::sleep(Duration::from_secs(5));
    }
    fleet::report(record, &fleet.world, "end");
    fleet.stop(record, threads);
    ready
}
