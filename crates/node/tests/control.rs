//! The control state when the traffic thread is gone.

use std::sync::Arc;
use std::sync::mpsc;
use std::time::Duration;

use directory::{Directory, Settings};
use kameo::actor::Spawn as _;
use node::control::{Control, Readiness, Tick};
use stdx::time::Clock;
use tokio::net::UdpSocket;
use tokio::sync::watch;

/// A process without its traffic thread would say that it is ready and carry nothing.
#[tokio::test]
async fn tick_traffic_thread_gone() {
    let (commands, inbox) = mpsc::channel();
    let (reports_tx, reports) = mpsc::sync_channel(1);
    let (ready, shown) = watch::channel(Readiness::Starting);
    let socket = Arc::new(UdpSocket::bind("127.0.0.1:0").await.unwrap());
    let directory = Directory::new(Settings {
        relist_grace: Duration::from_secs(2),
        retention: Duration::from_secs(9),
        member_grace: Duration::from_secs(4),
        cold_burst: 5,
        cold_factor_permille: 1_500,
    });
    let control = Control::new(Clock::start(), "me", directory, commands, reports, ready, socket);
    let control = Control::spawn(control);
    control.ask(Tick).await.unwrap();
    assert_eq!(*shown.borrow(), Readiness::Starting);
    drop((inbox, reports_tx));
    control.ask(Tick).await.unwrap();
    assert_eq!(*shown.borrow(), Readiness::Broken);
}
