//! Calls of the owner and the campaign: transactions and lease operations. Each accepted call gets exactly one reply.
//! Calls are never retried here; the caller decides whether to repeat a call, based on the mirror.

use super::outputs::Rpc;
use super::transaction::Transaction;
use super::DocumentsError;
use crate::registry::answers::MessageError;
use crate::registry::messages::{
    LeaseGrantRequest, LeaseGrantResponse, LeaseKeepAliveRequest, LeaseKeepAliveResponse, LeaseRevokeRequest,
    LeaseRevokeResponse, ResponseHeader, TxnResponse,
};
use crate::registry::status::{code, Status};
use crate::routing::events::Micros;
use prost::Message;
use std::collections::{BTreeMap, VecDeque};

/// Maximum number of pending calls of the campaign beyond the limit for the owner.
const MAX_CAMPAIGN_CALLS: usize = 8;
const SECOND: Micros = 1_000_000;
/// Prefix of the messages with which the registry itself rejects a call for exhausted resources. Other such messages
/// mean that a message exceeds the size limit of this client.
const REGISTRY_MESSAGE_PREFIX: &str = "etcdserver:";

/// The caller of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Caller {
    /// The owner, with an id that the owner has chosen.
    Owner(u64),
    /// The campaign for the planner's key, with the campaign's id for the call.
    Campaign(u64),
}

/// A request to the registry.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Request {
    /// A transaction, and the lease to which the written keys are attached; 0 for none.
    Transaction(Transaction, i64),
    /// A grant of a lease with this time to live, in seconds.
    Grant(i64),
    /// A keep-alive of this lease.
    KeepAlive(i64),
    /// A revocation of this lease.
    Revoke(i64),
}

/// The result of a transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The transaction was committed.
    Committed {
        /// Revision of the commit.
        revision: i64,
    },
    /// A compare failed, so nothing was written.
    CompareFailed,
    /// The transaction was sent, but no response arrived. It may have been committed, or may still be.
    Unknown,
    /// The transaction is not and will not be committed: it was not sent in time, or the registry rejected it.
    NotSent,
}

/// The reply to a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reply {
    /// The result of a transaction, or of any call that failed.
    Outcome(Outcome),
    /// A lease was granted.
    Granted {
        /// Id of the lease.
        lease: i64,
        /// Time to live, in microseconds.
        ttl: Micros,
    },
    /// The registry received a keep-alive.
    KeptAlive {
        /// Time to live from the receipt of the keep-alive, in microseconds; 0 if the lease has expired.
        ttl: Micros,
    },
    /// The lease was revoked.
    Revoked,
}

/// A call that has not been sent yet.
#[derive(Clone, Debug)]
struct WaitingCall {
    caller: Caller,
    request: Request,
    deadline: Micros,
}

/// A call that has been sent and has no reply yet.
#[derive(Clone, Debug)]
struct SentCall {
    caller: Caller,
    kind: CallKind,
    deadline: Micros,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallKind {
    Transaction,
    Grant,
    KeepAlive,
    Revoke,
}

/// All calls from their acceptance until their replies are taken.
#[derive(Clone, Debug, Default)]
pub(super) struct Calls {
    waiting: VecDeque<WaitingCall>,
    sent: BTreeMap<u64, SentCall>,
    replies: VecDeque<(Caller, Reply)>,
    /// Number of calls sent.
    pub(super) sent_count: u64,
    /// Number of calls with an unknown result.
    pub(super) unknown_count: u64,
}

impl Calls {
    /// Accepts a call that expires at `deadline` unless it has been sent. At most `max_calls` calls of the owner may be
    /// pending.
    pub(super) fn accept(
        &mut self,
        caller: Caller,
        request: Request,
        deadline: Micros,
        max_calls: usize,
    ) -> Result<(), DocumentsError> {
        let max_calls = match caller {
            Caller::Owner(_) => max_calls,
            // The campaign makes few calls, and must not lose its lease because many calls of the owner are pending.
            Caller::Campaign(_) => max_calls.saturating_add(MAX_CAMPAIGN_CALLS),
        };
        if self.waiting.len() + self.sent.len() + self.replies.len() >= max_calls {
            return Err(DocumentsError::Busy { max_calls });
        }
        if self.is_pending(caller) {
            let (Caller::Owner(id) | Caller::Campaign(id)) = caller;
            return Err(DocumentsError::DuplicateId { id });
        }
        if let Request::Transaction(transaction, _) = &request {
            transaction.validate()?;
        }
        self.waiting.push_back(WaitingCall { caller, request, deadline });
        Ok(())
    }

    fn is_pending(&self, caller: Caller) -> bool {
        self.waiting.iter().any(|waiting| waiting.caller == caller)
            || self.sent.values().any(|sent| sent.caller == caller)
            || self.replies.iter().any(|(replied, _)| *replied == caller)
    }

