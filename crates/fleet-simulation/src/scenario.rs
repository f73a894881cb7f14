//! Days: what is simulated and what goes wrong, as values out of a file or by name.

use crate::error::ScaleError;
use larchdale::config::settings::MAX_INSTANCES;
use larchdale::gossip::message::Note;
use serde::{Deserialize, Serialize};

/// Names of the built-in scenarios.
pub const NAMES: [&str; 11] = [
    "calm",
    "ordinary",
    "rack",
    "zone",
    "regions-cut",
    "regions-cut-whole",
    "rolling",
    "loss",
    "packet-loss",
    "zone-loss",
    "cold",
];

/// The largest fleet: all that settings may name.
pub const MOST_SIZE: usize = MAX_INSTANCES as usize;
/// Most things that may go wrong in one scenario.
const MOST_EVENTS: usize = 256;
/// Longest run in virtual seconds.
const MOST_SECONDS: u64 = 7_200;
/// Instances of the fleet that the operators' figures of a day are for.
const TARGET: usize = 3_300;

/// One scenario. Spans are in seconds (s) or milliseconds (ms) of virtual time; events count from the begin of the
/// measured time.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Scenario {
    /// Its name in reports.
    pub name: String,
    /// What it leaves out of the day that it is named for; printed with the report.
    pub remark: String,
    /// Instances, where the command line names no other number.
    pub size: usize,
    /// Before anything is measured or goes wrong.
    pub warm_s: u64,
    /// The measured time.
    pub seconds: u64,
    /// Regions, zones, sites, control machines.
    pub shape: Shape,
    /// The network.
    pub ways: Ways,
    /// The instances' view of each other, if it is simulated.
    pub view: Option<View>,
    /// The following of documents, if it is simulated.
    pub follow: Option<Follow>,
    /// What goes wrong.
    pub events: Vec<Event>,
    /// What is held against the records; what is left out is not.
    pub promises: Promises,
}

/// How much there is of everything.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Shape {
    /// Regions; they share the zones evenly.
    pub regions: usize,
    /// Zones; they share the sites evenly.
    pub zones: usize,
    /// Sites; they share the instances evenly.
    pub sites: usize,
    /// Control machines, spread over the zones.
    pub controls: usize,
}

/// How long a packet takes one way, least and longest in ms.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Ways {
    /// Within a site.
    pub site_ms: [f64; 2],
    /// Within a zone.
    pub zone_ms: [f64; 2],
    /// Within a region.
    pub region_ms: [f64; 2],
    /// Between regions: each pair has a base of its own out of this, and a tenth more by chance.
    pub far_ms: [f64; 2],
}

/// How the instances' view is simulated.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct View {
    /// Bytes of each instance's note; 0: none.
    pub note_bytes: usize,
    /// All begin without knowing the others' incarnations, as after a start of all at once. Else all know all.
    pub cold: bool,
}

/// How following is simulated.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Follow {
    /// Commits a second.
    pub commits_per_s: u64,
    /// Bytes of a value.
    pub value_bytes: usize,
    /// Keys of the ring that commits go round.
    pub slots: usize,
    /// From a commit until a control machine has applied it, beside the way; ms.
    pub apply_ms: [f64; 2],
    /// Between two checks of an instance that it is current; ms.
    pub check_ms: u64,
    /// A check takes no longer; ms.
    pub silence_ms: u64,
    /// An answer to a page takes no longer; ms.
    pub answer_ms: u64,
    /// Keys in one page of a list.
    pub page: u64,
    /// Commits are purges, and instances follow them by the purge log: with its own pauses and pages, and with its bound
    /// on staleness. Else they show their mirror as it is, and vouch for it at all times.
    pub purge_log: bool,
}

/// Machines of one place.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub enum Group {
    /// All of some regions.
    Regions(Vec<u16>),
    /// All of some zones.
    Zones(Vec<u16>),
    /// Ten instances of a zone.
    Rack {
        /// The zone.
        zone: u16,
        /// The rack within it.
        number: u16,
    },
}

/// In which direction a cut holds.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Direction {
    /// Nothing passes either way.
    #[default]
    Both,
    /// Nothing leaves the group.
    Out,
    /// Nothing comes in.
    In,
}

