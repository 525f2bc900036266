//! The traffic thread's sockets.

mod support;

use std::net::Ipv4Addr;

use flow::{Id, Target};
use ibis_entry::traffic::sockets::Sockets;

/// A socket takes its first packet, before the runtime has looked at it.
///
/// Found by the demo: after each start of an entry the first packet from each source port was lost
/// and sessions waited a second for the next.
#[tokio::test]
async fn first_packet_sent() {
    let cfg = support::read(support::VALID_ARGS.into_iter().chain([support::HASH_KEY]));
    let mut sockets = Sockets::bind(&cfg.expect("good settings")).expect("free ports");
    let ip = Ipv4Addr::new(127, 77, 2, 1);
    for path in 0..8 {
        sockets.send(b"packet", Target::Upstream { ip, path });
    }
    sockets.send(b"packet", Target::Caller);
    sockets.send(b"packet", Target::Peer { to: Id(ip), upstream: None, hops: 1 });
    assert_eq!(sockets.failed_sends(), 0);
}
