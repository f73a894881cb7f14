//! The latest state of the registry that a follower has accepted, given by cluster and revision.

/// A cluster and a revision of its key-value store; `R` is the integer type of revisions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Position<R> {
    /// Id of the followed cluster; `None` before the first list.
    pub cluster: Option<u64>,
    /// Latest accepted revision.
    pub revision: R,
}

impl<R: Copy + Ord> Position<R> {
    /// Returns the followed cluster if it differs from `cluster`.
    pub fn other_cluster(&self, cluster: u64) -> Option<u64> {
        self.cluster.filter(|followed| *followed != cluster)
    }

    /// Returns whether a response with this cluster and revision is of the followed cluster and no older than the
    /// accepted revision. Before the first list, every response is accepted.
    pub fn accepts(&self, cluster: u64, revision: R) -> bool {
        self.cluster.is_none_or(|followed| followed == cluster && revision >= self.revision)
    }

    /// Accepts a revision; an earlier one than the accepted revision has no effect.
    pub fn advance(&mut self, revision: R) {
        self.revision = self.revision.max(revision);
    }
}
