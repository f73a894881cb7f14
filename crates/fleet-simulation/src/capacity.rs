//! The file behind the page of capacity: what was measured, by role, and what follows from it at the target.
//!
//! Only the points come from a run. Laws, slopes, the figures at the target and the sums are worked out of them, here
//! and nowhere else, so that [`Capacity::check`] can do it again and tell whether a file is of one piece.

pub mod fit;
pub mod page;
pub mod target;

use fit::{Fit, Law};
use serde::{Deserialize, Serialize};
use std::path::Path;
use target::Sum;

/// What two workings of one figure may differ by, as a part of it.
const SAME: f64 = 1e-4;
/// Most bytes of the file.
const LARGEST: u64 = 4 << 20;

/// What goes wrong with the file or the page.
#[derive(Debug, thiserror::Error)]
pub enum CapacityError {
    /// The file or the page can't be read or written.
    #[error("{path}: {why}; run `make measure-capacity` in the repository's folder")]
    Io {
        /// Which.
        path: String,
        /// Why.
        why: std::io::Error,
    },
    /// Not in this form.
    #[error("{path}: {why}; correct it, or write it anew by `make measure-capacity`")]
    Form {
        /// Which.
        path: String,
        /// Why, with line and column.
        why: serde_json::Error,
    },
    /// A figure does not follow from the points.
    #[error("row \"{row}\": {what} is {told}, and the points give {worked}; write the file anew by `make measure-capacity`")]
    Differs {
        /// Which row, or which sum.
        row: String,
        /// Which figure.
        what: &'static str,
        /// As it stands in the file.
        told: String,
        /// As it is worked out.
        worked: String,
    },
    /// A row can't be.
    #[error("row \"{row}\": {why}; correct it, or write the file anew by `make measure-capacity`")]
    Row {
        /// Which.
        row: String,
        /// Why.
        why: &'static str,
    },
    /// The page lacks a table, or has one of a name that there isn't.
    #[error("{path}: {why}; a table stands between `<!-- capacity:NAME -->` and `<!-- /capacity -->`")]
    Page {
        /// Which page.
        path: String,
        /// What is wrong.
        why: String,
    },
}

/// A part of the fleet that costs something by itself.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// The process with everything off.
    Process,
    /// The instance as router of requests.
    Router,
    /// The instance as a member of the fleet's view.
    View,
    /// The instance as follower of the list of endpoints.
    List,
    /// The instance as follower of documents: the map of shards, and what else may come by them.
    Documents,
    /// The instance as keeper of purges in force.
    Purges,
    /// The instance as judge of the loss of sites.
    Judge,
    /// The instance as holder of the plans for a loss.
    Plan,
    /// The instance as planner of shards.
    ShardPlanner,
    /// The instance as counter of what its zone newly wants.
    GrowthCounter,
    /// The instance as planner of growth.
    GrowthPlanner,
    /// The members of the registry: here its stand-in.
    Registry,
}

impl Role {
    /// All, in the order of the page.
    pub const ALL: [Role; 12] = [
        Role::Process,
        Role::Router,
        Role::View,
        Role::List,
        Role::Documents,
        Role::Purges,
        Role::Judge,
        Role::Plan,
        Role::ShardPlanner,
        Role::GrowthCounter,
        Role::GrowthPlanner,
        Role::Registry,
    ];

    /// The name of its table on the page.
    pub fn table(self) -> &'static str {
        match self {
            Role::Process => "process",
            Role::Router => "router",
            Role::View => "view",
            Role::List => "list",
            Role::Documents => "documents",
            Role::Purges => "purges",
            Role::Judge => "judge",
            Role::Plan => "plan",
            Role::ShardPlanner => "shard-planner",
            Role::GrowthCounter => "growth-counter",
            Role::GrowthPlanner => "growth-planner",
            Role::Registry => "registry",
        }
    }
}

