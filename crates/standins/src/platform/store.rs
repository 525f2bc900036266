//! In-memory store of the key-value service: keys, revisions, transactions and leases.

use std::collections::BTreeMap;

use indexmap::IndexMap;
use kv::generated::etcdserverpb::{self as rpc, compare, request_op, response_op};
use kv::generated::mvccpb;
use stdx::time::Timestamp;

/// Largest value in bytes.
const MAX_VALUE_BYTES: usize = 1024 * 1024;

/// Why a write was rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum WriteError {
    /// The value is too large.
    #[display("value is larger than {MAX_VALUE_BYTES} bytes")]
    TooLarge,
    /// The lease does not exist or has expired.
    #[display("requested lease not found")]
    NoLease,
}

/// All keys, their history and the leases.
#[derive(Debug, Default)]
pub struct Store {
    revision: i64,
    values: BTreeMap<Vec<u8>, mvccpb::KeyValue>,
    history: Vec<(i64, mvccpb::Event)>,
    leases: IndexMap<i64, Lease>,
    next_lease: i64,
}

#[derive(Debug, Clone, Copy)]
struct Lease {
    ttl_s: i64,
    expires_at: Timestamp,
}

impl Store {
    /// Response header with the current revision.
    pub fn header(&self) -> rpc::ResponseHeader {
        rpc::ResponseHeader { cluster_id: 1, member_id: 1, revision: self.revision, raft_term: 1 }
    }

    /// Reads a range.
    pub fn range(&self, req: &rpc::RangeRequest) -> rpc::RangeResponse {
        let all: Vec<_> = self
            .values
            .iter()
            .filter(|(key, _)| in_range(key, &req.key, &req.range_end))
            .map(|(_, kv)| kv.clone())
            .collect();
        let count = all.len();
        let limit = if req.limit > 0 { req.limit as usize } else { usize::MAX };
        let mut kvs: Vec<_> = all.into_iter().take(limit).collect();
        if req.keys_only {
            for kv in &mut kvs {
                kv.value.clear();
            }
        }
        if req.count_only {
            kvs.clear();
        }
        let more = count > limit;
        let count = count as u64;
        rpc::RangeResponse { header: Some(self.header()), kvs, more, count: count.cast_signed() }
    }

    /// Runs a transaction; returns the response and the events that it caused.
    ///
    /// # Errors
    ///
    /// Rejects the whole transaction if one of its writes is rejected.
    pub fn txn(
        &mut self,
        req: &rpc::TxnRequest,
    ) -> Result<(rpc::TxnResponse, Vec<mvccpb::Event>), WriteError> {
        let succeeded = req.compare.iter().all(|compare| self.holds(compare));
        let ops = if succeeded { &req.success } else { &req.failure };
        for op in ops {
            if let Some(request_op::Request::RequestPut(put)) = &op.request {
                self.check_put(put)?;
            }
        }
        let next = self.revision + 1;
        let mut events = Vec::new();
        let mut responses = Vec::new();
        for op in ops {
            let response = match &op.request {
                Some(request_op::Request::RequestRange(range)) => {
                    response_op::Response::ResponseRange(self.range(range))
                }
                Some(request_op::Request::RequestPut(put)) => {
                    events.push(self.put(next, put));
                    response_op::Response::ResponsePut(rpc::PutResponse::default())
                }
                Some(request_op::Request::RequestDeleteRange(delete)) => {
                    let deleted = self.delete(next, &delete.key, &delete.range_end);
                    let count = (deleted.len() as u64).cast_signed();
                    events.extend(deleted);
                    response_op::Response::ResponseDeleteRange(rpc::DeleteRangeResponse {
                        deleted: count,
                        ..Default::default()
                    })
                }
                None => continue,
            };
            responses.push(rpc::ResponseOp { response: Some(response) });
        }
        self.commit(next, &events);
        let response = rpc::TxnResponse { header: Some(self.header()), succeeded, responses };
        Ok((response, events))
    }

    /// Grants a lease of `ttl_s` seconds and returns its id; an `id` of 0 chooses one.
    pub fn grant(&mut self, now: Timestamp, id: i64, ttl_s: i64) -> i64 {
        self.next_lease += 1;
        let id = if id == 0 { self.next_lease } else { id };
        let expires_at = now + std::time::Duration::from_secs(ttl_s.max(1) as u64);
        self.leases.insert(id, Lease { ttl_s, expires_at });
        id
    }

    /// Renews a lease; returns its time to live in seconds, 0 if it has expired.
    pub fn keep_alive(&mut self, now: Timestamp, id: i64) -> i64 {
        let Some(lease) = self.leases.get_mut(&id) else {
            return 0;
        };
        lease.expires_at = now + std::time::Duration::from_secs(lease.ttl_s.max(1) as u64);
        lease.ttl_s
    }

