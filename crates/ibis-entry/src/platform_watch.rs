//! Watches the service documents in the platform's key-value service and reconnects after outages.

use std::time::Duration;

use kameo::actor::ActorRef;
use kv::{Client, Error, Event, KeyValue, keys};
use tokio::time;

use crate::control::actor::ControlState;

/// Delay between a failure and the next attempt.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Time without a response after which a watch is considered lost. All documents are then read
/// again.
const WATCH_TIMEOUT: Duration = Duration::from_secs(30);

/// Documents or an outage of the platform's service, sent to the control thread.
#[derive(Debug)]
pub enum PlatformUpdate {
    /// Reading or watching failed, with the error.
    Lost(String),
    /// Documents read at the start or reported as written by the watch.
    Documents(Vec<Document>),
}

/// A service document as stored.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Document {
    /// Name of the service, from the key.
    pub service: String,
    /// Revision of its last write.
    pub revision: u64,
    /// The document in TOML, not validated.
    pub text: String,
}

/// Sends the documents and their changes to the actor until it has stopped.
pub async fn run(client: Client, actor: ActorRef<ControlState>) {
    loop {
        let Err(e) = read_and_watch(&client, &actor).await else {
            return;
        };
        if actor.tell(PlatformUpdate::Lost(e.to_string())).await.is_err() {
            return;
        }
        time::sleep(RETRY_DELAY).await;
    }
}

/// Reads all documents, then watches for changes. Returns `Ok` once the actor has stopped.
async fn read_and_watch(client: &Client, actor: &ActorRef<ControlState>) -> Result<(), Error> {
    loop {
        let snapshot = client.snapshot(keys::SERVICES).await?;
        let documents = snapshot.values.iter().filter_map(document_from_kv).collect();
        if actor.tell(PlatformUpdate::Documents(documents)).await.is_err() {
            return Ok(());
        }
        let mut watch = client.watch(keys::SERVICES, snapshot.revision + 1).await?;
        while let Ok(events) = time::timeout(WATCH_TIMEOUT, watch.next()).await {
            let documents = events?.into_iter().filter_map(document_from_event).collect();
            if actor.tell(PlatformUpdate::Documents(documents)).await.is_err() {
                return Ok(());
            }
        }
    }
}

fn document_from_event(event: Event) -> Option<Document> {
    match event {
        Event::Put(kv) => document_from_kv(&kv),
        Event::Deleted { .. } => None,
    }
}

fn document_from_kv(kv: &KeyValue) -> Option<Document> {
    let service = kv.key.strip_prefix(keys::SERVICES)?.to_owned();
    let text = String::from_utf8_lossy(&kv.value).into_owned();
    Some(Document { service, revision: kv.revision, text })
}
