//! Stand-ins for the cases of the second review: store, routers, endpoints and clients on loopback,
//! around the system's own program. Usage: `standin CASE RECORD`.

mod client;
mod endpoint;
mod fleet;
mod late;
mod node;
mod opened;
mod record;
mod silent;
mod site;
mod store;
mod unlisted;
mod wire;

use std::process::exit;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use record::Record;

/// Ends the run: the case couldn't run. Only before an entry was started.
pub fn cannot_run(what: &str) -> ! {
    eprintln!("cannot run: {what}");
    exit(2)
}

fn main() {
    wire::clock();
    let mut args = std::env::args().skip(1);
    let case = args.next().unwrap_or_default();
    let path = args.next().unwrap_or_default();
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Arc::new(Record::create(&path));
    let ran = match case.as_str() {
        "late" => late::run(&record, trouble),
        "opened" => opened::run(&record, trouble),
        "silent" => silent::run(&record, trouble),
        "unlisted" => unlisted::run(&record, trouble),
        _ => cannot_run("no such case"),
    };
    let breaks = record.breaks();
    for text in breaks.iter().take(5) {
        record.note(&format!("BROKEN at {text}"));
    }
    record.note(&format!("{} breaks of the rule", breaks.len()));
    record.close();
    thread::sleep(Duration::from_millis(50));
    exit(if !ran { 2 } else { i32::from(!breaks.is_empty()) })
}
