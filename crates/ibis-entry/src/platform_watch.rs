//! Follows the documents in the platform's service and survives its outages.

use std::time::Duration;

use kameo::actor::ActorRef;
use kv::{Client, Error, Event, KeyValue, keys};
use tokio::time;

use crate::control::actor::ControlState;

/// Wait after a failure before the service is tried again.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Longest silence of a watch. It may have been lost on the way, so everything is read again.
const WATCH_TIMEOUT: Duration = Duration::from_secs(30);

/// What the control thread is told.
#[derive(Debug)]
pub enum PlatformUpdate {
    /// The service can't be reached.
    Lost(String),
    /// Documents that were read.
    Documents(Vec<Document>),
}

/// A document as stored.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Document {
    /// The service it is stored under.
    pub service: String,
    /// The revision that wrote it.
    pub revision: u64,
    /// Its text.
    pub text: String,
}

/// Follows the documents until the actor ends.
pub async fn run(client: Client, actor: ActorRef<ControlState>) {
    loop {
        let Err(e) = follow(&client, &actor).await else {
            return;
        };
        if actor.tell(PlatformUpdate::Lost(e.to_string())).await.is_err() {
            return;
        }
        time::sleep(RETRY_DELAY).await;
    }
}

/// Reads everything, then follows changes; ends without error when the actor has ended.
async fn follow(client: &Client, actor: &ActorRef<ControlState>) -> Result<(), Error> {
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
