//! A scenario laid out in time: who runs when, who reaches whom when, which control machine leads. All of it is known
//! before the run, and nothing of it comes from the cores.

use crate::error::ScaleError;
use crate::places::Places;
use crate::queue::Micros;
use crate::scenario::{Direction, Event, Scenario};
use rand::seq::SliceRandom;
use rand::SeedableRng;
use rand_pcg::Pcg32;

/// When a run begins.
pub const START: Micros = 1_000_000_000;
/// Microseconds of a second.
pub const SECOND: Micros = 1_000_000;
/// How long the control machines have no leader after they lost one.
pub const ELECTION: Micros = SECOND;

/// From one moment up to another, without that.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Span {
    /// Its begin.
    pub from: Micros,
    /// Its end; `Micros::MAX`: never.
    pub until: Micros,
}

impl Span {
    /// Whether a moment lies in it.
    pub fn holds(&self, at: Micros) -> bool {
        self.from <= at && at < self.until
    }

    /// Whether any moment of `from` to `until` (both of them too) lies in it.
    pub fn touches(&self, from: Micros, until: Micros) -> bool {
        self.from <= until && from < self.until
    }
}

/// Joins spans that touch; in order of time.
pub fn merged(mut spans: Vec<Span>) -> Vec<Span> {
    spans.sort_by_key(|s| s.from);
    let mut all: Vec<Span> = Vec::new();
    for span in spans {
        match all.last_mut() {
            Some(last) if span.from <= last.until => last.until = last.until.max(span.until),
            _ => all.push(span),
        }
    }
    all
}

/// Whether a moment lies in one of the spans, which are merged.
pub fn within(spans: &[Span], at: Micros) -> bool {
    let after = spans.partition_point(|s| s.from <= at);
    after > 0 && spans[after - 1].holds(at)
}

#[derive(Clone, Debug)]
struct Cut {
    span: Span,
    inside: Vec<bool>,
    /// From whom; all others where none.
    from: Option<Vec<bool>>,
    direction: Direction,
}

impl Cut {
    fn binds(&self, from: usize, to: usize) -> bool {
        let far = |m: usize| self.from.as_ref().map_or(!self.inside[m], |f| f[m]);
        let out = self.inside[from] && far(to);
        let into = self.inside[to] && far(from);
        match self.direction {
            Direction::Both => out || into,
            Direction::Out => out,
            Direction::In => into,
        }
    }
}

/// A stretch of time in which the control machines stand to each other as they do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Epoch {
    /// Its begin; it ends with the next.
    pub from: Micros,
    /// The control machine that leads.
    pub leader: Option<usize>,
    /// By control machine, whether it runs and reaches the leader, there and back.
    pub serves: Vec<bool>,
}

/// See the module.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Where all stand.
    pub places: Places,
    /// The measured time.
    pub measured: Span,
    /// By machine, when it does not run; merged.
    pub down: Vec<Vec<Span>>,
    cuts: Vec<Cut>,
    /// When, which part, and whether only of datagrams.
    losses: Vec<(Span, f64, bool)>,
    lags: Vec<(usize, Span, Micros)>,
    epochs: Vec<Epoch>,
}

/// Microseconds of seconds.
fn micros(s: f64) -> Micros {
    (s * SECOND as f64) as Micros
}

impl Plan {
    /// Lays a scenario out for so many instances. It is checked here.
    pub fn new(scenario: &Scenario, size: usize, seed: u64) -> Result<Self, ScaleError> {
        scenario.check(size)?;
        let places = Places::new(&scenario.shape, size);
        let begin = START + scenario.warm_s * SECOND;
        let measured = Span { from: begin, until: begin + scenario.seconds * SECOND };
        let machines = places.all.len();
        let mut plan = Plan {
            places,
            measured,
            down: vec![Vec::new(); machines],
            cuts: Vec::new(),
            losses: Vec::new(),
            lags: Vec::new(),
            epochs: Vec::new(),
        };
        // Instances for events that pick some, each once before any comes twice.
        let mut picks: Vec<usize> = (0..size).collect();
        picks.shuffle(&mut Pcg32::seed_from_u64(seed ^ 0x5ca1_ab1e));
        let mut picks = picks.into_iter().cycle();
        for (n, event) in scenario.events.iter().enumerate() {
            plan.add(scenario, event, &format!("events[{n}]"), &mut picks)?;
        }
        plan.down = std::mem::take(&mut plan.down).into_iter().map(merged).collect();
        plan.epochs = plan.lay_epochs();
        Ok(plan)
    }

