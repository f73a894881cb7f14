//! The state of a site, and the allowed state transitions.

/// State of a site in one instance's view. Only `Unreachable` and `Recovering` affect routing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum SiteState {
    /// The site serves requests.
    #[default]
    Serving,
    /// Attempts at the majority of the site's servers fail; no load is shifted yet, and no move of a shard begins.
    Suspected,
    /// The site counts as lost: its load is redistributed according to the plan for its loss.
    Unreachable,
    /// The site is reachable again, and its load is restored step by step; step 0 is the cold share.
    Recovering {
        /// From 0 to [`Settings::recovery_steps`](super::Settings::recovery_steps) - 1; the site serves after the last.
        step: u8,
    },
}

impl SiteState {
    /// Returns whether the transition from this state to `next` is allowed.
    pub(super) fn may_become(self, next: SiteState) -> bool {
        use SiteState::{Recovering, Serving, Suspected, Unreachable};
        match (self, next) {
            (Serving, Suspected)
            | (Suspected, Serving | Unreachable)
            | (Unreachable, Recovering { step: 0 }) => true,
            // An instance that has just started may learn from a peer that a site is recovering. A suspected site
            // has to become unreachable before it can recover.
            (Serving, Recovering { .. }) | (Recovering { .. }, Serving | Unreachable) => true,
            (Recovering { step: from }, Recovering { step: to }) => to < from || to == from.saturating_add(1),
            _ => false,
        }
    }
}
