//! What can be wrong with a scenario or a run, with what to do about it.

/// Why a run can't be made. One line each, with place and remedy.
#[derive(Debug, thiserror::Error)]
pub enum ScaleError {
    /// Part of the library that is not there yet.
    #[error("this part is not built yet")]
    NotBuilt,
}