    fn add(
        &mut self,
        scenario: &Scenario,
        event: &Event,
        place: &str,
        picks: &mut impl Iterator<Item = usize>,
    ) -> Result<(), ScaleError> {
        let begin = self.measured.from;
        let span = |from_s: f64, until_s: Option<f64>| Span {
            from: begin + micros(from_s),
            until: until_s.map_or(Micros::MAX, |u| begin + micros(u)),
        };
        let group =
            |group, part: &str| self.places.members(group, &scenario.shape, &format!("{place}.{part}"));
        match event {
            Event::Loss { share, datagrams_only, from_s, until_s } => {
                self.losses.push((span(*from_s, *until_s), *share, *datagrams_only));
            }
            Event::Cut { group: who, from, direction, from_s, until_s } => {
                let inside = group(who, "cut.group")?;
                let from = from.as_ref().map(|f| group(f, "cut.from")).transpose()?;
                self.cuts.push(Cut { span: span(*from_s, *until_s), inside, from, direction: *direction });
            }
            Event::Fail { group: who, from_s, until_s } => {
                let inside = group(who, "fail.group")?;
                let span = span(*from_s, *until_s);
                self.down.iter_mut().zip(inside).filter(|d| d.1).for_each(|d| d.0.push(span));
            }
            Event::Failures { count, from_s, until_s } => {
                for n in 0..*count {
                    let at = from_s + (until_s - from_s) * n as f64 / *count as f64;
                    let Some(who) = picks.next() else { break };
                    self.down[who].push(span(at, None));
                }
            }
            Event::Restarts { count, from_s, until_s, down_s } => {
                for n in 0..*count {
                    let at = from_s + (until_s - from_s) * n as f64 / *count as f64;
                    let Some(who) = picks.next() else { break };
                    self.down[who].push(span(at, Some(at + down_s)));
                }
            }
            Event::Rolling { from_s, per_s, down_s } => {
                for who in 0..self.places.size {
                    let at = from_s + who as f64 / per_s;
                    if at < scenario.seconds as f64 {
                        self.down[who].push(span(at, Some(at + down_s)));
                    }
                }
            }
            Event::Control { machine, from_s, until_s } => {
                let machine = self.control(*machine, &format!("{place}.control.machine"))?;
                self.down[machine].push(span(*from_s, *until_s));
            }
            Event::Lag { machine, by_ms, from_s, until_s } => {
                self.control(*machine, &format!("{place}.lag.machine"))?;
                let by = micros(*by_ms / 1_000.0);
                self.lags.push((usize::from(*machine), span(*from_s, *until_s), by));
            }
        }
        Ok(())
    }

    fn control(&self, machine: u16, place: &str) -> Result<usize, ScaleError> {
        if usize::from(machine) < self.places.controls {
            return Ok(self.places.control(usize::from(machine)));
        }
        let most = self.places.controls;
        Err(ScaleError::Unknown { place: place.to_owned(), what: "control machine", number: machine, most })
    }

    /// Whether a machine runs.
    pub fn runs(&self, machine: usize, at: Micros) -> bool {
        !within(&self.down[machine], at)
    }

    /// Whether nothing passes from one machine to another.
    pub fn is_cut(&self, from: usize, to: usize, at: Micros) -> bool {
        self.cuts.iter().any(|c| c.span.holds(at) && c.binds(from, to))
    }

    /// Which part of datagrams is lost, or of packets of TCP.
    pub fn lost(&self, at: Micros, tcp: bool) -> f64 {
        let binds = |l: &&(Span, f64, bool)| l.0.holds(at) && !(tcp && l.2);
        let kept = self.losses.iter().filter(binds).map(|l| 1.0 - l.1);
        1.0 - kept.product::<f64>()
    }