/// Something that goes wrong.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub enum Event {
    /// A part of all packets is lost, everywhere.
    Loss {
        /// Which part, 0 to 1.
        share: f64,
        /// Those of TCP are spared.
        #[serde(default)]
        datagrams_only: bool,
        /// Begin.
        from_s: f64,
        /// End; left out: never.
        #[serde(default)]
        until_s: Option<f64>,
    },
    /// A group is cut off.
    Cut {
        /// Who.
        group: Group,
        /// From whom; left out: from all others.
        #[serde(default)]
        from: Option<Group>,
        /// Which way.
        #[serde(default)]
        direction: Direction,
        /// Begin.
        from_s: f64,
        /// End; left out: never.
        #[serde(default)]
        until_s: Option<f64>,
    },
    /// All machines of a group stop at once, control machines among them.
    Fail {
        /// Who.
        group: Group,
        /// When.
        from_s: f64,
        /// When they run again; left out: never.
        #[serde(default)]
        until_s: Option<f64>,
    },
    /// Instances that the seed picks stop for good, at even distances.
    Failures {
        /// How many.
        count: usize,
        /// Begin.
        from_s: f64,
        /// End.
        until_s: f64,
    },
    /// Instances that the seed picks stop and run again, at even distances.
    Restarts {
        /// How many.
        count: usize,
        /// Begin.
        from_s: f64,
        /// End.
        until_s: f64,
        /// How long each is away.
        down_s: f64,
    },
    /// All instances are restarted, one after another by number, as many as the run has room for.
    Rolling {
        /// Begin.
        from_s: f64,
        /// How many begin a second.
        per_s: f64,
        /// How long each is away.
        down_s: f64,
    },
    /// A control machine is silent.
    Control {
        /// Which, from 0 on.
        machine: u16,
        /// Begin.
        from_s: f64,
        /// End; left out: never.
        #[serde(default)]
        until_s: Option<f64>,
    },
    /// A control machine applies what is committed so much later.
    Lag {
        /// Which, from 0 on.
        machine: u16,
        /// How much later; ms.
        by_ms: f64,
        /// Begin.
        from_s: f64,
        /// End; left out: never.
        #[serde(default)]
        until_s: Option<f64>,
    },
}

/// Bounds that the checker holds against the records; what is left out is not held.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Promises {
    /// A commit is in force with all that can reach the control machines within this; ms.
    pub in_force_ms: Option<f64>,
    /// From so long after a commit on no instance that runs shows less and vouches for it all the same; ms.
    pub in_force_or_strict_ms: Option<f64>,
    /// With those that could not, after they can again; ms.
    pub caught_up_ms: Option<f64>,
    /// An instance that ended is known to be gone by all that could notice within this; ms.
    pub detection_ms: Option<f64>,
    /// Most live instances held to be dead, once for each that does.
    pub false_deaths: Option<u64>,
    /// All hold the same of all so long after the last fault; ms.
    pub agree_ms: Option<f64>,
    /// Most bytes a second that half of the instances send in datagrams.
    pub view_bytes_per_s: Option<f64>,
}

impl Default for Scenario {
    fn default() -> Self {
        Scenario {
            name: "unnamed".to_owned(),
            remark: String::new(),
            size: 100,
            warm_s: 10,
            seconds: 60,
            shape: Shape::default(),
            ways: Ways::default(),
            view: None,
            follow: None,
            events: Vec::new(),
            promises: Promises::default(),
        }
    }
}

impl Default for Shape {
    fn default() -> Self {
        Shape { regions: 13, zones: 39, sites: 170, controls: 12 }
    }
}

impl Default for Ways {
    fn default() -> Self {
        Ways { site_ms: [0.1, 0.5], zone_ms: [0.3, 1.0], region_ms: [1.0, 3.0], far_ms: [10.0, 60.0] }
    }
}

impl Default for Follow {
    fn default() -> Self {
        Follow {
            commits_per_s: 20,
            value_bytes: 30,
            slots: 1_024,
            apply_ms: [1.0, 5.0],
            check_ms: 250,
            silence_ms: 500,
            answer_ms: 600,
            page: 64,
            purge_log: false,
        }
    }
}

impl std::fmt::Display for Group {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Group::Regions(list) => write!(f, "regions {list:?}"),
            Group::Zones(list) => write!(f, "zones {list:?}"),
            Group::Rack { zone, number } => write!(f, "rack {number} of zone {zone}"),
        }
    }
}

/// So many of the target's fleet, for one of this size: one at least.
fn share(of_target: usize, size: usize) -> usize {
    (of_target * size).div_ceil(TARGET).max(1)
}

