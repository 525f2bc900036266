//! Tests of the traffic thread's sockets.

mod support;

use std::net::Ipv4Addr;

use flow::{Id, Target};
use ibis_entry::traffic::sockets::Sockets;

/// Guards against losing the first packet of each source port after a start, which delayed sessions
/// by a second until the retransmission. A Tokio socket does not send before the runtime has polled
/// it for the first time.
#[tokio::test]
async fn first_packet_sent() {
    let cfg = support::read(support::VALID_ARGS.into_iter().chain([support::HASH_KEY]));
    let mut sockets = Sockets::bind(&cfg.expect("valid settings")).expect("the addresses are free");
    let ip = Ipv4Addr::new(127, 77, 2, 1);
    for path in 0..8 {
        sockets.send(b"packet", Target::Upstream { ip, path });
    }
    sockets.send(b"packet", Target::Caller);
    sockets.send(b"packet", Target::Peer { to: Id(ip), upstream: None, hops: 1 });
    assert_eq!(sockets.failed_sends(), 0);
}
