//! One purge: its scopes and its validation.

use crate::routing::events::Micros;
use globset::Glob;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use thiserror::Error;

/// Maximum length of a tag or a pattern, in bytes.
const MAX_TEXT_BYTES: usize = 256;
/// Maximum number of characters of an invalid text that an error shows.
const MAX_SHOWN_CHARS: usize = 40;
/// Maximum number of scopes of one purge.
pub const MAX_SCOPES: usize = 10_000;

/// One scope of a purge.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum PurgeScope {
    /// One object.
    Object(u64),
    /// All objects of a purge group.
    Group(u64),
    /// All objects that have a tag.
    Tag(Arc<str>),
    /// All objects whose name matches a glob pattern; `*` matches every object.
    Pattern(Arc<str>),
}

/// One purge. Times are on the origin's clock, in microseconds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Purge {
    /// Number of the purge in the total order.
    pub number: u64,
    /// Copies made before this moment are void.
    pub purged_at: Micros,
    /// Time at which the purge expires: no copy from before the purge remains anywhere.
    pub expires_at: Micros,
    /// The purged scopes.
    pub scopes: Vec<PurgeScope>,
}

/// Reason why a purge is invalid. It is rejected as a whole.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum InvalidPurge {
    /// The purge has no scopes, or too many.
    #[error("the purge has {0} scopes; 1 to {MAX_SCOPES} are allowed")]
    ScopeCount(usize),
    /// A tag is empty, or too long.
    #[error("'{0}' is not a valid tag: 1 to {MAX_TEXT_BYTES} bytes are allowed")]
    Tag(String),
    /// A pattern is invalid, with the reason.
    #[error("pattern '{0}' is invalid: {1}")]
    Pattern(String, String),
    /// The purge expires before it takes effect.
    #[error("the purge expires before it takes effect")]
    Expiry,
}

impl Purge {
    /// Validates the purge.
    ///
    /// # Errors
    /// The number of scopes, the expiry, a tag or a pattern is invalid.
    pub fn check(&self) -> Result<(), InvalidPurge> {
        if !(1..=MAX_SCOPES).contains(&self.scopes.len()) {
            return Err(InvalidPurge::ScopeCount(self.scopes.len()));
        }
        if self.expires_at <= self.purged_at {
            return Err(InvalidPurge::Expiry);
        }
        for scope in &self.scopes {
            match scope {
                PurgeScope::Tag(tag) if !(1..=MAX_TEXT_BYTES).contains(&tag.len()) => {
                    return Err(InvalidPurge::Tag(shortened(tag)));
                }
                PurgeScope::Pattern(pattern) => drop(parse_pattern(pattern)?),
                _ => {}
            }
        }
        Ok(())
    }
}

/// Parses a pattern.
///
/// # Errors
/// The pattern is empty, too long, or not a valid glob.
pub(super) fn parse_pattern(pattern: &str) -> Result<Glob, InvalidPurge> {
    let invalid = |reason: String| InvalidPurge::Pattern(shortened(pattern), reason);
    if !(1..=MAX_TEXT_BYTES).contains(&pattern.len()) {
        return Err(invalid(format!("1 to {MAX_TEXT_BYTES} bytes are allowed")));
    }
    Glob::new(pattern).map_err(|error| invalid(error.kind().to_string()))
}

fn shortened(text: &str) -> String {
    text.chars().take(MAX_SHOWN_CHARS).collect()
}
