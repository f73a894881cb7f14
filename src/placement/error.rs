//! Errors in the settings, documents and changes of shards.

/// Error in the settings, a document or a change of shards.
#[derive(Clone, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum PlacementError {
    /// A quiet window or blackout names a zone that the settings lack.
    #[error("quiet() or blackout() names the zone '{zone}', which the settings lack; known are: {known}. Correct the name in the product's script")]
    UnknownZone {
        /// The unknown name.
        zone: String,
        /// The zones of the settings, separated by commas.
        known: String,
    },
    /// A document is truncated, corrupt or of another kind.
    #[error("the {what} is corrupt ({why}); the last good one stays in force. Delete its key or its file, and the planner writes it again")]
    Torn {
        /// Kind of the document.
        what: &'static str,
        /// The problem found.
        why: &'static str,
    },
    /// A document has a format that this version does not know.
    #[error("the {what} has format {format}, but this version reads format {known}; nothing is changed. Run the same version on all instances, or delete its key once every instance runs this version")]
    Format {
        /// Kind of the document.
        what: &'static str,
        /// Format of the document.
        format: u8,
        /// Format that this version reads.
        known: u8,
    },
    /// A document is intact but its contents are invalid.
    #[error("the {what} is intact but invalid ({why}); the last good one stays in force. The writer is at fault: find out which version wrote it, then delete its key")]
    Broken {
        /// Kind of the document.
        what: &'static str,
        /// The violated rule.
        why: &'static str,
    },
    /// A split or merge is not possible.
    #[error("the shard that begins at {start:016x} can't be split or merged ({why}); the request is dropped, and the next forecast repeats it if it is still needed")]
    Change {
        /// Start of the shard.
        start: u64,
        /// The reason.
        why: &'static str,
    },
}
