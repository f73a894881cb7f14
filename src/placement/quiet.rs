//! When a zone's shards may move: weekly windows in a time zone of their own, windows of once, and blackouts.

use jiff::tz::TimeZone;
use jiff::Timestamp;

/// A window in which shards may move.
#[derive(Clone, Debug, PartialEq)]
pub enum Window {
    /// Each week.
    Weekly {
        /// The days on which it begins; bit 0 is Monday.
        days: u8,
        /// The minute of the day at which it begins.
        from: u16,
        /// The minute of the day at which it ends; not above `from`: on the next day.
        to: u16,
        /// By whose clock.
        zone: TimeZone,
    },
    /// Once, from one moment up to another.
    Once(Timestamp, Timestamp),
}

/// All windows and blackouts of an installation.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Calendar {
    /// By the name of a zone of the settings.
    pub quiet: Vec<(String, Window)>,
    /// Nothing moves from one moment up to another, in a zone or, without a name, anywhere.
    pub blackouts: Vec<(Option<String>, Timestamp, Timestamp)>,
}
