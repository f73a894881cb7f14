//! Checks of a request's values against its class and the settings. The module does no I/O and reads no clock.

use super::timers::MILLISECOND;
use crate::config::settings::{ClassLookup, RequestLimits, MAX_TIME_US};
use crate::net::protocol::{ClientRequest, Malformed};
use crate::routing::events::{Idempotency, Micros};

const MICROS_PER_S: f64 = 1e6;
/// Maximum client timeout and transfer time, as a multiple of the deadline of the request's class.
const MAX_TIMEOUT_FACTOR: u64 = 4;

/// Returns the maximum client timeout for a class with this deadline.
fn longest_timeout(deadline: Micros) -> Micros {
    deadline.saturating_mul(MAX_TIMEOUT_FACTOR)
}

/// Returns the transfer time of a response of this size, in microseconds, or 0 if the settings contain no
/// transfer rate.
fn transfer_time_us(size_kb: f64, transfer_rate_kb_per_s: f64) -> f64 {
    if transfer_rate_kb_per_s > 0.0 {
        size_kb / transfer_rate_kb_per_s * MICROS_PER_S
    } else {
        0.0
    }
}

/// Returns whether a transfer of this size ends within the maximum client timeout of a class with this
/// deadline. A request that is too large is well-formed and is rejected without closing the connection.
pub(super) fn can_transfer_in_time(size_kb: f64, deadline: Micros, limits: RequestLimits) -> bool {
    transfer_time_us(size_kb, limits.transfer_rate_kb_per_s) <= longest_timeout(deadline) as f64
}

/// Checks that a request's class is configured and that its values are in range. `may_lack_key` allows a
/// missing idempotency key, because the request may have been made when the settings did not require one.
pub(super) fn check_request(
    request: &ClientRequest,
    limits: RequestLimits,
    class_lookup: ClassLookup,
    may_lack_key: bool,
) -> Result<(), Malformed> {
    let (class, deadline) = match class_lookup {
        ClassLookup::Found { deadline, class, .. } => (class, deadline),
        ClassLookup::Dropped => return Ok(()),
        ClassLookup::Unknown => return Err(Malformed::UnknownRoute),
    };
    if request.timeout_ms == 0 || request.timeout_ms.saturating_mul(MILLISECOND) > longest_timeout(deadline) {
        return Err(Malformed::TimeoutRange);
    }
    if transfer_time_us(request.size_kb, limits.transfer_rate_kb_per_s) > MAX_TIME_US as f64 {
        return Err(Malformed::SizeRange);
    }
    if class.idempotency == Idempotency::WithKey && request.idempotency_key.is_none() && !may_lack_key {
        return Err(Malformed::MissingIdempotencyKey);
    }
    Ok(())
}
