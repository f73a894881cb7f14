//! The messages of the etcd v3 interface that the client uses, with the field numbers of the published API (`rpc.proto`,
//! `kv.proto`). Fields that are not declared here are skipped when they are received.

/// HTTP/2 request paths of the calls.
pub mod path {
    /// Reads a range of keys.
    pub const RANGE: &str = "/etcdserverpb.KV/Range";
    /// Compares keys, then reads, writes or deletes keys, as one atomic transaction.
    pub const TXN: &str = "/etcdserverpb.KV/Txn";
    /// Writes a key.
    pub const PUT: &str = "/etcdserverpb.KV/Put";
    /// Deletes a range of keys.
    pub const DELETE: &str = "/etcdserverpb.KV/DeleteRange";
    /// Compacts the history of keys.
    pub const COMPACT: &str = "/etcdserverpb.KV/Compact";
    /// Watches a range of keys.
    pub const WATCH: &str = "/etcdserverpb.Watch/Watch";
    /// Grants a lease.
    pub const LEASE_GRANT: &str = "/etcdserverpb.Lease/LeaseGrant";
    /// Keeps leases alive.
    pub const LEASE_KEEP_ALIVE: &str = "/etcdserverpb.Lease/LeaseKeepAlive";
    /// Revokes a lease.
    pub const LEASE_REVOKE: &str = "/etcdserverpb.Lease/LeaseRevoke";
    /// Requests the status of a member.
    pub const STATUS: &str = "/etcdserverpb.Maintenance/Status";
}

/// The header of every response.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct ResponseHeader {
    /// Id of the cluster.
    #[prost(uint64, tag = "1")]
    pub cluster_id: u64,
    /// Id of the member that responds.
    #[prost(uint64, tag = "2")]
    pub member_id: u64,
    /// Revision of the store at the time of the response.
    #[prost(int64, tag = "3")]
    pub revision: i64,
    /// Raft term at the time of the response.
    #[prost(uint64, tag = "4")]
    pub raft_term: u64,
}

/// A response with no fields besides the header.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct HeaderOnlyResponse {
    /// The header.
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
}

/// A key with its value and revisions.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct KeyValue {
    /// The key.
    #[prost(bytes = "vec", tag = "1")]
    pub key: Vec<u8>,
    /// Revision at which the key was last created.
    #[prost(int64, tag = "2")]
    pub create_revision: i64,
    /// Revision of the last change of the key.
    #[prost(int64, tag = "3")]
    pub mod_revision: i64,
    /// Number of changes since the key was created.
    #[prost(int64, tag = "4")]
    pub version: i64,
    /// The value.
    #[prost(bytes = "vec", tag = "5")]
    pub value: Vec<u8>,
    /// Id of the lease whose end deletes the key; 0 for none.
    #[prost(int64, tag = "6")]
    pub lease: i64,
}

/// Reads the keys from `key` (inclusive) to `range_end` (exclusive).
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct RangeRequest {
    /// First key of the range.
    #[prost(bytes = "vec", tag = "1")]
    pub key: Vec<u8>,
    /// Exclusive end of the range; empty for the single key `key`.
    #[prost(bytes = "vec", tag = "2")]
    pub range_end: Vec<u8>,
    /// Maximum number of keys in the response; 0 for all.
    #[prost(int64, tag = "3")]
    pub limit: i64,
    /// Revision to read; 0 for the latest.
    #[prost(int64, tag = "4")]
    pub revision: i64,
    /// Whether the member may respond from its local state, without consensus of the cluster.
    #[prost(bool, tag = "7")]
    pub serializable: bool,
    /// Whether to omit the values.
    #[prost(bool, tag = "8")]
    pub keys_only: bool,
    /// Whether to return only the count of keys.
    #[prost(bool, tag = "9")]
    pub count_only: bool,
}

/// The keys of a range.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct RangeResponse {
    /// The header.
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
    /// The keys, in ascending order.
    #[prost(message, repeated, tag = "2")]
    pub kvs: Vec<KeyValue>,
    /// Whether the range has more keys than the limit.
    #[prost(bool, tag = "3")]
    pub more: bool,
    /// Number of keys in the whole range.
    #[prost(int64, tag = "4")]
    pub count: i64,
}

/// Writes a key.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct PutRequest {
    /// The key.
    #[prost(bytes = "vec", tag = "1")]
    pub key: Vec<u8>,
    /// The value.
    #[prost(bytes = "vec", tag = "2")]
    pub value: Vec<u8>,
    /// Id of the lease whose end deletes the key; 0 for none.
    #[prost(int64, tag = "3")]
    pub lease: i64,
}