impl Scenario {
    /// A built-in one for a fleet of this size, with view and followers.
    pub fn named(name: &str, size: usize) -> Result<Self, ScaleError> {
        let rack = Group::Rack { zone: 0, number: 0 };
        let far = Group::Regions(vec![0, 1, 2]);
        let mut s = Scenario {
            name: name.to_owned(),
            size,
            view: Some(View::default()),
            follow: Some(Follow::default()),
            ..Scenario::default()
        };
        // A suspicion lasts longer where more have to hear of it: 3 to 10 s at 3,300.
        let suspicion_ms = 1_000.0 * (size as f64).log10().max(1.0);
        s.promises = Promises {
            in_force_ms: Some(4_000.0),
            in_force_or_strict_ms: None,
            caught_up_ms: Some(8_000.0),
            detection_ms: Some(6_000.0 + 4.0 * suspicion_ms),
            false_deaths: Some(0),
            agree_ms: None,
            view_bytes_per_s: None,
        };
        let cut = |until_s: f64| Event::Cut {
            group: far.clone(),
            from: None,
            direction: Direction::Both,
            from_s: 5.0,
            until_s: Some(until_s),
        };
        let loss = |datagrams_only| Event::Loss { share: 0.1, datagrams_only, from_s: 0.0, until_s: None };
        let zone = Event::Fail { group: Group::Zones(vec![0]), from_s: 5.0, until_s: None };
        match name {
            "calm" => {}
            "cold" => {
                s.view = Some(View { cold: true, ..View::default() });
                s.warm_s = 0;
            }
            "ordinary" => {
                let (failures, restarts) = (share(21, size), share(190, size));
                s.seconds = 120;
                s.remark = format!(
                    "compressed: a day's {failures} failures and {restarts} restarts at this size within 100 s"
                );
                s.events = vec![
                    Event::Failures { count: failures, from_s: 0.0, until_s: 100.0 },
                    Event::Restarts { count: restarts, from_s: 0.0, until_s: 100.0, down_s: 3.0 },
                ];
            }
            "rack" => s.events = vec![Event::Fail { group: rack, from_s: 5.0, until_s: None }],
            "zone" => s.events = vec![zone],
            "loss" => s.events = vec![loss(true)],
            "packet-loss" => s.events = vec![loss(false)],
            "zone-loss" => s.events = vec![loss(true), zone],
            "regions-cut" => {
                (s.seconds, s.events) = (120, vec![cut(65.0)]);
                s.remark = "compressed: cut off for 60 s in place of 300".to_owned();
            }
            "regions-cut-whole" => (s.seconds, s.events) = (360, vec![cut(305.0)]),
            "rolling" => {
                s.seconds = (size as u64 + 30).min(150);
                if s.seconds < size as u64 + 30 {
                    s.remark = "not whole: the restarts of the first 150 s only".to_owned();
                }
                s.events = vec![Event::Rolling { from_s: 5.0, per_s: 1.0, down_s: 3.0 }];
            }
            _ => {
                return Err(ScaleError::NoScenario { name: name.to_owned(), known: NAMES.join(", ") });
            }
        }
        // Two tries that fail in a row, and then three.
        if s.events.iter().any(|e| matches!(e, Event::Loss { .. })) {
            s.promises.detection_ms = s.promises.detection_ms.map(|d| d + 4_000.0);
        }
        Ok(s)
    }

    /// One out of the text of a file; `path` names it in errors.
    pub fn parse(path: &str, text: &str) -> Result<Self, ScaleError> {
        serde_json::from_str(text).map_err(|why| ScaleError::Form { path: path.to_owned(), why })
    }

