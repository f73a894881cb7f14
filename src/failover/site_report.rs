//! The report on itself and on sites that each instance sends to its peers in gossip datagrams.
//!
//! A report is a hint that ages and may be lost: no limit depends on one, nor does any decision on which all instances
//! must agree. The failure detector fills in the observations; `proxy::failover` sends and receives the reports.

#[cfg(test)]
mod tests;

use serde::{Deserialize, Serialize};

/// Maximum length of a report in bytes: it shares datagrams of 256 bytes with membership updates and other reports.
pub const MAX_BYTES: usize = 64;
/// Maximum number of sites in one report.
pub const MAX_SITES: usize = 12;
/// Version of the encoding.
pub const VERSION: u8 = 1;

/// One instance's observation of one site that it has tried recently.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct SiteObservation {
    /// Zone of the site.
    pub zone: u8,
    /// Number of the site's servers that the instance has reached recently.
    pub reached: u8,
    /// Number of the site's servers that the instance has tried recently and not reached.
    pub failed: u8,
    /// Time for which all attempts have failed, in tenths of a second; 255 stands for 25.5 s or longer.
    pub unreachable_tenths_s: u8,
    /// State of the site in the sender's view: 0 serving, 1 suspected, 2 unreachable, 3 + step recovering.
    pub state: u8,
}

/// One instance's report.
#[derive(Clone, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct SiteReport {
    /// Zone of the reporting instance.
    pub zone: u8,
    /// Unix time at which the instance wrote the report, in milliseconds.
    pub clock_ms: u64,
    /// Number of the load shift plans that the instance uses; 0 if none.
    pub plan_number: u32,
    /// Epoch of the shard map of its own zone that the instance has applied; 0 if none.
    pub map_epoch: u32,
    /// Observations of sites, the most significant first.
    pub observations: Vec<SiteObservation>,
}

/// Reason why bytes are not a valid report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SiteReportError {
    /// The bytes are longer than the maximum length of a report.
    #[error(
        "site report of {0} bytes exceeds the maximum of 64 bytes; it is corrupted or not a report, and is dropped"
    )]
    Length(usize),
    /// The report has another version.
    #[error(
        "site report has unsupported version {0}; its sender runs another release: finish the upgrade of the fleet"
    )]
    Version(u8),
    /// The report is truncated or not in this encoding.
    #[error("site report is truncated or malformed; it is dropped")]
    Encoding,
}

impl SiteReport {
    /// Encodes the report; observations that do not fit are omitted, the last first.
    ///
    /// # Panics
    ///
    /// Never: a report is numbers and a list of numbers, which postcard encodes into memory without an error.
    pub fn encode(&self) -> Vec<u8> {
        let mut report = self.clone();
        loop {
            let bytes = postcard::to_extend(&report, vec![VERSION]).expect("numbers and lists are encodable");
            if bytes.len() <= MAX_BYTES || report.observations.pop().is_none() {
                return bytes;
            }
        }
    }

    /// Decodes a report without panicking on any input.
    ///
    /// # Errors
    ///
    /// [`SiteReportError`] if the bytes are too long, of another version, or truncated.
    pub fn decode(bytes: &[u8]) -> Result<SiteReport, SiteReportError> {
        if bytes.len() > MAX_BYTES {
            return Err(SiteReportError::Length(bytes.len()));
        }
        let (&version, body) = bytes.split_first().ok_or(SiteReportError::Encoding)?;
        if version != VERSION {
            return Err(SiteReportError::Version(version));
        }
        let (report, rest) =
            postcard::take_from_bytes::<SiteReport>(body).map_err(|_| SiteReportError::Encoding)?;
        if !rest.is_empty() || report.observations.len() > MAX_SITES {
            return Err(SiteReportError::Encoding);
        }
        Ok(report)
    }
}