/// What a size counts.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Per {
    /// Instances.
    Member,
    /// Endpoints.
    #[serde(rename = "depot")]
    Endpoint,
    /// Zones of the settings: sites.
    Site,
    /// Shards of one zone's map.
    Shard,
    /// Purges in force.
    Purge,
    /// Objects kept or counted.
    Object,
    /// Objects wanted in one bucket.
    Wanted,
    /// Servers in one instance's list that it may send to.
    Server,
    /// Boxes of one zone.
    Box,
    /// Bytes of one document.
    Byte,
    /// Requests under way.
    Request,
    /// Buckets of growth: hours.
    Bucket,
    /// Processes.
    Process,
}

impl Per {
    /// One of it, in words.
    pub fn word(self) -> &'static str {
        match self {
            Per::Member => "member",
            Per::Endpoint => "depot",
            Per::Site => "site",
            Per::Shard => "shard",
            Per::Purge => "purge in force",
            Per::Object => "object kept",
            Per::Wanted => "object wanted",
            Per::Server => "server",
            Per::Box => "box",
            Per::Byte => "byte",
            Per::Request => "request under way",
            Per::Bucket => "bucket",
            Per::Process => "process",
        }
    }
}

/// What is measured.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Quantity {
    /// Bytes that live on the heap, as asked for: exact.
    #[serde(rename = "heap bytes")]
    Heap,
    /// Resident memory of a process, in bytes.
    #[serde(rename = "resident bytes")]
    Resident,
    /// Bytes of one thing on the wire or in a file: exact.
    #[serde(rename = "bytes")]
    Bytes,
    /// Bytes a second that leave.
    #[serde(rename = "bytes out/s")]
    BytesOut,
    /// Bytes a second that come.
    #[serde(rename = "bytes in/s")]
    BytesIn,
    /// Messages or datagrams a second that leave.
    #[serde(rename = "messages out/s")]
    MessagesOut,
    /// Messages or datagrams a second that come.
    #[serde(rename = "messages in/s")]
    MessagesIn,
    /// Processor time, in microseconds a second.
    #[serde(rename = "CPU us/s")]
    CpuRate,
    /// Processor time of one event, in microseconds.
    #[serde(rename = "CPU us each")]
    CpuEach,
    /// Processor time of one step that holds up the loop, in microseconds.
    #[serde(rename = "CPU us, longest step")]
    CpuStep,
    /// Open descriptors.
    #[serde(rename = "descriptors")]
    Descriptors,
    /// Seconds of time.
    #[serde(rename = "seconds")]
    Seconds,
    /// Parts of a whole that arrive, 0 to 1.
    #[serde(rename = "part")]
    Part,
}

/// One size, and what was measured there.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Point {
    /// How many.
    pub size: f64,
    /// What there was.
    pub value: f64,
}

/// Whether the target's size was run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Basis {
    /// It was.
    #[serde(rename = "measured")]
    Measured,
    /// The law was carried on beyond the largest size run.
    #[serde(rename = "worked out")]
    WorkedOut,
}

/// That a row counts to a sum, so many times a second (or times, for what is no rate).
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Counted {
    /// To which.
    pub sum: Sum,
    /// Times on the mean of an ordinary day.
    pub day: f64,
    /// Times at the peak.
    pub peak: f64,
}

/// One figure of one role.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Row {
    /// The role.
    pub role: Role,
    /// What it is a figure of, in words; unique with role and quantity.
    pub name: String,
    /// What is measured.
    pub quantity: Quantity,
    /// What the sizes count.
    pub per: Per,
    /// The sizes that were run.
    pub points: Vec<Point>,
    /// How it grows.
    pub law: Law,
    /// What one more of the law's unit adds.
    pub slope: f64,
    /// What there is without any.
    pub intercept: f64,
    /// The most by which the law is off at a size that was run, as a part.
    pub residual: f64,
    /// The largest size that was run.
    pub largest: f64,
    /// The size at the target.
    pub target: f64,
    /// The figure there.
    pub at_target: f64,
    /// Whether that size was run.
    pub basis: Basis,
    /// What it may be.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limit: Option<f64>,
    /// File and type that carry it, or `none`.
    pub mechanism: String,
    /// Where it goes in the sums.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub counted: Vec<Counted>,
}

