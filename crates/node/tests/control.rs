//! The control actor: pins that other entries have to confirm, and the end of the traffic thread.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::Arc;
use std::sync::mpsc;
use std::time::Duration;

use directory::{Directory, Member, Record, RecordKey, RecordValue, Revision, Settings};
use kameo::actor::{ActorRef, Spawn as _};
use node::control::{
    Control, CountUnconfirmedPins, Loaded, PinsConfirmed, Readiness, ReceivedPins, SendToPeers,
    Tick,
};
use node::pins;
use node::traffic::{Command, PeerMessage, Report};
use peer_proto::v1;
use peer_proto::v1::reach::Kind;
use stdx::time::Clock;
use steer::{FlowKey, Pin, UpstreamId};
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio::time;

/// A control actor without records, the other ends of its channels, and its readiness.
async fn spawn() -> (
    ActorRef<Control>,
    (mpsc::Receiver<Command>, mpsc::SyncSender<Report>),
    watch::Receiver<Readiness>,
) {
    let (commands, inbox) = mpsc::channel();
    let (reports_tx, reports) = mpsc::sync_channel(1);
    let (ready_tx, ready_rx) = watch::channel(Readiness::Starting);
    let socket = Arc::new(UdpSocket::bind("127.0.0.1:0").await.unwrap());
    let directory = Directory::new(Settings {
        relist_grace: Duration::from_secs(2),
        retention: Duration::from_secs(9),
        member_grace: Duration::from_secs(4),
        step_hold: Duration::from_secs(9),
        cold_burst: 5,
        cold_factor_permille: 1_500,
    });
    let control =
        Control::new(Clock::start(), "me", directory, commands, reports, ready_tx, socket);
    (Control::spawn(control), (inbox, reports_tx), ready_rx)
}

/// The record of an entry.
fn member(name: &str, addr: SocketAddr, number: u64) -> Record {
    let SocketAddr::V4(addr) = addr else { panic!("not an IPv4 address") };
    let member = Member { addr, zone: "a".to_owned(), incarnation: 1, link_mbps: 10 };
    Record {
        key: RecordKey::Member(name.to_owned()),
        value: Some(RecordValue::Member(member)),
        revision: Revision::new(0, number),
        created: Revision::new(0, number),
    }
}

fn pin() -> Pin {
    let addr = |port| SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 7), port);
    let flow = FlowKey { client: addr(1_000), service: addr(443) };
    Pin { flow, initial_seq: 7, first_ack: 9, upstream: UpstreamId(1 << 60) }
}

/// The next message with pins, if one comes soon.
async fn next_pins(peer: &UdpSocket) -> Option<(v1::Pins, SocketAddr)> {
    let mut buf = [0; 1_400];
    let received = time::timeout(Duration::from_millis(500), peer.recv_from(&mut buf)).await;
    let (len, from) = received.ok()?.unwrap();
    match peer_proto::decode_reach(&buf[..len]) {
        Ok(Some(Kind::Pins(msg))) => Some((msg, from)),
        other => panic!("{other:?}"),
    }
}

/// Guards against pins that are lost on their way or not heard, and end with the entry that opened the
/// flows: they are sent until they are confirmed.
#[tokio::test]
async fn send_to_peers_pins_until_confirmed() {
    let (control, _channels, _ready) = spawn().await;
    let peer = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let records = vec![member("peer", peer.local_addr().unwrap(), 1)];
    control.ask(Loaded(records)).await.unwrap();
    control.ask(SendToPeers(PeerMessage::Pins(vec![pin()]))).await.unwrap();
    let (first, _) = next_pins(&peer).await.expect("pins are sent");
    let (again, from) = next_pins(&peer).await.expect("pins are sent again");
    assert_eq!((pins::decode(&first), &first), (vec![pin()], &again));
    assert_eq!(control.ask(CountUnconfirmedPins).await.unwrap(), 1);
    let SocketAddr::V4(addr) = peer.local_addr().unwrap() else { panic!("not IPv4") };
    control.ask(PinsConfirmed { from: addr, number: first.number }).await.unwrap();
    assert_eq!(control.ask(CountUnconfirmedPins).await.unwrap(), 0);
    while next_pins(&peer).await.is_some() {}
    // A message of another entry is confirmed as soon as the traffic thread gets its pins.
    let msg = ReceivedPins { from: addr, pins: first };
    control.ask(msg).await.unwrap();
    let mut buf = [0; 1_400];
    let (len, at) = peer.recv_from(&mut buf).await.unwrap();
    let confirmed = peer_proto::decode_reach(&buf[..len]).unwrap();
    assert_eq!((confirmed, at), (Some(Kind::PinsReceived(v1::PinsReceived { number: 1 })), from));
}

/// Guards against lost pins that are sent again too late for an entry that leaves, because an older
/// message to an entry that has crashed is due later.
#[tokio::test]
async fn send_to_peers_pins_beside_a_crashed_entry() {
    let (control, _channels, _ready) = spawn().await;
    let crashed = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let records = vec![member("crashed", crashed.local_addr().unwrap(), 1)];
    control.ask(Loaded(records)).await.unwrap();
    control.ask(SendToPeers(PeerMessage::Pins(vec![pin()]))).await.unwrap();
    // The message is sent for the fifth time, and the sixth time follows 800 ms later.
    for _ in 0..5 {
        next_pins(&crashed).await.expect("pins are sent again");
    }
    let peer = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let records = vec![
        member("crashed", crashed.local_addr().unwrap(), 1),
        member("peer", peer.local_addr().unwrap(), 2),
    ];
    control.ask(Loaded(records)).await.unwrap();
    control.ask(SendToPeers(PeerMessage::Pins(vec![pin()]))).await.unwrap();
    next_pins(&peer).await.expect("pins are sent");
    next_pins(&peer).await.expect("pins are sent again");
}

/// Guards against a process that reports itself ready although its traffic thread has ended.
#[tokio::test]
async fn tick_traffic_thread_ended() {
    let (control, (inbox, reports_tx), ready_rx) = spawn().await;
    control.ask(Tick).await.unwrap();
    assert_eq!(*ready_rx.borrow(), Readiness::Starting);
    drop((inbox, reports_tx));
    control.ask(Tick).await.unwrap();
    assert_eq!(*ready_rx.borrow(), Readiness::Broken);
}