    /// Whether it can be meant, for a fleet of this size. Groups are looked at when the plan is made.
    pub fn check(&self, size: usize) -> Result<(), ScaleError> {
        let within = |place: &str, value: f64, least: f64, most: f64| {
            if (least..=most).contains(&value) {
                Ok(())
            } else {
                Err(ScaleError::Range { place: place.to_owned(), value, least, most })
            }
        };
        within("size", size as f64, 1.0, MOST_SIZE as f64)?;
        within("seconds", self.seconds as f64, 1.0, MOST_SECONDS as f64)?;
        within("warm_s", self.warm_s as f64, 0.0, MOST_SECONDS as f64)?;
        within("shape.regions", self.shape.regions as f64, 1.0, 100.0)?;
        within("shape.zones", self.shape.zones as f64, self.shape.regions as f64, 1_000.0)?;
        within("shape.sites", self.shape.sites as f64, self.shape.zones as f64, 10_000.0)?;
        within("shape.controls", self.shape.controls as f64, 1.0, 100.0)?;
        within("events", self.events.len() as f64, 0.0, MOST_EVENTS as f64)?;
        let spans = [
            ("ways.site_ms", self.ways.site_ms),
            ("ways.zone_ms", self.ways.zone_ms),
            ("ways.region_ms", self.ways.region_ms),
            ("ways.far_ms", self.ways.far_ms),
            ("follow.apply_ms", self.follow.as_ref().map_or([0.0; 2], |f| f.apply_ms)),
        ];
        for (place, [least, most]) in spans {
            within(place, least, 0.0, 10_000.0)?;
            within(place, most, least, 10_000.0)?;
        }
        if let Some(view) = &self.view {
            within("view.note_bytes", view.note_bytes as f64, 0.0, Note::MAX_BYTES as f64)?;
            // Whoever is alone has nobody to look at.
            within("size (with a view)", size as f64, 2.0, MOST_SIZE as f64)?;
        }
        if let Some(f) = &self.follow {
            within("follow.commits_per_s", f.commits_per_s as f64, 1.0, 1_000.0)?;
            within("follow.value_bytes", f.value_bytes as f64, 0.0, 100_000.0)?;
            within("follow.slots", f.slots as f64, 1.0, 10_000.0)?;
            within("follow.page", f.page as f64, 1.0, 10_000.0)?;
            for (place, ms) in [
                ("follow.check_ms", f.check_ms),
                ("follow.silence_ms", f.silence_ms),
                ("follow.answer_ms", f.answer_ms),
            ] {
                within(place, ms as f64, 10.0, 60_000.0)?;
            }
        }
        if self.view.is_none() && self.follow.is_none() {
            return Err(ScaleError::Nothing { name: self.name.clone() });
        }
        for (n, event) in self.events.iter().enumerate() {
            event.check(&format!("events[{n}]"), within)?;
        }
        Ok(())
    }
}

impl Event {
    /// When it begins and ends, in seconds.
    fn span(&self) -> (f64, Option<f64>) {
        match *self {
            Event::Loss { from_s, until_s, .. }
            | Event::Cut { from_s, until_s, .. }
            | Event::Fail { from_s, until_s, .. }
            | Event::Control { from_s, until_s, .. }
            | Event::Lag { from_s, until_s, .. } => (from_s, until_s),
            Event::Failures { from_s, until_s, .. } | Event::Restarts { from_s, until_s, .. } => {
                (from_s, Some(until_s))
            }
            Event::Rolling { from_s, .. } => (from_s, None),
        }
    }

    fn check(
        &self,
        place: &str,
        within: impl Fn(&str, f64, f64, f64) -> Result<(), ScaleError>,
    ) -> Result<(), ScaleError> {
        let (from_s, until_s) = self.span();
        within(&format!("{place}.from_s"), from_s, 0.0, MOST_SECONDS as f64)?;
        if let Some(until_s) = until_s {
            within(&format!("{place}.until_s"), until_s, 0.0, MOST_SECONDS as f64)?;
            if until_s <= from_s {
                return Err(ScaleError::Order { place: place.to_owned(), from_s, until_s });
            }
        }
        match *self {
            Event::Loss { share, .. } => within(&format!("{place}.share"), share, 0.0, 1.0),
            Event::Failures { count, .. } => {
                within(&format!("{place}.count"), count as f64, 0.0, MOST_SIZE as f64)
            }
            Event::Restarts { count, down_s, .. } => {
                within(&format!("{place}.count"), count as f64, 0.0, MOST_SIZE as f64)?;
                within(&format!("{place}.down_s"), down_s, 0.1, MOST_SECONDS as f64)
            }
            Event::Rolling { per_s, down_s, .. } => {
                within(&format!("{place}.per_s"), per_s, 0.001, 1_000.0)?;
                within(&format!("{place}.down_s"), down_s, 0.1, MOST_SECONDS as f64)
            }
            Event::Lag { by_ms, .. } => within(&format!("{place}.by_ms"), by_ms, 0.0, 600_000.0),
            Event::Cut { .. } | Event::Fail { .. } | Event::Control { .. } => Ok(()),
        }
    }
}
