//! The stand-ins of the review's scripts, and the scripts' steps: clients, routers, endpoints and
//! the platform's store on loopback, around the system's own processes.
//!
//! `standins CASE RECORD` plays a case and exits with 1 if the rule was broken, 0 if it held, and 2
//! if the case couldn't run. With `TROUBLE=0` in the environment it leaves out the disruption.

mod cases;
mod client;
mod endpoint;
mod packet;
mod router;
mod store;
mod world;

use std::process::ExitCode;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, record] = args.as_slice() else {
        eprintln!("usage: standins CASE RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    match cases::play(case, record, trouble) {
        Ok(true) => ExitCode::from(1),
        Ok(false) => ExitCode::SUCCESS,
        Err(problem) => {
            eprintln!("the case couldn't run: {problem}");
            ExitCode::from(2)
        }
    }
}
