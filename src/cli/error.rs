//! Errors of the commands that use the registry, with what the operator can do.

use super::registry_client::ANSWER_TIMEOUT;
use crate::purges::log::LogError;
use crate::registry::status::Status;
use std::io;
use std::net::SocketAddr;

#[derive(Debug, thiserror::Error)]
pub(super) enum CommandError {
    #[error("no registry endpoint is given")]
    NoEndpoint,
    #[error("can't reach the registry at {address}: {source}")]
    Unreachable { address: SocketAddr, source: io::Error },
    #[error("can't reach the registry: {0}")]
    Io(#[from] io::Error),
    #[error("interrupted")]
    Interrupted,
    #[error("the registry returned an error: {0}")]
    CallFailed(Status),
    #[error("can't decode the registry's answer: {0}")]
    InvalidAnswer(#[from] prost::DecodeError),
    #[error("the registry closed the connection: {0}")]
    ConnectionClosed(String),
    #[error("the registry did not answer within {ANSWER_TIMEOUT:?}")]
    TimedOut,
    #[error("the registry ended the watch: {0}")]
    WatchCancelled(String),
    #[error("'{0}' can't be an id: 1 to 64 letters, digits and . _ : -")]
    InvalidId(String),
    #[error("{0} is not listed")]
    NotListed(String),
    #[error("the record of {id} can't be read ({source}); replace it with put")]
    UnreadableRecord { id: String, source: serde_json::Error },
    #[error("{0}")]
    UnwritableRecord(serde_json::Error),
    #[error("the record was changed concurrently, so nothing was written; check the record and try again")]
    RecordChanged,
    #[error("{0}")]
    PurgeLog(#[from] LogError),
    #[error("other processes appended to the log during all {0} attempts, so nothing was written; try again, or combine several purges in one command")]
    LogContended(usize),
}
