//! Many users come at once for 3 s: requests wait in the queues of endpoints that live.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::endpoint::Work;
use crate::fleet::{self, Fleet};
use crate::record::Record;

/// Usual users, and how many times as many the burst has.
const USERS: usize = 120;
const BURST: f64 = 1.7;
const ROUNDS: usize = 4;

pub fn run(record: &Arc<Record>, trouble: bool) -> bool {
    let work = Work { mean_ms: 47.0, min_bytes: 400, max_bytes: 1_600 };
    let fleet = Fleet::start(record, work, 4, 3, 7);
    let ready = fleet.wait_ready(record);
    let mut threads: Vec<_> = (0..USERS).map(|number| fleet.client(number, 150).spawn()).collect();
    thread::sleep(Duration::from_secs(8));
    for round in 0..ROUNDS {
        fleet::report(record, &fleet.world, "usual load");
        if trouble {
            let all = (USERS as f64 * BURST) as usize;
            record.note(&format!("burst {round}: {USERS} users become {all} for 3 s"));
            let more: Vec<_> = (USERS..all).map(|number| fleet.client(number, 150)).collect();
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
        thread::sleep(Duration::from_secs(8));
    }
    fleet::report(record, &fleet.world, "end");
    fleet.stop(record, threads);
    ready
}
