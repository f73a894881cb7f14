//! Settings for following documents.

use crate::routing::events::Micros;

const MILLISECOND: Micros = 1_000;
const SECOND: Micros = 1_000 * MILLISECOND;

/// Settings for following documents. Times are in microseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Number of registry endpoints.
    pub endpoints: usize,
    /// Prefix of the keys that are documents.
    pub prefix: String,
    /// Maximum number of mirrored documents.
    pub max_keys: usize,
    /// Maximum total size of the mirrored documents, in bytes. Memory use may be twice as high while a list is read.
    pub max_bytes: usize,
    /// Number of keys in a page of a list.
    pub page_size: i64,
    /// Maximum time for a dial.
    pub dial_timeout: Micros,
    /// Maximum time for the response to a page request or a call. Also the maximum time that a call waits to be sent.
    pub answer_timeout: Micros,
    /// Time between two checks that the mirror is current.
    pub check_interval: Micros,
    /// Maximum time for a check.
    pub check_timeout: Micros,
    /// Range of the random delay before the first retry after a lost connection, so that not all instances reconnect at
    /// once.
    pub retry_spread: Micros,
    /// Maximum pause between dials.
    pub max_retry_pause: Micros,
    /// Maximum number of the owner's pending calls: calls that are not sent yet, not answered yet, or whose reply the
    /// owner has not taken yet.
    pub max_calls: usize,
}

impl Settings {
    /// Returns the default settings.
    pub fn new(endpoints: usize, prefix: &str) -> Self {
        Settings {
            endpoints,
            prefix: prefix.to_owned(),
            max_keys: 50_000,
            max_bytes: 64 << 20,
            page_size: 64,
            dial_timeout: SECOND,
            answer_timeout: 3 * SECOND,
            check_interval: SECOND,
            check_timeout: 2 * SECOND,
            retry_spread: 200 * MILLISECOND,
            max_retry_pause: 5 * SECOND,
            max_calls: 32,
        }
    }

    /// Returns settings for followers that must detect a lost connection and recover fast: a check every
    /// `check_interval`, a change of the endpoint after `timeout`, and short pauses between dials.
    pub fn fast_detection(endpoints: usize, prefix: &str, check_interval: Micros, timeout: Micros) -> Self {
        Settings {
            // A page is a linearizable read, which takes tenths of a second between regions, so one page should hold
            // all keys.
            page_size: 1_024,
            dial_timeout: timeout,
            answer_timeout: timeout,
            check_interval,
            check_timeout: timeout,
            retry_spread: 100 * MILLISECOND,
            max_retry_pause: 2 * SECOND,
            ..Settings::new(endpoints, prefix)
        }
    }
}
