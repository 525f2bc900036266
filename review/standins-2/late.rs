//! A write of an endpoint is done seconds late. Meanwhile the endpoint has crashed, and a new one runs
//! at its address.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::client::Client;
use crate::endpoint::{Endpoint, Work};
use crate::fleet::{self, Fleet};
use crate::record::Record;
use crate::site::DATA_PORT;
use crate::wire;

pub fn run(record: &Arc<Record>, trouble: bool) -> bool {
    let work = Work { mean_ms: 47.0, min_bytes: 400, max_bytes: 1_600 };
    let fleet = Fleet::start(record, work, 4, 2, 2, "safe", 0.0, None);
    let ready = fleet.wait_ready(record);
    // Flows of some 3 s, so that the new endpoint gets some.
    let client = |number| Client { per_flow: 15, ..fleet.client(number, 150) };
    let users: Vec<_> = (0..32).map(|number| client(number).spawn()).collect();
    thread::sleep(Duration::from_secs(5));
    let old = Arc::clone(&fleet.world.endpoints.lock().unwrap()[0]);
    record.note(&format!("endpoint 0, {}, writes its entry for the last time", old.key()));
    if trouble {
        // The answer is lost, and the write is done 6 s later.
        let (store, old) = (Arc::clone(&fleet.store), Arc::clone(&old));
        let record = Arc::clone(record);
        thread::spawn(move || {
            thread::sleep(Duration::from_secs(6));
            record.note(&format!("the write of {} is done", old.key()));
            store.put(&old.key(), &old.entry());
            thread::sleep(Duration::from_millis(3_600));
            store.remove(&old.key());
            record.note(&format!("{} is removed after three intervals of silence", old.key()));
        });
    } else {
        fleet.store.put(&old.key(), &old.entry());
    }
    thread::sleep(Duration::from_millis(50));
    old.alive.store(false, Ordering::Relaxed);
    record.note("endpoint 0 crashes");
    // It starts again at once, over 5 s (`stable_window_ms`) before the write is done.
    thread::sleep(Duration::from_millis(700));
    let index = fleet.world.endpoints.lock().unwrap().len();
    let addr: SocketAddrV4 = old.addr;
    let new = Endpoint::start(
        index,
        wire::random() >> 24,
        addr,
        &old.zone,
        &old.service,
        work,
        DATA_PORT,
        0.0,
        record,
    );
    fleet.world.endpoints.lock().unwrap().push(Arc::clone(&new));
    fleet.store.put(&new.key(), &new.entry());
    record.note(&format!("endpoint {index}, {}, starts in its place, at its address", new.key()));
    // Three intervals of silence after the last write that was done in time.
    thread::sleep(Duration::from_millis(if trouble { 1_650 } else { 2_850 }));
    fleet.store.remove(&old.key());
    record.note(&format!("{} is removed after three intervals of silence", old.key()));
    thread::sleep(Duration::from_secs(8));
    fleet::report(record, &fleet.world, "end");
    fleet.stop(record, users);
    ready
}
