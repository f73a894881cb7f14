//! One purge: what it covers, and whether it can be used.

use crate::routing::events::Micros;
use globset::Glob;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use thiserror::Error;

/// Longest tag and longest pattern, in bytes.
const MAX_TEXT_BYTES: usize = 256;
/// Characters of a text that can't be used that an error shows.
const MAX_SHOWN_CHARS: usize = 40;
/// Most covers of one purge.
pub const MAX_COVERS: usize = 10_000;

/// What one part of a purge covers.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum PurgeScope {
    /// One object.
    Object(u64),
    /// All objects of a group.
    Group(u64),
    /// All objects that have a tag.
    Tag(Arc<str>),
    /// All objects whose name fits a pattern; `*` is everything.
    Pattern(Arc<str>),
}

/// One purge. Moments are of the origin's clock, in microseconds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Purge {
    /// Its number: its place in the one order.
    pub number: u64,
    /// Copies made before this moment are void.
    pub when: Micros,
    /// It is in force until then; no copy from before it is left anywhere after that.
    pub until: Micros,
    /// What it covers.
    pub scopes: Vec<PurgeScope>,
}

/// Why a purge can't be used. It is refused as a whole.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum InvalidPurge {
    /// It covers nothing, or too much.
    #[error("it covers {0} things; 1 to {MAX_COVERS} may be")]
    Covers(usize),
    /// A tag is empty, or too long.
    #[error("'{0}' can't be a tag: 1 to {MAX_TEXT_BYTES} bytes")]
    Tag(String),
    /// A pattern can't be read, and why.
    #[error("pattern '{0}' can't be used: {1}")]
    Pattern(String, String),
    /// It ends before it begins.
    #[error("it ends before it begins")]
    Term,
}

impl Purge {
    /// Checks that all of it can be used.
    ///
    /// # Errors
    /// Something of it can't.
    pub fn check(&self) -> Result<(), InvalidPurge> {
        if !(1..=MAX_COVERS).contains(&self.scopes.len()) {
            return Err(InvalidPurge::Covers(self.scopes.len()));
        }
        if self.until <= self.when {
            return Err(InvalidPurge::Term);
        }
        for cover in &self.scopes {
            match cover {
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
/// It is empty, too long, or no pattern.
pub(super) fn parse_pattern(pattern: &str) -> Result<Glob, InvalidPurge> {
    let invalid = |reason: String| InvalidPurge::Pattern(shortened(pattern), reason);
    if !(1..=MAX_TEXT_BYTES).contains(&pattern.len()) {
        return Err(invalid(format!("1 to {MAX_TEXT_BYTES} bytes may be")));
    }
    Glob::new(pattern).map_err(|error| invalid(error.kind().to_string()))
}

fn shortened(text: &str) -> String {
    text.chars().take(MAX_SHOWN_CHARS).collect()
}