/// A figure of a row, by name.
type Figure = (&'static str, fn(&Row) -> f64);

/// A figure with so many digits as mean something, so that the file reads the same each time.
pub fn digits(value: f64) -> f64 {
    format!("{value:.5e}").parse().unwrap_or(value)
}

fn same(a: f64, b: f64) -> bool {
    (a - b).abs() <= SAME * a.abs().max(b.abs()).max(1e-9)
}

impl Row {
    /// A row out of what was measured, at least at one size.
    pub fn new(
        role: Role,
        name: &str,
        quantity: Quantity,
        per: Per,
        target: f64,
        points: &[(f64, f64)],
        mechanism: &str,
    ) -> Row {
        let points: Vec<Point> = points.iter().map(|p| Point { size: p.0, value: digits(p.1) }).collect();
        let mut row = Row {
            role,
            name: name.to_owned(),
            quantity,
            per,
            points,
            law: Law::Constant,
            slope: 0.0,
            intercept: 0.0,
            residual: 0.0,
            largest: 0.0,
            target,
            at_target: 0.0,
            basis: Basis::WorkedOut,
            limit: None,
            mechanism: mechanism.to_owned(),
            counted: Vec::new(),
        };
        row.work_out();
        row
    }

    /// With what it may be.
    pub fn limit(mut self, limit: f64) -> Row {
        self.limit = Some(limit);
        self
    }

    /// Counts to a sum.
    pub fn counts(mut self, sum: Sum, day: f64, peak: f64) -> Row {
        self.counted.push(Counted { sum, day: digits(day), peak: digits(peak) });
        self
    }

    /// The law through the points.
    pub fn fit(&self) -> Fit {
        Fit::of(&self.points)
    }

    fn work_out(&mut self) {
        let fit = self.fit();
        (self.law, self.slope, self.intercept) = (fit.law, digits(fit.slope), digits(fit.intercept));
        self.residual = digits(fit.residual);
        self.largest = self.points.iter().map(|p| p.size).fold(0.0, f64::max);
        // What was run at that very size is the figure; elsewhere the law gives it.
        let run = self.points.iter().find(|p| p.size == self.target).map(|p| p.value);
        self.at_target = digits(run.unwrap_or_else(|| fit.at(self.target)));
        self.basis = if self.largest >= self.target { Basis::Measured } else { Basis::WorkedOut };
    }

    fn check(&self) -> Result<(), CapacityError> {
        let row = || self.name.clone();
        let bad = |why| Err(CapacityError::Row { row: row(), why });
        let sane = |x: f64| x.is_finite() && x >= 0.0;
        if self.points.is_empty() {
            return bad("it has no points");
        }
        if !self.points.iter().all(|p| sane(p.size) && sane(p.value)) || !sane(self.target) {
            return bad("a size or a value is below 0 or no number");
        }
        let mut worked = self.clone();
        worked.work_out();
        let differs = |what, told: String, worked: String| {
            Err(CapacityError::Differs { row: row(), what, told, worked })
        };
        if (worked.law, worked.basis) != (self.law, self.basis) {
            let of = |r: &Row| format!("{:?}, {:?}", r.law, r.basis);
            return differs("law or basis", of(self), of(&worked));
        }
        let figures: [Figure; 5] = [
            ("slope", |r| r.slope),
            ("intercept", |r| r.intercept),
            ("residual", |r| r.residual),
            ("largest", |r| r.largest),
            ("at_target", |r| r.at_target),
        ];
        match figures.iter().find(|f| !same(f.1(self), f.1(&worked))) {
            Some((what, of)) => differs(what, of(self).to_string(), of(&worked).to_string()),
            None => Ok(()),
        }
    }
}

/// The machine that it was measured on.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Machine {
    /// Its processors' name.
    pub cpu: String,
    /// How many it has.
    pub cores: u32,
    /// How many of them the run was let use.
    pub used: u32,
}

