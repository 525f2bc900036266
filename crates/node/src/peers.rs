//! Messages between entries over UDP: pings that test whether a zone can be reached, updates on the
//! outcomes of upstreams' answers, pins of flows, services of routes, offers of facts, and news of
//! load.

use std::io;
use std::net::{SocketAddr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;

use kameo::actor::ActorRef;
use peer_proto::v1;
use peer_proto::v1::reach::Kind;
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, watch};
use tokio::time;

use crate::control::{
    Control, PingZones, PinsConfirmed, Pong, ReceivedLoadReport, ReceivedLookup, ReceivedPins,
    ReceivedRouteLookup, ReceivedRouteServices, ReceivedSilences, ReceivedUpdates, SendToPeers,
};
use crate::facts::{ReceivedFactsState, ReceivedOffer};
use crate::traffic::{PeerMessage, ReachabilityReport};

/// Interval at which unreachable zones are checked for due pings.
const PING_INTERVAL: Duration = Duration::from_millis(50);

/// Largest message that is read; longer ones are truncated.
const MAX_MESSAGE_BYTES: usize = 1_400;

/// Binds the socket for messages between entries.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub async fn bind(addr: SocketAddrV4) -> io::Result<Arc<UdpSocket>> {
    Ok(Arc::new(UdpSocket::bind(addr).await?))
}

/// Answers pings and passes other messages to the control actor, until the actor has stopped.
pub async fn listen(socket: Arc<UdpSocket>, control: ActorRef<Control>) {
    let mut buf = [0_u8; MAX_MESSAGE_BYTES];
    loop {
        let (len, from) = match socket.recv_from(&mut buf).await {
            Ok((len, SocketAddr::V4(from))) => (len, from),
            Ok(_) => continue,
            Err(e) => {
                // An ICMP error for an earlier message; the socket is still usable.
                tracing::debug!(error = %e, "failed to receive message from another entry");
                continue;
            }
        };
        match peer_proto::decode_reach(&buf[..len]) {
            Ok(Some(Kind::Ping(nonce))) => {
                let bytes = peer_proto::encode_reach(Kind::Pong(nonce));
                if let Err(e) = socket.try_send_to(&bytes, from.into()) {
                    tracing::debug!(error = %e, to = %from, "failed to send pong");
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
            Ok(Some(Kind::Silences(silences))) => {
                if control.tell(ReceivedSilences { from, silences }).await.is_err() {
                    return;
                }
            }
            Ok(Some(Kind::Pins(pins))) => {
                if control.tell(ReceivedPins { from, pins }).await.is_err() {
                    return;
                }
            }
            Ok(Some(Kind::PinsReceived(v1::PinsReceived { number }))) => {
                if control.tell(PinsConfirmed { from, number }).await.is_err() {
                    return;
                }
            }
            Ok(Some(Kind::PinLookup(lookup))) => {
                if control.tell(ReceivedLookup { from, lookup }).await.is_err() {
                    return;
                }
            }
            Ok(Some(Kind::RouteLookup(_))) => {
                if control.tell(ReceivedRouteLookup { from }).await.is_err() {
                    return;
                }
            }
            Ok(Some(Kind::RouteServices(services))) => {
                if control.tell(ReceivedRouteServices { from, services }).await.is_err() {
                    return;
                }
            }
            Ok(Some(Kind::FactsOffer(_))) => {
                if control.tell(ReceivedOffer { from }).await.is_err() {
                    return;
                }
            }
            Ok(Some(Kind::FactsState(state))) => {
                if control.tell(ReceivedFactsState { from, needed: state.needed }).await.is_err() {
                    return;
                }
            }
            Ok(Some(Kind::LoadReport(report))) => {
                if control.tell(ReceivedLoadReport { from, report }).await.is_err() {
                    return;
                }
            }
            Ok(None) | Err(_) => {
                metrics::counter!("ibis_peer_messages_malformed_total").increment(1);
            }
        }
    }
}

/// Passes the traffic thread's messages to other entries to the control actor, until the thread
/// ends.
pub async fn forward_messages(
    mut messages: mpsc::Receiver<PeerMessage>,
    control: ActorRef<Control>,
) {
    while let Some(msg) = messages.recv().await {
        if control.tell(SendToPeers(msg)).await.is_err() {
            return;
        }
    }
}

/// Passes changes of reachability to the control actor, and has it send pings as long as zones are
/// unreachable.
pub async fn watch_reachability(
    mut reachability: watch::Receiver<ReachabilityReport>,
    control: ActorRef<Control>,
) {
    while reachability.changed().await.is_ok() {
        let current = *reachability.borrow_and_update();
        if control.tell(current).await.is_err() {
            return;
        }
        while !reachability.has_changed().unwrap_or(true) {
            time::sleep(PING_INTERVAL).await;
            match control.ask(PingZones).await {
                Ok(true) => {}
                Ok(false) => break,
                Err(_) => return,
            }
        }
    }
}