/// The response to a [`PutRequest`].
pub type PutResponse = HeaderOnlyResponse;

/// Deletes the keys from `key` (inclusive) to `range_end` (exclusive).
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct DeleteRangeRequest {
    /// First key of the range.
    #[prost(bytes = "vec", tag = "1")]
    pub key: Vec<u8>,
    /// Exclusive end of the range; empty for the single key `key`.
    #[prost(bytes = "vec", tag = "2")]
    pub range_end: Vec<u8>,
}

/// The response to a [`DeleteRangeRequest`].
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct DeleteRangeResponse {
    /// The header.
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
    /// Number of deleted keys.
    #[prost(int64, tag = "2")]
    pub deleted: i64,
}

/// One operation of a transaction.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct RequestOp {
    /// The operation.
    #[prost(oneof = "request_op::Request", tags = "1, 2, 3")]
    pub request: Option<request_op::Request>,
}

/// The operations of a transaction.
pub mod request_op {
    /// One operation.
    #[derive(Clone, PartialEq, Eq, prost::Oneof)]
    pub enum Request {
        /// Reads a range of keys.
        #[prost(message, tag = "1")]
        Range(super::RangeRequest),
        /// Writes a key.
        #[prost(message, tag = "2")]
        Put(super::PutRequest),
        /// Deletes a range of keys.
        #[prost(message, tag = "3")]
        Delete(super::DeleteRangeRequest),
    }
}

/// A condition of a transaction: compares a property of a key with an expected value.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Compare {
    /// Operator: 0 equal, 1 greater, 2 less, 3 not equal.
    #[prost(int32, tag = "1")]
    pub result: i32,
    /// Compared property: 0 version, 1 create revision, 2 mod revision, 3 value, 4 lease.
    #[prost(int32, tag = "2")]
    pub target: i32,
    /// The key.
    #[prost(bytes = "vec", tag = "3")]
    pub key: Vec<u8>,
    /// Expected version; 0 if the key does not exist. Only the one of the three expected values that `target` selects
    /// is set.
    #[prost(int64, optional, tag = "4")]
    pub version: Option<i64>,
    /// Expected create revision; 0 if the key does not exist.
    #[prost(int64, optional, tag = "5")]
    pub create_revision: Option<i64>,
    /// Expected mod revision; 0 if the key does not exist.
    #[prost(int64, optional, tag = "6")]
    pub mod_revision: Option<i64>,
}

/// A transaction: performs one of two lists of operations, depending on whether all conditions hold. All changes of a
/// transaction have the same revision.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct TxnRequest {
    /// The conditions.
    #[prost(message, repeated, tag = "1")]
    pub compare: Vec<Compare>,
    /// Operations if all conditions hold.
    #[prost(message, repeated, tag = "2")]
    pub success: Vec<RequestOp>,
    /// Operations if a condition does not hold.
    #[prost(message, repeated, tag = "3")]
    pub failure: Vec<RequestOp>,
}

/// The response to a [`TxnRequest`].
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct TxnResponse {
    /// The header.
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
    /// Whether all conditions held.
    #[prost(bool, tag = "2")]
    pub succeeded: bool,
}

/// Compacts the history before a revision.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct CompactionRequest {
    /// Oldest revision that stays available.
    #[prost(int64, tag = "1")]
    pub revision: i64,
}

/// The response to a [`CompactionRequest`].
pub type CompactionResponse = HeaderOnlyResponse;

/// One change of a key.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Event {
    /// Type of the change: 0 for a put, 1 for a deletion.
    #[prost(int32, tag = "1")]
    pub kind: i32,
    /// The key after the change; after a deletion, only the key and the revision of the deletion.
    #[prost(message, optional, tag = "2")]
    pub kv: Option<KeyValue>,
    /// The key before the change, if the watch requested it.
    #[prost(message, optional, tag = "3")]
    pub prev_kv: Option<KeyValue>,
}

/// A request on the watch stream.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct WatchRequest {
    /// The request.
    #[prost(oneof = "watch_request::Request", tags = "1, 2, 3")]
    pub request: Option<watch_request::Request>,
}

