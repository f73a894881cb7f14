//! How documents are followed.

use crate::routing::events::Micros;

const MILLISECOND: Micros = 1_000;
const SECOND: Micros = 1_000 * MILLISECOND;

/// How documents are followed. Times in microseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// How many endpoints there are.
    pub endpoints: usize,
    /// Keys below it are documents.
    pub prefix: String,
    /// Most documents that are kept.
    pub max_keys: usize,
    /// Most bytes of keys and values that are kept; while a list is read there may be twice as many.
    pub max_bytes: usize,
    /// Keys in one page of a list.
    pub page_size: i64,
    /// A dial takes no longer.
    pub dial_timeout: Micros,
    /// An answer to a page or a call takes no longer. A call waits no longer for being sent.
    pub answer_timeout: Micros,
    /// Between two checks that the mirror is current.
    pub check_interval: Micros,
    /// A check takes no longer.
    pub check_timeout: Micros,
    /// First retries of all instances after a loss are spread over this.
    pub retry_spread: Micros,
    /// Longest pause between dials.
    pub max_retry_pause: Micros,
    /// Most calls of the owner that wait: for being sent, for their answer, or for the owner to take that.
    pub max_calls: usize,
}

impl Settings {
    /// The usual settings.
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

    /// Settings for followers that must notice soon that they hear nothing, and recover soon: a check each `check`,
    /// another endpoint after `silence`, and short pauses between dials.
    pub fn fast_detection(endpoints: usize, prefix: &str, check: Micros, silence: Micros) -> Self {
        Settings {
            // A page is a linearizable read, which between regions takes tenths of a second: best one for all.
            page_size: 1_024,
            dial_timeout: silence,
            answer_timeout: silence,
            check_interval: check,
            check_timeout: silence,
            retry_spread: 100 * MILLISECOND,
            max_retry_pause: 2 * SECOND,
            ..Settings::new(endpoints, prefix)
        }
    }
}
