//! What a run comes to.

use serde::{Deserialize, Serialize};

/// How a figure is spread over instances, machines or happenings.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Spread {
    /// Of how many.
    pub count: u64,
    /// Half are no larger.
    pub median: f64,
    /// 99 of 100 are no larger.
    pub p99: f64,
    /// The largest.
    pub most: f64,
}

/// What a view of all instances costs and how fast it is. Rates are means over the measured time, spread over the
/// instances that ran all of it.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ViewFigures {
    /// Instances.
    pub size: usize,
    /// Of the run.
    pub seed: u64,
    /// Virtual seconds that were measured.
    pub seconds: u64,
    /// Bytes of each instance's note; 0: none had one.
    pub note_bytes: usize,
    /// Datagrams sent a second by an instance.
    pub sent_per_s: Spread,
    /// Bytes of datagrams sent a second by an instance, without heads of UDP and IP.
    pub sent_bytes_per_s: Spread,
    /// Datagrams taken a second by an instance.
    pub received_per_s: Spread,
    /// Their bytes.
    pub received_bytes_per_s: Spread,
    /// Bytes of the longest datagram.
    pub longest_datagram: usize,
    /// Pairs of an instance that ended and one that should have noticed.
    pub deaths_to_notice: u64,
    /// Milliseconds from an end to each other's word of it.
    pub detection_ms: Spread,
    /// Running instances held to be dead by one that could hear them, once for each that did.
    pub false_deaths: u64,
    /// Milliseconds from the last fault's end until all held the same of all; `None`: not within the run.
    pub agree_ms: Option<f64>,
    /// Notes, where there were any.
    pub notes: Option<NoteFigures>,
    /// Events of the simulation, as a measure of its own work.
    pub events: u64,
}

/// How notes spread.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct NoteFigures {
    /// Part of all others' notes that an instance holds (0 to 1), over instances and moments looked at.
    pub held: Spread,
    /// The least of these parts.
    pub least_held: f64,
    /// Part of all others' notes that an instance holds and that are under 4 s old: those that are judged by.
    pub fresh: Spread,
    /// The least of these parts.
    pub least_fresh: f64,
    /// Milliseconds until others had one note that changed, over those that got it.
    pub changed_ms: Spread,
    /// Others that had not got it by the end.
    pub without_changed: u64,
}

/// Messages and bytes of one direction.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Traffic {
    /// Messages of gRPC a second.
    pub messages_per_s: Spread,
    /// Bytes a second: messages, their heads and the frames of HTTP/2, as [`FollowFigures`] says.
    pub bytes_per_s: Spread,
}

/// What following documents costs and how fast it is.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct FollowFigures {
    /// Instances.
    pub size: usize,
    /// Of the run.
    pub seed: u64,
    /// Virtual seconds that were measured.
    pub seconds: u64,
    /// Control machines.
    pub controls: usize,
    /// Commits within the measured time.
    pub commits: u64,
    /// From each instance to the control machines, over instances.
    pub up: Traffic,
    /// From the control machines to each instance, over instances.
    pub down: Traffic,
    /// Into each control machine, over machines.
    pub control_in: Traffic,
    /// Out of each control machine, over machines.
    pub control_out: Traffic,
    /// Calls and requests on open calls a second at each control machine, means over the measured time.
    pub control_calls_per_s: Spread,
    /// The largest number of them in one second (on a grid of whole seconds) at any control machine.
    pub control_calls_peak: u64,
    /// The largest number of messages that one control machine sent in one second.
    pub control_out_peak: u64,
    /// The largest number of bytes that one control machine sent in one second.
    pub control_out_bytes_peak: u64,
    /// The largest number of instances' connections at one control machine at a time.
    pub control_links_most: u64,
    /// Milliseconds from a commit until an instance's mirror shows it, over all instances and commits where the instance
    /// could reach the control machines all the time.
    pub in_force_ms: Spread,
    /// The same where it was cut off or not running for some of it, or less than 4 s before: from the later of the
    /// commit and when it could reach them again.
    pub caught_up_ms: Spread,
    /// Pairs of a commit and an instance that should have shown it by the end and did not.
    pub missing: u64,
    /// Part of the measured time that an instance could not vouch for what it showed.
    #[serde(default)]
    pub strict: Spread,
    /// Instances that could not at some time.
    #[serde(default, rename = "strict_doormans")]
    pub strict_instances: u64,
    /// Most of them at one time.
    #[serde(default)]
    pub strict_most: u64,
    /// Connections that instances began within the measured time, all together.
    pub dials: u64,
    /// Connections that they lost or gave up.
    pub lost: u64,
    /// Whole lists that they took.
    pub lists: u64,
    /// Events of the simulation, as a measure of its own work.
    pub events: u64,
}
