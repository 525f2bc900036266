//! Client for reads, conditional writes and watches, with timeouts.

use std::time::Duration;

use tokio::time;
use tokio_stream::StreamExt;
use tokio_stream::wrappers::ReceiverStream;
use tonic::Streaming;
use tonic::transport::{Channel, Endpoint};

use crate::generated::etcdserverpb::kv_client::KvClient;
use crate::generated::etcdserverpb::watch_client::WatchClient;
use crate::generated::etcdserverpb::{self as rpc, compare, request_op, watch_request};
use crate::generated::mvccpb;
use crate::keys;

/// Timeout of a request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// Timeout of connecting.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Interval and timeout of the connection's HTTP/2 keep-alive pings.
const KEEP_ALIVE: Duration = Duration::from_secs(2);

/// Maximum size of a response.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// An error of a request.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub enum Error {
    /// The address of the service is not a URL.
    #[display("\"{_0}\" is not a URL of a key-value service")]
    InvalidAddress(#[error(not(source))] String),
    /// The service could not be reached or did not respond. A write may have taken effect.
    #[display("the platform's service is unavailable: {_0}")]
    Unavailable(#[error(not(source))] String),
    /// The service rejected the request.
    #[display("the platform's service rejected the request: {_0}")]
    Rejected(#[error(not(source))] String),
}

impl From<tonic::Status> for Error {
    fn from(status: tonic::Status) -> Self {
        match status.code() {
            tonic::Code::InvalidArgument
            | tonic::Code::FailedPrecondition
            | tonic::Code::OutOfRange
            | tonic::Code::PermissionDenied => Self::Rejected(status.message().to_owned()),
            _ => Self::Unavailable(status.message().to_owned()),
        }
    }
}

stdx::record! {
    /// A key with its value.
    pub struct KeyValue {
        /// The key.
        pub key: String,
        /// The value.
        pub value: Vec<u8>,
        /// Revision of the key's last write.
        pub revision: u64,
    }

    /// All values of a prefix at one revision.
    pub struct Snapshot {
        /// The revision of the store.
        pub revision: u64,
        /// The values.
        pub values: Vec<KeyValue>,
    }

    /// A change reported by a watch.
    pub enum Event {
        /// A value was written.
        Put(KeyValue),
        /// A key was deleted.
        Deleted {
            /// The key.
            key: String,
            /// Revision of the deletion.
            revision: u64,
        },
    }
}

/// Client of the key-value service; clones share the connection.
#[derive(Debug, Clone)]
pub struct Client {
    channel: Channel,
}

/// A running watch.
#[derive(Debug)]
pub struct Watch {
    responses: Streaming<rpc::WatchResponse>,
    _requests: tokio::sync::mpsc::Sender<rpc::WatchRequest>,
}

impl Client {
    /// Validates the address of a service.
    ///
    /// # Errors
    ///
    /// Returns an error if the address is not a URL.
    pub fn validate_address(address: &str) -> Result<(), Error> {
        endpoint(address).map(|_| ())
    }

    /// Creates a client of the service at `address`, such as `http://127.0.0.1:2379`. It connects on
    /// first use and reconnects after a failure.
    ///
    /// # Errors
    ///
    /// Returns an error if the address is not a URL.
    pub fn new(address: &str) -> Result<Self, Error> {
        let endpoint = endpoint(address)?
            .connect_timeout(CONNECT_TIMEOUT)
            .http2_keep_alive_interval(KEEP_ALIVE)
            .keep_alive_timeout(KEEP_ALIVE)
            .keep_alive_while_idle(true);
        Ok(Self { channel: endpoint.connect_lazy() })
    }

    /// Reads all values whose keys start with `prefix`.
    ///
    /// # Errors
    ///
    /// Returns an error if the service rejects the request or does not respond in time.
    pub async fn snapshot(&self, prefix: &str) -> Result<Snapshot, Error> {
        let req = rpc::RangeRequest {
            key: prefix.into(),
            range_end: keys::range_end(prefix),
            ..Default::default()
        };
        let res = with_timeout(self.kv().range(req)).await?;
        let revision = res.header.map_or(0, |header| header.revision as u64);
        Ok(Snapshot { revision, values: res.kvs.into_iter().map(KeyValue::from).collect() })
    }

    /// Writes a value if the key's revision is still `read_revision`; `0` means that the key does not
    /// exist.
    ///
    /// Returns the revision of the write, or `None` if the key has changed.
    ///
    /// # Errors
    ///
    /// Returns an error if the service rejects the request or does not respond in time; in the
    /// latter case the write may have taken effect.
    pub async fn put_if_unchanged(
        &self,
        key: &str,
        read_revision: u64,
        value: Vec<u8>,
    ) -> Result<Option<u64>, Error> {
        let condition = rpc::Compare {
            result: compare::CompareResult::Equal.into(),
            target: compare::CompareTarget::Mod.into(),
            key: key.into(),
            target_union: Some(compare::TargetUnion::ModRevision(read_revision.cast_signed())),
        };
        let put = rpc::PutRequest { key: key.into(), value, ..Default::default() };
        let req = rpc::TxnRequest {
            compare: vec![condition],
            success: vec![rpc::RequestOp { request: Some(request_op::Request::RequestPut(put)) }],
            failure: Vec::new(),
        };
        let res = with_timeout(self.kv().txn(req)).await?;
        let revision = res.header.map_or(0, |header| header.revision as u64);
        Ok(res.succeeded.then_some(revision))
    }

    /// Watches all keys that start with `prefix`, starting at `revision`.
    ///
    /// # Errors
    ///
    /// Returns an error if the service rejects the request or does not respond in time.
    pub async fn watch(&self, prefix: &str, revision: u64) -> Result<Watch, Error> {
        let create = rpc::WatchCreateRequest {
            key: prefix.into(),
            range_end: keys::range_end(prefix),
            start_revision: revision.cast_signed(),
            progress_notify: true,
            ..Default::default()
        };
        let req = rpc::WatchRequest {
            request_union: Some(watch_request::RequestUnion::CreateRequest(create)),
        };
        let (tx, rx) = tokio::sync::mpsc::channel(1);
        let _ = tx.send(req).await;
        let mut client =
            WatchClient::new(self.channel.clone()).max_decoding_message_size(MAX_RESPONSE_BYTES);
        let responses = with_timeout(client.watch(ReceiverStream::new(rx))).await?;
        Ok(Watch { responses, _requests: tx })
    }

    fn kv(&self) -> KvClient<Channel> {
        KvClient::new(self.channel.clone()).max_decoding_message_size(MAX_RESPONSE_BYTES)
    }
}

impl Watch {
    /// Waits for the next changes. An empty list is a progress notification, which shows that the
    /// watch is alive.
    ///
    /// # Errors
    ///
    /// Returns an error if the watch has ended. The caller then has to read all values again.
    pub async fn next(&mut self) -> Result<Vec<Event>, Error> {
        let res = match self.responses.next().await {
            Some(res) => res?,
            None => return Err(Error::Unavailable("the watch stream ended".to_owned())),
        };
        if res.canceled {
            return Err(Error::Unavailable(res.cancel_reason));
        }
        Ok(res.events.into_iter().filter_map(decode_event).collect())
    }
}

impl From<mvccpb::KeyValue> for KeyValue {
    fn from(kv: mvccpb::KeyValue) -> Self {
        Self {
            key: String::from_utf8_lossy(&kv.key).into_owned(),
            value: kv.value,
            revision: kv.mod_revision as u64,
        }
    }
}

fn endpoint(address: &str) -> Result<Endpoint, Error> {
    Endpoint::from_shared(address.to_owned())
        .map_err(|_invalid| Error::InvalidAddress(address.to_owned()))
}

fn decode_event(raw: mvccpb::Event) -> Option<Event> {
    let kind = raw.r#type();
    let kv = KeyValue::from(raw.kv?);
    Some(match kind {
        mvccpb::event::EventType::Put => Event::Put(kv),
        mvccpb::event::EventType::Delete => Event::Deleted { key: kv.key, revision: kv.revision },
    })
}

async fn with_timeout<T>(
    call: impl Future<Output = Result<tonic::Response<T>, tonic::Status>>,
) -> Result<T, Error> {
    match time::timeout(REQUEST_TIMEOUT, call).await {
        Ok(res) => Ok(res?.into_inner()),
        Err(_elapsed) => Err(Error::Unavailable(format!("no response within {REQUEST_TIMEOUT:?}"))),
    }
}
