//! Tests of control connections between entries.

mod support;

use std::fs;
use std::net::Ipv4Addr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex, mpsc};
use std::time::Duration;

use events::{Kind, Ring};
use ibis_entry::control::actor::{ControlState, SharedRing, Tick};
use ibis_entry::platform_watch::{Document, PlatformUpdate};
use ibis_entry::settings::Settings;
use ibis_entry::{peers, tls};
use kameo::actor::{ActorRef, Spawn};
use rcgen::{BasicConstraints, CertificateParams, CertifiedIssuer, IsCa, KeyPair};
use stdx::time::Clock;
use tokio::time;

const CONTROL_PORT: u16 = 47_101;

/// Timeout for an expected event.
const EVENT_TIMEOUT: Duration = Duration::from_secs(20);

type CertificateAuthority = CertifiedIssuer<'static, KeyPair>;

fn new_ca() -> CertificateAuthority {
    let mut params = CertificateParams::new(Vec::new()).expect("an empty list of names is valid");
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    let key = KeyPair::generate().expect("key generation succeeds");
    CertifiedIssuer::self_signed(params, key).expect("signing succeeds")
}

/// Settings of an entry at `ip` with a certificate signed by `ca`.
fn settings(ip: Ipv4Addr, peers: &[Ipv4Addr], ca: &CertificateAuthority) -> Settings {
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(ip.to_string());
    fs::create_dir_all(&dir).expect("the target folder is writable");
    let key = KeyPair::generate().expect("key generation succeeds");
    let params = CertificateParams::new(vec![ip.to_string()]).expect("an address is a valid name");
    let cert = params.signed_by(&key, ca).expect("signing succeeds");
    fs::write(dir.join("ca.pem"), ca.pem()).expect("the target folder is writable");
    fs::write(dir.join("cert.pem"), cert.pem()).expect("the target folder is writable");
    fs::write(dir.join("key.pem"), key.serialize_pem()).expect("the target folder is writable");
    let valid = support::VALID_ARGS.into_iter().chain([support::HASH_KEY]);
    let mut cfg = support::read(valid).expect("valid settings");
    cfg.listen.set_ip(ip);
    (cfg.control_port, cfg.control_target) = (CONTROL_PORT, CONTROL_PORT);
    cfg.peers = peers.to_vec();
    (cfg.ca, cfg.cert) = (dir.join("ca.pem"), dir.join("cert.pem"));
    cfg.key = dir.join("key.pem");
    cfg
}

/// Starts the control part of an entry; commands to its traffic thread are discarded.
fn start(cfg: &Settings) -> (SharedRing, ActorRef<ControlState>) {
    let tls = tls::load_configs(cfg).expect("valid certificates and key");
    let endpoint = peers::bind(cfg, &tls).expect("the address is free");
    let links = peers::Links::start(cfg, &endpoint, &tls);
    let ring: SharedRing = Arc::new(Mutex::new(Ring::new(&cfg.name, &cfg.zone, 1_000)));
    let (commands, rx) = mpsc::channel();
    let (ready_tx, _) = tokio::sync::watch::channel(false);
    let clock = Clock::start();
    let state = ControlState::new(cfg, clock, Arc::clone(&ring), commands, links, ready_tx);
    let actor = ControlState::spawn(state);
    tokio::spawn(peers::accept(cfg.peers.clone(), endpoint, actor.clone()));
    let ticker = actor.clone();
    tokio::spawn(async move {
        let _traffic_thread = rx;
        while ticker.tell(Tick).await.is_ok() {
            time::sleep(Duration::from_millis(50)).await;
        }
    });
    (ring, actor)
}

/// Waits for an event of a kind whose detail contains `text`; false after a timeout.
async fn has_event(ring: &SharedRing, kind: Kind, text: &str) -> bool {
    let found = || {
        let page = ring.lock().expect("the lock is not poisoned").since(0);
        page.events.iter().any(|event| event.kind == kind && event.detail.contains(text))
    };
    time::timeout(EVENT_TIMEOUT, async {
        while !found() {
            time::sleep(Duration::from_millis(20)).await;
        }
    })
    .await
    .is_ok()
}

#[tokio::test]
async fn peer_refused_other_authority() {
    let (a, b) = (Ipv4Addr::new(127, 77, 10, 1), Ipv4Addr::new(127, 77, 10, 2));
    let (ring, _) = start(&settings(a, &[a, b], &new_ca()));
    start(&settings(b, &[a, b], &new_ca()));
    assert!(has_event(&ring, Kind::PeerRefused, "127.77.10.2").await);
}

#[tokio::test]
async fn peer_refused_not_configured() {
    let ca = new_ca();
    let (a, b) = (Ipv4Addr::new(127, 77, 11, 1), Ipv4Addr::new(127, 77, 11, 2));
    let (ring, _) = start(&settings(a, &[a], &ca));
    start(&settings(b, &[a, b], &ca));
    assert!(has_event(&ring, Kind::PeerRefused, "127.77.11.2: not among --peers").await);
}

/// An entry without access to the platform receives the documents from a peer.
#[tokio::test]
async fn documents_from_peer() {
    let ca = new_ca();
    let (a, b) = (Ipv4Addr::new(127, 77, 12, 1), Ipv4Addr::new(127, 77, 12, 2));
    let (ring, _) = start(&settings(a, &[a, b], &ca));
    let (_, actor) = start(&settings(b, &[a, b], &ca));
    let text = "version = 1\nservice = \"desk\"\naddress = \"10.10.0.1:4000\"\n\
        protocol = \"tcp\"\nzones = [\"a\"]\nupstreams = []\n[limits]\nflows = 9\n\
        cold_flows = 1\ncold_opens_per_s = 1\ncold_ramp = \"1s\"\n";
    let document = Document { service: "desk".to_owned(), revision: 5, text: text.to_owned() };
    actor.tell(PlatformUpdate::Documents(vec![document])).await.expect("the actor is running");
    assert!(has_event(&ring, Kind::DocumentApplied, "revision=5 from=127.77.12.2").await);
    assert!(has_event(&ring, Kind::Ready, "").await);
    assert!(has_event(&ring, Kind::ViewChanged, "homes=127.77.12.1,127.77.12.2").await);
    let page = ring.lock().expect("the lock is not poisoned").since(0);
    assert!(page.events.iter().all(|event| event.kind != Kind::PeerRefused));
}
