//! gRPC server of the key-value service.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use kv::generated::etcdserverpb::kv_server::{Kv, KvServer};
use kv::generated::etcdserverpb::lease_server::{Lease, LeaseServer};
use kv::generated::etcdserverpb::watch_server::{Watch, WatchServer};
use kv::generated::etcdserverpb::{self as rpc, request_op, watch_request};
use kv::generated::mvccpb;
use stdx::time::Clock;
use tokio::sync::{broadcast, mpsc};
use tokio_stream::StreamExt;
use tokio_stream::wrappers::ReceiverStream;
use tonic::{Request, Response, Status, Streaming};

use crate::platform::faults::Faults;
use crate::platform::store::{Store, WriteError, in_range};

/// Number of changes that a watch may lag behind before it is cut.
const MAX_WATCH_BACKLOG: usize = 4_096;

/// Interval between checks for expired leases.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The key-value service.
#[derive(Debug, Clone)]
pub struct Server {
    store: Arc<Mutex<Store>>,
    faults: Arc<Faults>,
    changes: broadcast::Sender<(i64, Vec<mvccpb::Event>)>,
    clock: Clock,
}

impl Default for Server {
    fn default() -> Self {
        let (changes, _) = broadcast::channel(MAX_WATCH_BACKLOG);
        Self { store: Arc::default(), faults: Arc::default(), changes, clock: Clock::start() }
    }
}

impl Server {
    /// The fault injection, which can be changed while the server runs.
    pub fn faults(&self) -> Arc<Faults> {
        Arc::clone(&self.faults)
    }

    /// Serves the API until the process ends.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub async fn serve(self, listen: SocketAddr) -> Result<(), tonic::transport::Error> {
        let server = self.clone();
        tokio::spawn(async move { server.expire_leases().await });
        tonic::transport::Server::builder()
            .add_service(KvServer::new(self.clone()))
            .add_service(WatchServer::new(self.clone()))
            .add_service(LeaseServer::new(self))
            .serve(listen)
            .await
    }

    async fn expire_leases(self) {
        loop {
            tokio::time::sleep(LEASE_CHECK_INTERVAL).await;
            let mut store = self.store();
            let events = store.expire(self.clock.now());
            self.publish(&store, events);
        }
    }

    fn store(&self) -> MutexGuard<'_, Store> {
        self.store.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends events to the watches. Called with the store locked, so that watches receive changes
    /// in order.
    fn publish(&self, store: &Store, events: Vec<mvccpb::Event>) {
        if !events.is_empty() {
            let _ = self.changes.send((store.header().revision, events));
        }
    }

    fn run_txn(&self, req: &rpc::TxnRequest) -> Result<rpc::TxnResponse, Status> {
        let mut store = self.store();
        let (response, events) = store.txn(req)?;
        self.publish(&store, events);
        Ok(response)
    }

    async fn write(&self, op: request_op::Request) -> Result<rpc::TxnResponse, Status> {
        self.faults.on_write().await?;
        let success = vec![rpc::RequestOp { request: Some(op) }];
        let response = self.run_txn(&rpc::TxnRequest { success, ..Default::default() })?;
        self.faults.on_write_reply()?;
        Ok(response)
    }
}

impl From<WriteError> for Status {
    fn from(e: WriteError) -> Self {
        match e {
            WriteError::TooLarge => Self::invalid_argument(e.to_string()),
            WriteError::NoLease => Self::not_found(e.to_string()),
        }
    }
}

#[tonic::async_trait]
impl Kv for Server {
    async fn range(
        &self,
        req: Request<rpc::RangeRequest>,
    ) -> Result<Response<rpc::RangeResponse>, Status> {
        self.faults.on_read().await?;
        Ok(Response::new(self.store().range(req.get_ref())))
    }

    async fn put(
        &self,
        req: Request<rpc::PutRequest>,
    ) -> Result<Response<rpc::PutResponse>, Status> {
        let txn = self.write(request_op::Request::RequestPut(req.into_inner())).await?;
        Ok(Response::new(rpc::PutResponse { header: txn.header, prev_kv: None }))
    }

    async fn delete_range(
        &self,
        req: Request<rpc::DeleteRangeRequest>,
    ) -> Result<Response<rpc::DeleteRangeResponse>, Status> {
        let txn = self.write(request_op::Request::RequestDeleteRange(req.into_inner())).await?;
        let header = txn.header;
        Ok(Response::new(rpc::DeleteRangeResponse { header, ..Default::default() }))
    }

    async fn txn(
        &self,
        req: Request<rpc::TxnRequest>,
    ) -> Result<Response<rpc::TxnResponse>, Status> {
        self.faults.on_write().await?;
        let response = self.run_txn(req.get_ref())?;
        self.faults.on_write_reply()?;
        Ok(Response::new(response))
    }
}