/// The requests on the watch stream.
pub mod watch_request {
    /// One request on the watch stream.
    #[derive(Clone, PartialEq, Eq, prost::Oneof)]
    pub enum Request {
        /// Creates a watch.
        #[prost(message, tag = "1")]
        Create(super::WatchCreateRequest),
        /// Cancels a watch.
        #[prost(message, tag = "2")]
        Cancel(super::WatchCancelRequest),
        /// Requests the progress of all watches of the stream.
        #[prost(message, tag = "3")]
        Progress(super::WatchProgressRequest),
    }
}

/// Creates a watch of the keys from `key` (inclusive) to `range_end` (exclusive).
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct WatchCreateRequest {
    /// First key of the range.
    #[prost(bytes = "vec", tag = "1")]
    pub key: Vec<u8>,
    /// Exclusive end of the range.
    #[prost(bytes = "vec", tag = "2")]
    pub range_end: Vec<u8>,
    /// First revision whose changes are reported.
    #[prost(int64, tag = "3")]
    pub start_revision: i64,
    /// Whether the registry reports the progress periodically.
    #[prost(bool, tag = "4")]
    pub progress_notify: bool,
    /// Whether events contain the key before the change.
    #[prost(bool, tag = "6")]
    pub prev_kv: bool,
    /// Id of the watch on this stream, chosen by the client.
    #[prost(int64, tag = "7")]
    pub watch_id: i64,
    /// Whether the registry may split large responses into fragments.
    #[prost(bool, tag = "8")]
    pub fragment: bool,
}

/// Cancels a watch.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct WatchCancelRequest {
    /// Id of the watch.
    #[prost(int64, tag = "1")]
    pub watch_id: i64,
}

/// Requests the progress of all watches of the stream.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct WatchProgressRequest {}

/// A message on the watch stream.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct WatchResponse {
    /// The header.
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
    /// Id of the watch; -1 for all watches of the stream.
    #[prost(int64, tag = "2")]
    pub watch_id: i64,
    /// Whether the watch was created.
    #[prost(bool, tag = "3")]
    pub created: bool,
    /// Whether the watch was cancelled.
    #[prost(bool, tag = "4")]
    pub canceled: bool,
    /// If the watch was cancelled because its revision is compacted, the oldest available revision; 0 otherwise.
    #[prost(int64, tag = "5")]
    pub compact_revision: i64,
    /// Why the watch was cancelled.
    #[prost(string, tag = "6")]
    pub cancel_reason: String,
    /// Whether further fragments of the same message follow.
    #[prost(bool, tag = "7")]
    pub fragment: bool,
    /// The changes, in order.
    #[prost(message, repeated, tag = "11")]
    pub events: Vec<Event>,
}

/// Grants a lease.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct LeaseGrantRequest {
    /// Time to live, in seconds.
    #[prost(int64, tag = "1")]
    pub ttl: i64,
    /// Id of the lease; 0 if the registry chooses the id.
    #[prost(int64, tag = "2")]
    pub id: i64,
}

/// The response to a [`LeaseGrantRequest`].
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct LeaseGrantResponse {
    /// The header.
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
    /// Id of the lease.
    #[prost(int64, tag = "2")]
    pub id: i64,
    /// Time to live, in seconds.
    #[prost(int64, tag = "3")]
    pub ttl: i64,
    /// Why the lease was not granted.
    #[prost(string, tag = "4")]
    pub error: String,
}

/// Keeps a lease alive.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct LeaseKeepAliveRequest {
    /// Id of the lease.
    #[prost(int64, tag = "1")]
    pub id: i64,
}

/// The response to a [`LeaseKeepAliveRequest`].
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct LeaseKeepAliveResponse {
    /// The header.
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
    /// Id of the lease.
    #[prost(int64, tag = "2")]
    pub id: i64,
    /// Remaining time to live, in seconds; 0 if the lease does not exist.
    #[prost(int64, tag = "3")]
    pub ttl: i64,
}

/// Revokes a lease.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct LeaseRevokeRequest {
    /// Id of the lease.
    #[prost(int64, tag = "1")]
    pub id: i64,
}

/// The response to a [`LeaseRevokeRequest`].
pub type LeaseRevokeResponse = HeaderOnlyResponse;

/// Requests the status of a member.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct StatusRequest {}

/// The status of a member.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct StatusResponse {
    /// The header.
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
    /// Server version of the member.
    #[prost(string, tag = "2")]
    pub version: String,
    /// Size of the member's database, in bytes.
    #[prost(int64, tag = "3")]
    pub db_size: i64,
    /// Id of the Raft leader; 0 if the member knows no leader.
    #[prost(uint64, tag = "4")]
    pub leader: u64,
}
