//! Control connections between entries: QUIC with mutual TLS and one message per stream.

use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use indexmap::IndexMap;
use kameo::actor::ActorRef;
use quinn::{Connection, Endpoint, Incoming};
use tokio::sync::mpsc;
use tokio::time;

use crate::control::actor::{ControlState, PeerMessage, PeerRefused};
use crate::settings::Settings;
use crate::tls;

/// Maximum messages queued for a slow or unreachable peer. Further ones are dropped, because
/// heartbeats are sent regularly and documents requested again.
const MAX_QUEUED_MESSAGES: usize = 16;

/// Timeout of connecting, and of sending a message until it is acknowledged.
const SEND_TIMEOUT: Duration = Duration::from_millis(500);

/// Delay after a failed connection attempt.
const RECONNECT_DELAY: Duration = Duration::from_millis(200);

/// Binds the endpoint of incoming and outgoing connections. Must be called within a Tokio runtime.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub fn bind(cfg: &Settings, tls: &tls::Configs) -> io::Result<Endpoint> {
    let addr = SocketAddr::from((*cfg.listen.ip(), cfg.control_port));
    Endpoint::server(tls.server.clone(), addr)
}

/// The outgoing connections, one per peer.
#[derive(Debug)]
pub struct Links {
    queues: IndexMap<Ipv4Addr, mpsc::Sender<Vec<u8>>>,
}

impl Links {
    /// Starts a task for each configured peer that connects and sends its queued messages.
    pub fn start(cfg: &Settings, endpoint: &Endpoint, tls: &tls::Configs) -> Self {
        let local_ip = *cfg.listen.ip();
        let peers = cfg.peers.iter().copied().filter(|ip| *ip != local_ip);
        let start = |ip: Ipv4Addr| {
            let (tx, rx) = mpsc::channel(MAX_QUEUED_MESSAGES);
            let addr = SocketAddr::from((ip, cfg.control_target));
            let link = Link { endpoint: endpoint.clone(), client: tls.client.clone(), addr };
            tokio::spawn(link.run(rx));
            (ip, tx)
        };
        Self { queues: peers.map(start).collect() }
    }

    /// Queues a message for a peer. Drops and counts it if the queue is full.
    pub fn send(&self, to: Ipv4Addr, message: &[u8]) {
        let Some(queue) = self.queues.get(&to) else {
            return;
        };
        if queue.try_send(message.to_vec()).is_err() {
            metrics::counter!("ibis_control_dropped_total").increment(1);
        }
    }

    /// Queues a message for all peers.
    pub fn send_all(&self, message: &[u8]) {
        for to in self.queues.keys() {
            self.send(*to, message);
        }
    }
}

#[derive(Debug)]
struct Link {
    endpoint: Endpoint,
    client: quinn::ClientConfig,
    addr: SocketAddr,
}

impl Link {
    /// Sends the queued messages. After a failed or timed-out send the connection is replaced.
    async fn run(self, mut queue: mpsc::Receiver<Vec<u8>>) {
        let mut connection = None;
        let mut sent_bytes = SentBytes::default();
        while let Some(message) = queue.recv().await {
            if connection.is_none() {
                connection = self.connect().await;
                sent_bytes = SentBytes::default();
            }
            let Some(conn) = connection.take() else {
                time::sleep(RECONNECT_DELAY).await;
                continue;
            };
            let sent = time::timeout(SEND_TIMEOUT, send(&conn, &message)).await;
            sent_bytes.count(&conn);
            if matches!(sent, Ok(Ok(()))) {
                connection = Some(conn);
            } else {
                metrics::counter!("ibis_control_failed_total").increment(1);
                conn.close(0_u32.into(), b"silent");
            }
        }
    }

    async fn connect(&self) -> Option<Connection> {
        let name = self.addr.ip().to_string();
        let connecting = self.endpoint.connect_with(self.client.clone(), self.addr, &name).ok()?;
        time::timeout(SEND_TIMEOUT, connecting).await.ok()?.ok()
    }
}

/// Counts the UDP bytes sent by a connection, including acknowledgements and retransmissions.
#[derive(Debug, Default)]
struct SentBytes {
    counted: u64,
}

impl SentBytes {
    fn count(&mut self, connection: &Connection) {
        let sent = connection.stats().udp_tx.bytes;
        metrics::counter!("ibis_control_sent_bytes_total").increment(sent - self.counted);
        self.counted = sent;
    }
}

/// Sends a message and waits until the peer has acknowledged it.
async fn send(connection: &Connection, message: &[u8]) -> Result<(), quinn::WriteError> {
    let mut stream = connection.open_uni().await?;
    stream.write_all(message).await?;
    let _ = stream.finish();
    match stream.stopped().await {
        Ok(None) => Ok(()),
        Ok(Some(code)) => Err(quinn::WriteError::Stopped(code)),
        Err(_lost) => Err(quinn::WriteError::ClosedStream),
    }
}

/// Accepts connections from the `expected` addresses until the endpoint is closed.
pub async fn accept(expected: Vec<Ipv4Addr>, endpoint: Endpoint, actor: ActorRef<ControlState>) {
    while let Some(incoming) = endpoint.accept().await {
        let from = incoming.remote_address().ip();
        match from {
            IpAddr::V4(ip) if expected.contains(&ip) => {
                tokio::spawn(receive(ip, incoming, actor.clone()));
            }
            _ => {
                incoming.refuse();
                report_refused(&actor, format!("{from}: not among --peers")).await;
            }
        }
    }
}

async fn receive(from: Ipv4Addr, incoming: Incoming, actor: ActorRef<ControlState>) {
    let connection = match incoming.await {
        Ok(connection) => connection,
        Err(e) => return report_refused(&actor, format!("{from}: {e}")).await,
    };
    let mut sent_bytes = SentBytes::default();
    while let Ok(mut stream) = connection.accept_uni().await {
        sent_bytes.count(&connection);
        let Ok(bytes) = stream.read_to_end(peer_proto::MAX_CONTROL_BYTES).await else {
            continue;
        };
        match peer_proto::decode_control(&bytes) {
            Ok(Some(message)) => {
                if actor.tell(PeerMessage { from, message }).await.is_err() {
                    return;
                }
            }
            Ok(None) => {}
            Err(_malformed) => {
                metrics::counter!("ibis_drop_malformed_control_total").increment(1);
            }
        }
    }
}

async fn report_refused(actor: &ActorRef<ControlState>, reason: String) {
    tracing::debug!(reason, "peer refused");
    let _ = actor.tell(PeerRefused { reason }).await;
}
