//! What can be wrong with a scenario or a run, with what to do about it.

/// Why a run can't be made. One line each, with place and remedy.
#[derive(Debug, thiserror::Error)]
pub enum ScaleError {
    /// No built-in scenario has the name, and no file.
    #[error(
        "scenario '{name}': neither a file nor one of the built-in ones; give a path, or one of: {known}"
    )]
    NoScenario {
        /// What was given.
        name: String,
        /// The names there are.
        known: String,
    },
    /// A file can't be read.
    #[error("{path}: {why}; give a readable file of JSON")]
    File {
        /// The file.
        path: String,
        /// Why.
        why: std::io::Error,
    },
    /// A file holds no scenario.
    #[error("{path}: {why}; see the fields in crates/fleet-simulation/src/scenario.rs")]
    Form {
        /// The file.
        path: String,
        /// Where and why.
        why: serde_json::Error,
    },
    /// A figure is out of its range.
    #[error("{place}: {value} is out of range; give {least} to {most}")]
    Range {
        /// The field.
        place: String,
        /// What stands there.
        value: f64,
        /// The least that is taken.
        least: f64,
        /// The most.
        most: f64,
    },
    /// Something ends before it begins.
    #[error(
        "{place}: ends at {until_s} s, not after its begin at {from_s} s; set the end later or leave it out"
    )]
    Order {
        /// The field.
        place: String,
        /// The begin.
        from_s: f64,
        /// The end.
        until_s: f64,
    },
    /// A region, zone or control machine is named that does not exist.
    #[error("{place}: there is no {what} {number}; give 0 to {}", .most.saturating_sub(1))]
    Unknown {
        /// The field.
        place: String,
        /// Region, zone or control machine.
        what: &'static str,
        /// Its number.
        number: u16,
        /// How many there are.
        most: usize,
    },
    /// A group holds no machine at this size.
    #[error("{place}: {group} holds no machine at size {size}; name another or raise the size")]
    Empty {
        /// The field.
        place: String,
        /// The group.
        group: String,
        /// Instances.
        size: usize,
    },
    /// Neither a view nor followers.
    #[error("scenario '{name}': neither 'view' nor 'follow' is there, so nothing would run; add one")]
    Nothing {
        /// The scenario's name.
        name: String,
    },
    /// The result can't be written.
    #[error("{path}: {why}; give a path that can be written")]
    Write {
        /// The file.
        path: String,
        /// Why.
        why: std::io::Error,
    },
}