/// A sum over rows, against what it may be.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Total {
    /// Which.
    pub sum: Sum,
    /// On the mean of an ordinary day.
    pub day: f64,
    /// At the peak.
    pub peak: f64,
    /// What it may be.
    pub limit: f64,
}

/// The whole file.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Capacity {
    /// The day of the run.
    pub date: String,
    /// Whether only small sizes were run: such a file is no ground for the page.
    pub quick: bool,
    /// Where.
    pub machine: Machine,
    /// All figures.
    pub rows: Vec<Row>,
    /// What they come to.
    pub totals: Vec<Total>,
}

impl Capacity {
    /// Out of what was measured.
    pub fn new(date: String, quick: bool, machine: Machine, rows: Vec<Row>) -> Capacity {
        let totals = totals(&rows, &machine);
        Capacity { date, quick, machine, rows, totals }
    }

    /// Reads a file.
    ///
    /// # Errors
    /// It can't be read, or not in this form.
    pub fn read(path: &Path) -> Result<Capacity, CapacityError> {
        use std::io::Read;
        let name = path.display().to_string();
        let io = |why| CapacityError::Io { path: name.clone(), why };
        let mut text = String::new();
        std::fs::File::open(path).map_err(io)?.take(LARGEST).read_to_string(&mut text).map_err(io)?;
        serde_json::from_str(&text).map_err(|why| CapacityError::Form { path: name, why })
    }

    /// Writes the file.
    ///
    /// # Errors
    /// It can't be written.
    pub fn write(&self, path: &Path) -> Result<(), CapacityError> {
        let name = path.display().to_string();
        let text = serde_json::to_string_pretty(self)
            .map_err(|why| CapacityError::Form { path: name.clone(), why })?;
        std::fs::write(path, text + "\n").map_err(|why| CapacityError::Io { path: name, why })
    }

    /// Whether laws, figures at the target and sums follow from the points.
    ///
    /// # Errors
    /// The first that does not.
    pub fn check(&self) -> Result<(), CapacityError> {
        self.rows.iter().try_for_each(Row::check)?;
        let same_as = |a: &Row, b: &Row| (a.role, &a.name, a.quantity) == (b.role, &b.name, b.quantity);
        let twice = |(n, row): &(usize, &Row)| self.rows[..*n].iter().any(|other| same_as(other, row));
        if let Some((_, row)) = self.rows.iter().enumerate().find(twice) {
            return Err(CapacityError::Row { row: row.name.clone(), why: "there are two of this name" });
        }
        let worked = totals(&self.rows, &self.machine);
        let is = |a: &Total, b: &Total| {
            a.sum == b.sum && same(a.day, b.day) && same(a.peak, b.peak) && same(a.limit, b.limit)
        };
        let follow =
            worked.len() == self.totals.len() && worked.iter().zip(&self.totals).all(|(a, b)| is(a, b));
        if follow {
            return Ok(());
        }
        let of = |all: &[Total]| {
            let each = all.iter().map(|t| format!("{}: {} {} of {}", t.sum.word(), t.day, t.peak, t.limit));
            each.collect::<Vec<_>>().join("; ")
        };
        let (told, worked) = (of(&self.totals), of(&worked));
        Err(CapacityError::Differs { row: "the sums".to_owned(), what: "what they come to", told, worked })
    }
}

/// The sums over what the slopes give at the target.
pub fn totals(rows: &[Row], machine: &Machine) -> Vec<Total> {
    let total = |sum: Sum| {
        let counted = rows.iter().flat_map(|r| r.counted.iter().map(move |c| (r, c)));
        let of = |times: fn(&Counted) -> f64| {
            counted.clone().filter(|(_, c)| c.sum == sum).map(|(r, c)| r.at_target * times(c)).sum::<f64>()
        };
        let (day, peak) = (digits(of(|c| c.day)), digits(of(|c| c.peak)));
        Total { sum, day, peak, limit: digits(sum.limit(machine.cores)) }
    };
    Sum::ALL.map(total).into()
}
