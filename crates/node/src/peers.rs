//! Talk between entries: short questions whether a zone can be reached, and which upstreams fail.

use std::io;
use std::net::{SocketAddr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;

use health::Tally;
use kameo::actor::ActorRef;
use peer_proto::v1::reach::Kind;
use steer::UpstreamId;
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, watch};
use tokio::time;

use crate::control::{Control, PingZones, Pong, ReceivedUpdates, SendUpdates};
use crate::traffic::ReachabilityReport;

/// Time between looks whether a silent zone is to be asked again.
const ASK_EVERY: Duration = Duration::from_millis(50);

/// Largest message that is read.
const MESSAGE_MAX: usize = 1_400;

/// Binds the socket for talk between entries.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub async fn bind(addr: SocketAddrV4) -> io::Result<Arc<UdpSocket>> {
    Ok(Arc::new(UdpSocket::bind(addr).await?))
}

/// Answers questions and hands on answers, until the control state is gone.
pub async fn listen(socket: Arc<UdpSocket>, control: ActorRef<Control>) {
    let mut buf = [0_u8; MESSAGE_MAX];
    loop {
        let (len, from) = match socket.recv_from(&mut buf).await {
            Ok((len, SocketAddr::V4(from))) => (len, from),
            Ok(_) => continue,
            Err(e) => {
                // An answer of the network to an earlier message; the socket is fine.
                tracing::debug!(error = %e, "message between entries not received");
                continue;
            }
        };
        match peer_proto::decode_reach(&buf[..len]) {
            Ok(Some(Kind::Ping(nonce))) => {
                let bytes = peer_proto::encode_reach(Kind::Pong(nonce));
                if let Err(e) = socket.try_send_to(&bytes, from.into()) {
                    tracing::debug!(error = %e, to = %from, "answer not sent");
                }
            }
            Ok(Some(Kind::Pong(nonce))) => {
                if control.tell(Pong { from, nonce }).await.is_err() {
                    return;
                }
            }
            Ok(Some(Kind::Answers(answers))) => {
                if control.tell(ReceivedUpdates { from, answers }).await.is_err() {
                    return;
                }
            }
            Ok(None) | Err(_) => {
                metrics::counter!("ibis_peer_messages_malformed_total").increment(1);
            }
        }
    }
}

/// Passes on what the traffic thread has seen of upstreams' answers, until it ends.
pub async fn forward_updates(
    mut news: mpsc::Receiver<Vec<Tally<UpstreamId>>>,
    control: ActorRef<Control>,
) {
    while let Some(news) = news.recv().await {
        if control.tell(SendUpdates(news)).await.is_err() {
            return;
        }
    }
}

/// Tells the control state of silent zones, and has it ask as long as there are any.
pub async fn watch_reachability(
    mut silence: watch::Receiver<ReachabilityReport>,
    control: ActorRef<Control>,
) {
    while silence.changed().await.is_ok() {
        let known = *silence.borrow_and_update();
        if control.tell(known).await.is_err() {
            return;
        }
        while !silence.has_changed().unwrap_or(true) {
            time::sleep(ASK_EVERY).await;
            match control.ask(PingZones).await {
                Ok(true) => {}
                Ok(false) => break,
                Err(_) => return,
            }
        }
    }
}
