//! What a run leaves behind for the checker and the figures: facts of the simulated world and what instances showed.
//! Nothing here comes out of a core's own account of itself.

use crate::plan::Span;
use crate::queue::Micros;

/// A commit of the control machines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Commit {
    /// Its revision.
    pub revision: i64,
    /// When it was.
    pub at: Micros,
}

/// From this moment on an instance shows all up to this revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Step {
    /// When.
    pub at: Micros,
    /// Up to which revision; 0 at the begin of a life.
    pub revision: i64,
}

/// What one instance showed of the documents.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Shown {
    /// In order of time.
    pub steps: Vec<Step>,
    /// When it said of itself that it can't vouch for what it shows; in order.
    pub strict: Vec<Span>,
    /// When it did not run; in order, apart from each other.
    pub down: Vec<Span>,
    /// When it could reach no control machine that serves; in order, apart from each other.
    pub cut_off: Vec<Span>,
}

/// Of the following of documents.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FollowRecords {
    /// The measured time.
    pub measured: Option<Span>,
    /// In order.
    pub commits: Vec<Commit>,
    /// By instance.
    pub shown: Vec<Shown>,
}

/// What an instance holds of another from now on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Word {
    /// When.
    pub at: Micros,
    /// Who holds it.
    pub by: u16,
    /// Of whom.
    pub member: u16,
    /// That it is gone; else that it is there.
    pub gone: bool,
}

/// Of the view.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ViewRecords {
    /// The measured time.
    pub measured: Option<Span>,
    /// In order of time. An instance that begins anew holds all others to be there.
    pub words: Vec<Word>,
    /// By instance, when it did not run; in order, apart from each other.
    pub down: Vec<Vec<Span>>,
    /// When any two were cut off from each other; in order, apart.
    pub cuts: Vec<Span>,
    /// The last moment at which something began or ended to go wrong.
    pub last_change: Option<Micros>,
}
