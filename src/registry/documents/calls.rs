//! The owner's calls: transactions and leases. Each call that is accepted gets exactly one reply. Nothing is sent
//! twice: whether a call is repeated is the owner's decision, by what the mirror shows then.

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

/// Calls of the campaign that may wait beside the owner's.
const MAX_CAMPAIGN_CALLS: usize = 8;
const SECOND: Micros = 1_000_000;
/// How the registry's own messages on exhausted resources begin; others are of a message that is too large here.
const REGISTRY_MESSAGE_PREFIX: &str = "etcdserver:";

/// Who made a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Caller {
    /// The owner, with a number of its own.
    Owner(u64),
    /// The campaign for the planner's key.
    Campaign(u64),
}

/// What can be asked of the registry.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Request {
    /// A transaction; what it writes is attached to the lease, unless that is 0.
    Transaction(Transaction, i64),
    /// A lease of so many seconds.
    Grant(i64),
    /// A keep-alive of a lease.
    KeepAlive(i64),
    /// The end of a lease.
    Revoke(i64),
}

/// What has become of a transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// It happened.
    Committed {
        /// Its revision.
        revision: i64,
    },
    /// A compare failed: nothing has happened.
    CompareFailed,
    /// It may have happened, or may still happen: it was sent, and no answer arrived.
    Unknown,
    /// Nothing has happened, nor will: it was not sent in time, or the registry rejected it.
    NotSent,
}

/// What a call has led to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reply {
    /// Of a transaction, or of any call that got no answer.
    Outcome(Outcome),
    /// The lease that was granted.
    Granted {
        /// Its id.
        lease: i64,
        /// How long it lasts.
        ttl: Micros,
    },
    /// How long the lease lasts from when the registry received the keep-alive; 0: it has expired.
    KeptAlive {
        /// How long it lasts.
        ttl: Micros,
    },
    /// The lease has ended.
    Revoked,
}

/// A call that is not sent yet.
#[derive(Clone, Debug)]
struct WaitingCall {
    caller: Caller,
    request: Request,
    until: Micros,
}

/// A call that has been sent.
#[derive(Clone, Debug)]
struct SentCall {
    caller: Caller,
    kind: CallKind,
    until: Micros,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallKind {
    Transaction,
    Grant,
    KeepAlive,
    Revoke,
}

/// The calls from their acceptance to when the owner takes their replies.
#[derive(Clone, Debug, Default)]
pub(super) struct Calls {
    waiting: VecDeque<WaitingCall>,
    sent: BTreeMap<u64, SentCall>,
    replies: VecDeque<(Caller, Reply)>,
    /// How many were sent.
    pub(super) sent_count: u64,
    /// How many got no answer.
    pub(super) unknown_count: u64,
}

impl Calls {
    /// Accepts a call that waits until `until` for being sent; `max_calls` of the owner may wait.
    pub(super) fn accept(
        &mut self,
        caller: Caller,
        request: Request,
        until: Micros,
        max_calls: usize,
    ) -> Result<(), DocumentsError> {
        let max_calls = match caller {
            Caller::Owner(_) => max_calls,
            // The campaign has few calls, and must not lose its lease because the owner has many.
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
        self.waiting.push_back(WaitingCall { caller, request, until });
        Ok(())
    }

    fn is_pending(&self, caller: Caller) -> bool {
        self.waiting.iter().any(|waiting| waiting.caller == caller)
            || self.sent.values().any(|sent| sent.caller == caller)
            || self.replies.iter().any(|(replied, _)| *replied == caller)
    }

    /// Takes the oldest waiting call to send it under this number, with `until` as the limit for its answer.
    pub(super) fn send_next(&mut self, call: u64, until: Micros, prefix: &str) -> Option<Rpc> {
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
        self.sent.insert(call, SentCall { caller, kind, until });
        Some(rpc)
    }

    pub(super) fn has_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// The kind of a call that has been sent.
    pub(super) fn kind(&self, call: u64) -> Option<CallKind> {
        self.sent.get(&call).map(|sent| sent.kind)
    }

    /// Ends a call that has been sent with this reply.
    pub(super) fn finish(&mut self, call: u64, reply: Reply) {
        if let Some(sent) = self.sent.remove(&call) {
            self.unknown_count += u64::from(reply == Reply::Outcome(Outcome::Unknown));
            self.replies.push_back((sent.caller, reply));
        }
    }

    /// Ends all calls that have been sent, since their connection is given up: they may have happened.
    pub(super) fn abandon_sent(&mut self) {
        let calls: Vec<u64> = self.sent.keys().copied().collect();
        calls.into_iter().for_each(|call| self.finish(call, Reply::Outcome(Outcome::Unknown)));
    }

    /// Ends the calls that have waited too long for being sent.
    pub(super) fn expire_waiting(&mut self, now: Micros) {
        while let Some(late) = self.waiting.pop_front_if(|waiting| waiting.until <= now) {
            self.replies.push_back((late.caller, Reply::Outcome(Outcome::NotSent)));
        }
    }

    /// Ends what has waited for too long; returns the calls that are to be cancelled.
    pub(super) fn expire(&mut self, now: Micros) -> Vec<u64> {
        self.expire_waiting(now);
        let late: Vec<u64> =
            self.sent.iter().filter(|(_, sent)| sent.until <= now).map(|(call, _)| *call).collect();
        late.iter().for_each(|call| self.finish(*call, Reply::Outcome(Outcome::Unknown)));
        late
    }

    /// When the first of the calls expires.
    pub(super) fn due(&self) -> Micros {
        let waiting = self.waiting.iter().map(|waiting| waiting.until);
        let sent = self.sent.values().map(|sent| sent.until);
        waiting.chain(sent).fold(Micros::MAX, Micros::min)
    }

    pub(super) fn take_replies(&mut self) -> impl Iterator<Item = (Caller, Reply)> + '_ {
        self.replies.drain(..)
    }

    pub(super) fn has_replies(&self) -> bool {
        !self.replies.is_empty()
    }
}

/// Decodes the answer to a call.
pub(super) fn decode_reply(
    kind: CallKind,
    bytes: &[u8],
) -> Result<(Option<ResponseHeader>, Reply), MessageError> {
    match kind {
        CallKind::Transaction => {
            let answer = TxnResponse::decode(bytes)?;
            let revision = answer.header.map_or(0, |header| header.revision);
            let committed = Outcome::Committed { revision };
            let outcome = if answer.succeeded { committed } else { Outcome::CompareFailed };
            Ok((answer.header, Reply::Outcome(outcome)))
        }
        CallKind::Grant => {
            let answer = LeaseGrantResponse::decode(bytes)?;
            let (lease, ttl) = (answer.id, micros(answer.ttl));
            let is_granted = answer.error.is_empty() && lease != 0 && ttl > 0;
            let rejected = Reply::Outcome(Outcome::NotSent);
            Ok((answer.header, if is_granted { Reply::Granted { lease, ttl } } else { rejected }))
        }
        CallKind::KeepAlive => {
            let answer = LeaseKeepAliveResponse::decode(bytes)?;
            Ok((answer.header, Reply::KeptAlive { ttl: micros(answer.ttl) }))
        }
        CallKind::Revoke => Ok((LeaseRevokeResponse::decode(bytes)?.header, Reply::Revoked)),
    }
}

/// A number of seconds; a negative one counts as none.
fn micros(ttl_seconds: i64) -> Micros {
    u64::try_from(ttl_seconds).unwrap_or(0).saturating_mul(SECOND)
}

/// Whether the registry has rejected a call that ended so: nothing of it has happened.
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