#[tonic::async_trait]
impl Watch for Server {
    type WatchStream = ReceiverStream<Result<rpc::WatchResponse, Status>>;

    async fn watch(
        &self,
        req: Request<Streaming<rpc::WatchRequest>>,
    ) -> Result<Response<Self::WatchStream>, Status> {
        self.faults.on_watch().await?;
        let mut requests = req.into_inner();
        let first = requests.next().await.transpose()?.and_then(|req| req.request_union);
        let Some(watch_request::RequestUnion::CreateRequest(create)) = first else {
            return Err(Status::invalid_argument("expected a create request"));
        };
        let (tx, rx) = mpsc::channel(MAX_WATCH_BACKLOG);
        let server = self.clone();
        tokio::spawn(async move { server.run_watch(create, requests, tx).await });
        Ok(Response::new(ReceiverStream::new(rx)))
    }
}

impl Server {
    /// Sends the history from the start revision, then each new change, until either side ends the
    /// watch.
    async fn run_watch(
        self,
        create: rpc::WatchCreateRequest,
        mut requests: Streaming<rpc::WatchRequest>,
        tx: mpsc::Sender<Result<rpc::WatchResponse, Status>>,
    ) {
        let mut watch_cuts = self.faults.subscribe_watch_cuts();
        let (mut changes, history, header) = {
            let store = self.store();
            let history = if create.start_revision > 0 {
                store.history(&create.key, &create.range_end, create.start_revision)
            } else {
                Vec::new()
            };
            (self.changes.subscribe(), history, store.header())
        };
        let created =
            rpc::WatchResponse { header: Some(header), created: true, ..Default::default() };
        let first =
            rpc::WatchResponse { header: Some(header), events: history, ..Default::default() };
        if tx.send(Ok(created)).await.is_err() || tx.send(Ok(first)).await.is_err() {
            return;
        }
        loop {
            let change = tokio::select! {
                change = changes.recv() => change,
                _ = watch_cuts.changed() => break,
                req = requests.next() => match req {
                    Some(Ok(_)) => continue,
                    _ => return,
                },
            };
            let Ok((revision, events)) = change else {
                break;
            };
            let events: Vec<_> = events
                .into_iter()
                .filter(|event| {
                    event
                        .kv
                        .as_ref()
                        .is_some_and(|kv| in_range(&kv.key, &create.key, &create.range_end))
                })
                .collect();
            if events.is_empty() {
                continue;
            }
            let header = Some(rpc::ResponseHeader { revision, ..self.store().header() });
            let response = rpc::WatchResponse { header, events, ..Default::default() };
            if tx.send(Ok(response)).await.is_err() {
                return;
            }
        }
        let _ = tx.send(Err(Status::unavailable("watch cut"))).await;
    }
}

#[tonic::async_trait]
impl Lease for Server {
    type LeaseKeepAliveStream = ReceiverStream<Result<rpc::LeaseKeepAliveResponse, Status>>;

    async fn lease_grant(
        &self,
        req: Request<rpc::LeaseGrantRequest>,
    ) -> Result<Response<rpc::LeaseGrantResponse>, Status> {
        self.faults.on_write().await?;
        let req = req.into_inner();
        let mut store = self.store();
        let id = store.grant(self.clock.now(), req.id, req.ttl);
        let header = Some(store.header());
        Ok(Response::new(rpc::LeaseGrantResponse {
            header,
            id,
            ttl: req.ttl,
            error: String::new(),
        }))
    }

    async fn lease_revoke(
        &self,
        req: Request<rpc::LeaseRevokeRequest>,
    ) -> Result<Response<rpc::LeaseRevokeResponse>, Status> {
        self.faults.on_write().await?;
        let mut store = self.store();
        let events = store.revoke(req.get_ref().id);
        self.publish(&store, events);
        Ok(Response::new(rpc::LeaseRevokeResponse { header: Some(store.header()) }))
    }

    async fn lease_keep_alive(
        &self,
        req: Request<Streaming<rpc::LeaseKeepAliveRequest>>,
    ) -> Result<Response<Self::LeaseKeepAliveStream>, Status> {
        let mut requests = req.into_inner();
        let (tx, rx) = mpsc::channel(1);
        let server = self.clone();
        tokio::spawn(async move {
            while let Some(Ok(req)) = requests.next().await {
                if let Err(e) = server.faults.on_write().await {
                    let _ = tx.send(Err(e)).await;
                    return;
                }
                let (ttl, header) = {
                    let mut store = server.store();
                    (store.keep_alive(server.clock.now(), req.id), Some(store.header()))
                };
                let response = rpc::LeaseKeepAliveResponse { header, id: req.id, ttl };
                if tx.send(Ok(response)).await.is_err() {
                    return;
                }
            }
        });
        Ok(Response::new(ReceiverStream::new(rx)))
    }
}