    /// Revokes a lease and deletes its keys; returns the events.
    pub fn revoke(&mut self, id: i64) -> Vec<mvccpb::Event> {
        self.leases.swap_remove(&id);
        let next = self.revision + 1;
        let keys: Vec<Vec<u8>> = self
            .values
            .iter()
            .filter(|(_, kv)| kv.lease == id && id != 0)
            .map(|(key, _)| key.clone())
            .collect();
        let events: Vec<_> = keys.iter().flat_map(|key| self.delete(next, key, &[])).collect();
        self.commit(next, &events);
        events
    }

    /// Revokes all expired leases; returns the events.
    pub fn expire(&mut self, now: Timestamp) -> Vec<mvccpb::Event> {
        let expired: Vec<i64> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.expires_at <= now)
            .map(|(id, _)| *id)
            .collect();
        expired.into_iter().flat_map(|id| self.revoke(id)).collect()
    }

    /// The events of a range with a revision of at least `from`.
    pub fn history(&self, key: &[u8], range_end: &[u8], from: i64) -> Vec<mvccpb::Event> {
        self.history
            .iter()
            .filter(|(revision, _)| *revision >= from)
            .map(|(_, event)| event)
            .filter(|event| event.kv.as_ref().is_some_and(|kv| in_range(&kv.key, key, range_end)))
            .cloned()
            .collect()
    }

    fn check_put(&self, put: &rpc::PutRequest) -> Result<(), WriteError> {
        if put.value.len() > MAX_VALUE_BYTES {
            return Err(WriteError::TooLarge);
        }
        if put.lease != 0 && !self.leases.contains_key(&put.lease) {
            return Err(WriteError::NoLease);
        }
        Ok(())
    }

    fn put(&mut self, revision: i64, put: &rpc::PutRequest) -> mvccpb::Event {
        let previous = self.values.get(&put.key);
        let kv = mvccpb::KeyValue {
            key: put.key.clone(),
            create_revision: previous.map_or(revision, |kv| kv.create_revision),
            mod_revision: revision,
            version: previous.map_or(1, |kv| kv.version + 1),
            value: put.value.clone(),
            lease: put.lease,
        };
        self.values.insert(put.key.clone(), kv.clone());
        mvccpb::Event { r#type: mvccpb::event::EventType::Put.into(), kv: Some(kv), prev_kv: None }
    }

    fn delete(&mut self, revision: i64, key: &[u8], range_end: &[u8]) -> Vec<mvccpb::Event> {
        let keys: Vec<Vec<u8>> =
            self.values.keys().filter(|k| in_range(k, key, range_end)).cloned().collect();
        let mut events = Vec::new();
        for key in keys {
            self.values.remove(&key);
            let kv = mvccpb::KeyValue { key, mod_revision: revision, ..Default::default() };
            let kind = mvccpb::event::EventType::Delete.into();
            events.push(mvccpb::Event { r#type: kind, kv: Some(kv), prev_kv: None });
        }
        events
    }

    fn commit(&mut self, revision: i64, events: &[mvccpb::Event]) {
        if events.is_empty() {
            return;
        }
        self.revision = revision;
        self.history.extend(events.iter().map(|event| (revision, event.clone())));
    }

    fn holds(&self, condition: &rpc::Compare) -> bool {
        use compare::TargetUnion as Target;
        let kv = self.values.get(&condition.key);
        let ordering = match &condition.target_union {
            Some(Target::Version(v)) => kv.map_or(0, |kv| kv.version).cmp(v),
            Some(Target::CreateRevision(v)) => kv.map_or(0, |kv| kv.create_revision).cmp(v),
            Some(Target::ModRevision(v)) => kv.map_or(0, |kv| kv.mod_revision).cmp(v),
            Some(Target::Lease(v)) => kv.map_or(0, |kv| kv.lease).cmp(v),
            Some(Target::Value(v)) => match kv {
                Some(kv) => kv.value.cmp(v),
                None => return false,
            },
            None => return false,
        };
        match condition.result() {
            compare::CompareResult::Equal => ordering.is_eq(),
            compare::CompareResult::Greater => ordering.is_gt(),
            compare::CompareResult::Less => ordering.is_lt(),
            compare::CompareResult::NotEqual => ordering.is_ne(),
        }
    }
}

/// Whether a key lies in a range of the API: an empty `end` selects the single key `start`, and a
/// zero byte all keys from `start`.
pub fn in_range(key: &[u8], start: &[u8], end: &[u8]) -> bool {
    match end {
        [] => key == start,
        [0] => key >= start,
        _ => key >= start && key < end,
    }
}