    /// Removes the oldest waiting call and returns it as an RPC to be sent under id `call`. The call expires at `deadline`
    /// unless its response arrives.
    pub(super) fn send_next(&mut self, call: u64, deadline: Micros, prefix: &str) -> Option<Rpc> {
        let WaitingCall { caller, request, .. } = self.waiting.pop_front()?;
        let (kind, rpc) = match request {
            Request::Transaction(transaction, lease) => {
                (CallKind::Transaction, Rpc::Transaction(transaction.into_request(prefix, lease)))
            }
            Request::Grant(ttl) => (CallKind::Grant, Rpc::Grant(LeaseGrantRequest { ttl, id: 0 })),
            Request::KeepAlive(id) => (CallKind::KeepAlive, Rpc::KeepAlive(LeaseKeepAliveRequest { id })),
            Request::Revoke(id) => (CallKind::Revoke, Rpc::Revoke(LeaseRevokeRequest { id })),
        };
        self.sent_count += 1;
        self.sent.insert(call, SentCall { caller, kind, deadline });
        Some(rpc)
    }

    pub(super) fn has_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Returns the kind of a call that has been sent.
    pub(super) fn kind(&self, call: u64) -> Option<CallKind> {
        self.sent.get(&call).map(|sent| sent.kind)
    }

    /// Ends a sent call with this reply.
    pub(super) fn finish(&mut self, call: u64, reply: Reply) {
        if let Some(sent) = self.sent.remove(&call) {
            self.unknown_count += u64::from(reply == Reply::Outcome(Outcome::Unknown));
            self.replies.push_back((sent.caller, reply));
        }
    }

    /// Ends all sent calls with an unknown result, because their connection is closed.
    pub(super) fn abandon_sent(&mut self) {
        let calls: Vec<u64> = self.sent.keys().copied().collect();
        calls.into_iter().for_each(|call| self.finish(call, Reply::Outcome(Outcome::Unknown)));
    }

    /// Ends the waiting calls whose deadline has passed as not sent.
    pub(super) fn expire_waiting(&mut self, now: Micros) {
        while let Some(expired) = self.waiting.pop_front_if(|waiting| waiting.deadline <= now) {
            self.replies.push_back((expired.caller, Reply::Outcome(Outcome::NotSent)));
        }
    }

    /// Ends all calls whose deadline has passed; returns the sent ones, which are to be cancelled.
    pub(super) fn expire(&mut self, now: Micros) -> Vec<u64> {
        self.expire_waiting(now);
        let expired: Vec<u64> =
            self.sent.iter().filter(|(_, sent)| sent.deadline <= now).map(|(call, _)| *call).collect();
        expired.iter().for_each(|call| self.finish(*call, Reply::Outcome(Outcome::Unknown)));
        expired
    }

    /// Returns the earliest deadline of all calls.
    pub(super) fn due(&self) -> Micros {
        let waiting = self.waiting.iter().map(|waiting| waiting.deadline);
        let sent = self.sent.values().map(|sent| sent.deadline);
        waiting.chain(sent).fold(Micros::MAX, Micros::min)
    }

    pub(super) fn take_replies(&mut self) -> impl Iterator<Item = (Caller, Reply)> + '_ {
        self.replies.drain(..)
    }

    pub(super) fn has_replies(&self) -> bool {
        !self.replies.is_empty()
    }
}

/// Decodes the response to a call of this kind.
pub(super) fn decode_reply(
    kind: CallKind,
    bytes: &[u8],
) -> Result<(Option<ResponseHeader>, Reply), MessageError> {
    match kind {
        CallKind::Transaction => {
            let response = TxnResponse::decode(bytes)?;
            let revision = response.header.map_or(0, |header| header.revision);
            let committed = Outcome::Committed { revision };
            let outcome = if response.succeeded { committed } else { Outcome::CompareFailed };
            Ok((response.header, Reply::Outcome(outcome)))
        }
        CallKind::Grant => {
            let response = LeaseGrantResponse::decode(bytes)?;
            let (lease, ttl) = (response.id, micros(response.ttl));
            let is_granted = response.error.is_empty() && lease != 0 && ttl > 0;
            let rejected = Reply::Outcome(Outcome::NotSent);
            Ok((response.header, if is_granted { Reply::Granted { lease, ttl } } else { rejected }))
        }
        CallKind::KeepAlive => {
            let response = LeaseKeepAliveResponse::decode(bytes)?;
            Ok((response.header, Reply::KeptAlive { ttl: micros(response.ttl) }))
        }
        CallKind::Revoke => Ok((LeaseRevokeResponse::decode(bytes)?.header, Reply::Revoked)),
    }
}

/// Converts seconds to microseconds; a negative number becomes 0.
fn micros(ttl_seconds: i64) -> Micros {
    u64::try_from(ttl_seconds).unwrap_or(0).saturating_mul(SECOND)
}

/// Whether a call that ended with this status was rejected by the registry without being executed.
pub(super) fn is_rejected(status: &Status) -> bool {
    match status.code {
        code::INVALID_ARGUMENT
        | code::NOT_FOUND
        | code::PERMISSION_DENIED
        | code::FAILED_PRECONDITION
        | code::OUT_OF_RANGE
        | code::UNIMPLEMENTED
        | code::UNAUTHENTICATED => true,
        code::RESOURCE_EXHAUSTED => status.message.starts_with(REGISTRY_MESSAGE_PREFIX),
        _ => false,
    }
}