    /// How much later a control machine applies what is committed.
    pub fn lag(&self, control: usize, at: Micros) -> Micros {
        self.lags.iter().filter(|l| l.0 == control && l.1.holds(at)).map(|l| l.2).max().unwrap_or(0)
    }

    /// When any two are cut off from each other; merged.
    pub fn cut_spans(&self) -> Vec<Span> {
        merged(self.cuts.iter().map(|c| c.span).collect())
    }

    /// How the control machines stand to each other.
    pub fn epoch(&self, at: Micros) -> &Epoch {
        let after = self.epochs.partition_point(|e| e.from <= at);
        &self.epochs[after.saturating_sub(1)]
    }

    /// All of these, in order.
    pub fn epochs(&self) -> &[Epoch] {
        &self.epochs
    }

    /// When an instance reaches no control machine that serves, there and back; merged.
    pub fn cut_off(&self, instance: usize) -> Vec<Span> {
        let mut spans = Vec::new();
        for (n, epoch) in self.epochs.iter().enumerate() {
            let until = self.epochs.get(n + 1).map_or(Micros::MAX, |e| e.from);
            let reaches = |k: usize| {
                let machine = self.places.control(k);
                epoch.serves[k]
                    && !self.is_cut(instance, machine, epoch.from)
                    && !self.is_cut(machine, instance, epoch.from)
            };
            if !(0..self.places.controls).any(reaches) {
                spans.push(Span { from: epoch.from, until });
            }
        }
        merged(spans)
    }

    /// The last moment within the measured time at which something began or ended to go wrong.
    pub fn last_change(&self) -> Option<Micros> {
        let spans = self.down.iter().flatten().chain(self.cuts.iter().map(|c| &c.span));
        let spans = spans.copied().chain(self.losses.iter().map(|l| l.0));
        let inside = |t: &Micros| self.measured.holds(*t);
        spans.flat_map(|s| [s.from, s.until]).filter(inside).max()
    }

    fn lay_epochs(&self) -> Vec<Epoch> {
        let controls = self.places.size..self.places.all.len();
        let ends = |s: &Span| [s.from, s.until];
        let mut times: Vec<Micros> = controls.flat_map(|m| self.down[m].iter().flat_map(ends)).collect();
        times.extend(self.cuts.iter().flat_map(|c| ends(&c.span)));
        times.push(0);
        times.retain(|&t| t < Micros::MAX);
        times.sort_unstable();
        times.dedup();
        let mut epochs: Vec<Epoch> = Vec::new();
        // Until when there is no leader, since it is another one or none.
        let mut electing = 0;
        let mut led = None;
        let mut times = std::collections::VecDeque::from(times);
        while let Some(at) = times.pop_front() {
            let mut epoch = self.stand(at, led);
            if epoch.leader != led && !epochs.is_empty() {
                electing = at + ELECTION;
            }
            led = epoch.leader;
            if at < electing {
                (epoch.leader, epoch.serves) = (None, vec![false; self.places.controls]);
                if times.front().is_none_or(|&next| next > electing) {
                    times.push_front(electing);
                }
            }
            epochs.push(epoch);
        }
        epochs
    }

    /// Who leads at a moment: who led before, if it still can, else the first that reaches most.
    fn stand(&self, at: Micros, led: Option<usize>) -> Epoch {
        let controls = self.places.controls;
        let runs = |k: usize| self.runs(self.places.control(k), at);
        let meet = |a: usize, b: usize| {
            let (x, y) = (self.places.control(a), self.places.control(b));
            runs(a) && runs(b) && !self.is_cut(x, y, at) && !self.is_cut(y, x, at)
        };
        let leads = |&a: &usize| (0..controls).filter(|&b| meet(a, b)).count() * 2 > controls;
        let leader = led.into_iter().chain(0..controls).find(leads);
        let serves = (0..controls).map(|k| leader.is_some_and(|l| meet(l, k))).collect();
        Epoch { from: at, leader, serves }
    }
}
