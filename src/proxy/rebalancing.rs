//! Connects the shards to the event loop: it reads the registry's documents, and produces shard assignments
//! for the router, transactions of the planner, and growth buckets, which count newly filled objects.
//! `crate::placement` and `crate::growth` decide what is moved, split or postponed. `fleet.rs` owns the
//! rebalancer and schedules its turns.

use super::fleet_context::{FleetContext, PeerNote, SiteView};
use super::shard_capacity::{caches, link_kb_s, max_instances};
use crate::config::product::Product;
use crate::config::settings::Document;
use crate::failover::{SiteState, Zone};
use crate::growth::ahead::{Compaction, GrowthPlanner};
use crate::growth::buckets::GrowthCounter;
use crate::net::event_loop::{EventLoop, Ready};
use crate::placement::follow::{Follower, MapUpdate};
use crate::placement::load::Work;
use crate::placement::map::{max_warming_kb_s, ShardMap};
use crate::placement::planner::{
    map_key, moves_key, Notice, Planner, PlannerInput, Transaction as PlannerTransaction, TransactionResult,
};
use crate::placement::quiet::{Calendar, LOOKAHEAD_MS};
use crate::placement::rebalance::EndpointCapacity;
use crate::placement::snapshot::{self, SnapshotWriter};
use crate::placement::Settings;
use crate::registry::documents::driver::DocumentsDriver;
use crate::registry::documents::{Changes, Condition, Outcome, Transaction};
use crate::registry::lease::fenced;
use crate::routing::constraints::ShardAssignment;
use crate::routing::events::{Id, Micros, Role};
use mio::Token;
use rustc_hash::FxHashMap;
use slog::{debug, info, warn, Logger};
use std::collections::BTreeMap;
use std::path::Path;
use std::sync::Arc;

const MICROS_PER_MS: Micros = 1_000;
/// Interval between two steps of the planner, and between two checks for data to write, in microseconds.
const STEP_INTERVAL: Micros = 1_000 * MICROS_PER_MS;
/// Maximum time between two forecasts, in microseconds. The input changes with each growth bucket, and
/// buckets may be longer than this.
const MAX_FORECAST_INTERVAL: Micros = 60_000 * MICROS_PER_MS;
/// Interval between two slices of a forecast, in microseconds.
const FORECAST_SLICE_INTERVAL: Micros = 50 * MICROS_PER_MS;

/// Purpose of a transaction that awaits its outcome.
#[derive(Debug)]
enum PendingTransaction {
    /// Step of a zone's planner.
    PlannerStep { zone: Zone, step: u64 },
    /// Growth bucket of this instance.
    GrowthBucket { key: String },
    /// Split schedule, compaction of growth buckets, or counted work. The next write replaces it, so the
    /// outcome has no effect.
    Superseded,
}

/// Planner of one zone, and its forecast.
struct ZonePlanner {
    planner: Planner,
    forecast: Option<GrowthPlanner>,
    last_forecast: Option<Micros>,
}

/// Documents that a forecast has to write.
#[derive(Default)]
struct ForecastWrites {
    /// Key and value of the split schedule.
    schedule: Option<(String, Vec<u8>)>,
    /// Buckets whose history is merged into one base document.
    compaction: Option<Compaction>,
}

/// A request served by a cache, for the counts of growth and work.
pub(super) struct ServedRequest {
    pub object: u64,
    pub part: u64,
    pub kb: f64,
    /// Transfer time at full speed, in microseconds.
    pub work_us: f64,
    pub newly_filled: bool,
    pub is_write: bool,
}

/// Follower and planner of the shards in one instance.
pub(super) struct ShardRebalancer {
    settings: Settings,
    calendar: Calendar,
    zone: Zone,
    driver: DocumentsDriver,
    follower: Follower,
    saver: Option<SnapshotWriter>,
    assignments: Arc<[ShardAssignment]>,
    planners: BTreeMap<Zone, ZonePlanner>,
    growth: Option<GrowthCounter>,
    work: Work,
    /// Transactions that await their outcome, by number.
    pending: FxHashMap<u64, PendingTransaction>,
    last_transaction: u64,
    forecast_interval: Micros,
    last_step: Micros,
    last_forecast_slice: Micros,
    last_bucket_write: Micros,
    /// Whether this instance holds the planner's lease.
    holds_lease: bool,
    committed_steps: u64,
    rejected_steps: u64,
}

/// Creates a driver that competes for the planner's lease.
fn campaigning_driver(settings: &Settings, seed: u64, context: &FleetContext) -> DocumentsDriver {
    let mut driver = DocumentsDriver::new(
        settings.endpoints.clone(),
        &settings.prefix,
        settings.lease,
        context.instance_name,
        seed,
        context.now,
        context.log.clone(),
    );
    driver.set_campaigning(true);
    driver
}

/// Returns a follower with the shard map of the snapshot, or without a map.
fn restored_follower(folder: Option<&Path>, zone: u16, log: &Logger) -> Follower {
    match folder.map(|folder| snapshot::load(folder, zone)) {
        Some(Ok(follower)) => follower,
        Some(Err(error)) => {
            warn!(log, "starting without a shard map"; "error" => %error);
            Follower::new(zone)
        }
        None => Follower::new(zone),
    }
}

fn started_saver(folder: Option<&Path>, zone: u16, log: &Logger) -> Option<SnapshotWriter> {
    SnapshotWriter::start(folder?.to_owned(), zone)
        .map_err(|error| warn!(log, "shard maps are not saved to disk"; "error" => %error))
        .ok()
}

/// Creates a planner for each zone that has instances.
fn zone_planners(settings: &Document, product: &Product) -> BTreeMap<Zone, ZonePlanner> {
    let instances = &settings.domain.crew_by_zone;
    let is_served = |zone: Zone| zone == settings.zone || instances.get(zone).is_some_and(|count| *count > 0);
    let planner = |(zone, name): (Zone, &String)| {
        let forecast = product.growth.clone().map(|growth| GrowthPlanner::new(growth, name));
        (zone, ZonePlanner { planner: Planner::new(zone as u16, ""), forecast, last_forecast: None })
    };
    let zones = settings.failure_domains.iter().enumerate();
    zones.filter(|(zone, _)| is_served(*zone)).map(planner).collect()
}

/// Returns a transaction that writes one key.
fn put(entry: (String, Vec<u8>)) -> Transaction {
    Transaction { puts: vec![entry], ..Transaction::default() }
}

impl ShardRebalancer {
    /// Creates a rebalancer that follows the documents and competes for the planner's lease.
    pub fn new(settings: &Settings, product: &Product, seed: u64, context: &FleetContext) -> Self {
        let (document, log, name) = (context.settings, context.log, context.instance_name);
        let zone = document.zone;
        let folder = settings.snapshot.as_deref();
        let growth = product.growth.clone();
        let forecast_interval = growth.as_ref().map_or(MAX_FORECAST_INTERVAL, |growth| {
            growth.bucket.clamp(STEP_INTERVAL, MAX_FORECAST_INTERVAL)
        });
        let rebalancer = ShardRebalancer {
            settings: settings.clone(),
            calendar: product.calendar.clone(),
            zone,
            driver: campaigning_driver(settings, seed, context),
            follower: restored_follower(folder, zone as u16, log),
            saver: started_saver(folder, zone as u16, log),
            assignments: Arc::default(),
            planners: zone_planners(document, product),
            growth: growth
                .map(|growth| GrowthCounter::new(growth, context.zone_name(zone), name, context.unix_ms)),
            work: Work::default(),
            pending: FxHashMap::default(),
            last_transaction: 0,
            forecast_interval,
            last_step: 0,
            last_forecast_slice: 0,
            last_bucket_write: context.now,
            holds_lease: false,
            committed_steps: 0,
            rejected_steps: 0,
        };
        rebalancer.log_start(log);
        rebalancer
    }

    fn log_start(&self, log: &Logger) {
        let windows = self.calendar.quiet.len();
        info!(log, "shard rebalancing enabled"; "zones" => self.planners.len(), "windows" => windows);
        if windows == 0 {
            warn!(log, "quiet hours are not configured: no shard will be moved"; "remedy" => "set quiet()");
        }
        if self.growth.is_none() {
            warn!(log, "growth is not configured: no shard will be moved or split"; "remedy" => "set growth()");
        }
    }

    /// Applies reloaded settings and quiet hours; returns `false` if some of the changes require a restart.
    pub fn reconfigure(&mut self, new: &Settings, calendar: &Calendar) -> bool {
        let old = &self.settings;
        let (endpoints, prefix) = (old.endpoints.clone(), old.prefix.clone());
        let (lease, snapshot) = (old.lease, old.snapshot.clone());
        self.settings = Settings { endpoints, prefix, lease, snapshot, ..new.clone() };
        self.calendar = calendar.clone();
        self.settings == *new
    }

    /// Returns the growth of each zone by week `week`, with 1 for zones without a forecast. Returns `None` if
    /// this instance is not the planner or no zone has a forecast.
    pub fn growth_factors(&self, week: usize, zone_count: usize) -> Option<Vec<f64>> {
        let factor = |zone: Zone| {
            let forecast = self.planners.get(&zone).and_then(|planner| planner.forecast.as_ref());
            forecast.and_then(|forecast| forecast.weekly_growth_factors().get(week)).copied()
        };
        let known = self.holds_lease && (0..zone_count).any(|zone| factor(zone).is_some());
        known.then(|| (0..zone_count).map(|zone| factor(zone).unwrap_or(1.0)).collect())
    }

    /// Returns the assignments of the shards of this instance's zone to caches.
    pub fn assignments(&self) -> Arc<[ShardAssignment]> {
        self.assignments.clone()
    }

    /// Returns the epoch of the applied shard map, or 0 without a map.
    pub fn epoch(&self) -> u32 {
        self.follower.epoch()
    }

    /// Returns the token of the connection to the registry.
    pub fn token(&self) -> Option<Token> {
        self.driver.token()
    }

    /// Handles readiness of the connection to the registry.
    pub fn ready(&mut self, event: Ready) {
        self.driver.ready(event);
    }

    /// Returns when the next turn is due.
    pub fn next_due(&self) -> Micros {
        if self.driver.wants_turn() {
            return 0;
        }
        let forecasts = |planner: &ZonePlanner| planner.forecast.as_ref().is_some_and(|f| !f.is_idle());
        let own = if self.holds_lease && self.planners.values().any(forecasts) {
            self.last_forecast_slice + FORECAST_SLICE_INTERVAL
        } else {
            self.last_step + STEP_INTERVAL
        };
        self.driver.next_due().min(own)
    }

    /// Returns names and values for the admin endpoint.
    pub fn metrics(&self) -> [(&'static str, u64); 6] {
        let waiting = self.growth.as_ref().map_or(0, GrowthCounter::pending);
        [
            ("shard_epoch", u64::from(self.follower.epoch())),
            ("shards", self.assignments.len() as u64),
            ("shard_planner", u64::from(self.holds_lease)),
            ("shard_changes_total", self.committed_steps),
            ("shard_changes_refused_total", self.rejected_steps),
            ("growth_buckets_waiting", waiting as u64),
        ]
    }

    /// Runs a turn of the connection to the registry: before a turn of the rebalancer, so that new documents
    /// are available, and after it, so that submitted transactions are sent.
    pub fn run_registry_driver(&mut self, now: Micros, event_loop: &mut EventLoop) {
        self.driver.turn(now, event_loop);
    }

    /// Runs one turn; returns whether the assignments have changed.
    pub fn turn(&mut self, context: &FleetContext, sites: &SiteView) -> bool {
        let now = context.now;
        self.take_outcomes(context.log);
        let map_changed = self.follow_documents(context);
        let fence = self.driver.fence(now);
        if self.holds_lease != fence.is_some() {
            self.holds_lease = fence.is_some();
            info!(context.log, "planner lease changed"; "held" => self.holds_lease, "fence" => fence);
        }
        if fence.is_some() && now >= self.last_forecast_slice + FORECAST_SLICE_INTERVAL {
            self.last_forecast_slice = now;
            self.step_forecasts(context);
        }
        if now >= self.last_step + STEP_INTERVAL {
            self.last_step = now;
            self.write_counts(context);
            for zone in self.planners.keys().copied().collect::<Vec<_>>() {
                self.plan_zone(context, sites, zone, fence);
            }
        }
        map_changed && self.update_assignments(context, sites)
    }

    fn submit(&mut self, context: &FleetContext, purpose: PendingTransaction, transaction: Transaction) {
        self.last_transaction += 1;
        match self.driver.submit(context.now, self.last_transaction, transaction) {
            Ok(()) => drop(self.pending.insert(self.last_transaction, purpose)),
            Err(error) => {
                debug!(context.log, "registry transaction not sent"; "transaction" => ?purpose, "error" => %error);
                self.complete_transaction(context.log, purpose, Outcome::NotSent);
            }
        }
    }

    fn take_outcomes(&mut self, log: &Logger) {
        for (number, outcome) in self.driver.take_outcomes() {
            let Some(purpose) = self.pending.remove(&number) else { continue };
            self.complete_transaction(log, purpose, outcome);
        }
    }

    fn complete_transaction(&mut self, log: &Logger, purpose: PendingTransaction, outcome: Outcome) {
        match purpose {
            PendingTransaction::PlannerStep { zone, step } => {
                self.complete_planner_step(log, zone, step, outcome)
            }
            PendingTransaction::GrowthBucket { key } => {
                if let (Outcome::Committed { .. }, Some(growth)) = (outcome, &mut self.growth) {
                    growth.written(&key);
                }
            }
            PendingTransaction::Superseded => {}
        }
    }

    fn complete_planner_step(&mut self, log: &Logger, zone: Zone, step: u64, outcome: Outcome) {
        debug!(log, "planner transaction answered"; "zone" => zone, "answer" => ?outcome);
        let result = match outcome {
            Outcome::Committed { revision } => TransactionResult::Committed(revision),
            Outcome::CompareFailed | Outcome::NotSent => TransactionResult::Rejected,
            Outcome::Unknown => TransactionResult::Unknown,
        };
        match result {
            TransactionResult::Committed(_) => self.committed_steps += 1,
            TransactionResult::Rejected | TransactionResult::Unknown => self.rejected_steps += 1,
        }
        if let Some(zone_planner) = self.planners.get_mut(&zone) {
            zone_planner.planner.handle_result(step, result);
        }
    }

    /// Applies changes of the registry's documents; returns whether the assignments may have changed.
    fn follow_documents(&mut self, context: &FleetContext) -> bool {
        if self.driver.revision() == 0 {
            // The snapshot's map applies until the registry has been read.
            return self.assignments.is_empty() && self.follower.epoch() > 0;
        }
        let changes = self.driver.take_changes();
        let applied = self.follow_map(context.log, &changes);
        self.follow_growth(context, &changes);
        // The assignments may change without a change of the documents: when caches come and go, the share of
        // the link that warming a cache may use changes too.
        applied || !self.assignments.is_empty()
    }

    /// Applies the shard map of this instance's zone; returns whether a new map was applied.
    fn follow_map(&mut self, log: &Logger, changes: &Changes) -> bool {
        let key = map_key("", self.zone as u16);
        if !changes.all && !changes.keys.contains(&key) {
            return false;
        }
        match self.follower.apply(self.driver.get(&key).map(|document| document.value.as_slice())) {
            Some(MapUpdate::Applied(epoch)) => {
                info!(log, "shard map applied"; "epoch" => epoch);
                if let (Some(saver), Some(map)) = (&self.saver, self.follower.map()) {
                    if !saver.save(map) {
                        debug!(log, "shard map not saved: an earlier save is still running"; "epoch" => epoch);
                    }
                }
                true
            }
            Some(unused) => {
                warn!(log, "shard map not applied"; "reason" => %unused);
                false
            }
            None => false,
        }
    }

    /// Passes changed growth buckets to the forecasts of all zones.
    fn follow_growth(&mut self, context: &FleetContext, changes: &Changes) {
        let names = &context.settings.failure_domains;
        for (zone, planner) in &mut self.planners {
            let (Some(forecast), Some(name)) = (&mut planner.forecast, names.get(*zone)) else { continue };
            let prefix = GrowthPlanner::key_prefix(name);
            let listed: Vec<String> = if changes.all {
                self.driver.with_prefix(&prefix).map(|(key, _)| key.to_owned()).collect()
            } else {
                Vec::new()
            };
            let changed = changes.keys.iter().filter(|key| key.starts_with(&prefix));
            for key in changed.chain(&listed) {
                let Some(document) = self.driver.get(key) else { continue };
                if let Err(error) = forecast.merge_document(&document.value, context.unix_ms) {
                    warn!(context.log, "growth bucket rejected"; "key" => key, "error" => %error);
                }
            }
        }
    }

    /// Recomputes the assignments; returns whether they have changed.
    fn update_assignments(&mut self, context: &FleetContext, sites: &SiteView) -> bool {
        let settings = context.settings.for_router();
        let caches = caches(context, sites.endpoints, self.zone);
        let link_kb_s = link_kb_s(context.settings, self.zone, &caches);
        let processes = f64::from(max_instances(context.settings, self.zone)) * f64::from(context.processes);
        let warming_rate = |cache: &Id| {
            let spare_kb_s = caches
                .iter()
                .find(|capacity| capacity.id == *cache)
                .map_or(0.0, |capacity| capacity.spare_kb_s);
            max_warming_kb_s(self.settings.warm, link_kb_s, spare_kb_s)
                / settings.transfer_rate_kb_s.max(1.0)
                / processes
        };
        let lateral = context.settings.domain.lateral != "silent";
        let assignments = self.follower.assignments(warming_rate, lateral);
        std::mem::replace(&mut self.assignments, assignments) != self.assignments
    }

    /// Counts a request: its work, and its object if the object was newly filled.
    pub fn count_served(&mut self, request: &ServedRequest) {
        self.work.add(request.object, request.work_us);
        if let Some(growth) = &mut self.growth {
            growth.record(request.object, request.part, request.kb, request.newly_filled, request.is_write);
        }
    }

    /// Closes the counts of this instance when their bucket ends, and writes them.
    fn write_counts(&mut self, context: &FleetContext) {
        let Some(growth) = &mut self.growth else { return };
        let closed = growth.close(context.unix_ms);
        let is_bucket =
            |purpose: &PendingTransaction| matches!(purpose, PendingTransaction::GrowthBucket { .. });
        let is_bucket_pending = self.pending.values().any(is_bucket);
        // The open bucket is written periodically too, so that its counts are not lost when the process ends.
        let open_bucket_due = context.now >= self.last_bucket_write + self.forecast_interval;
        let open_bucket = growth.current().filter(|_| open_bucket_due);
        if let Some((key, value)) = growth.next().or(open_bucket).filter(|_| !is_bucket_pending) {
            self.last_bucket_write = context.now;
            let purpose = PendingTransaction::GrowthBucket { key: key.clone() };
            self.submit(context, purpose, put((key, value)));
        }
        if closed {
            let key = Work::key(context.zone_name(self.zone), context.instance_name);
            let value = self.work.close(context.unix_ms);
            self.submit(context, PendingTransaction::Superseded, put((key, value)));
        }
    }

    /// Runs one slice of each forecast in progress.
    fn step_forecasts(&mut self, context: &FleetContext) {
        for forecast in self.planners.values_mut().filter_map(|planner| planner.forecast.as_mut()) {
            for notice in forecast.step(context.unix_ms) {
                warn!(context.log, "split not in time"; "zone" => forecast.zone(), "reason" => %notice);
            }
        }
    }

    /// Runs the planner's step for one zone; `fence` is present if this instance holds the planner's lease.
    fn plan_zone(&mut self, context: &FleetContext, sites: &SiteView, zone: Zone, fence: Option<i64>) {
        let Some(mut zone_planner) = self.planners.remove(&zone) else { return };
        let Some(name) = context.settings.failure_domains.get(zone) else { return };
        let caches = caches(context, sites.endpoints, zone);
        let link_kb_s = link_kb_s(context.settings, zone, &caches);
        let mut notices = Vec::new();
        self.pass_documents(context, &mut zone_planner.planner, zone, fence, &mut notices);
        let writes = match fence {
            Some(_) => self.forecast(context, &mut zone_planner, zone, &caches, link_kb_s),
            None => ForecastWrites::default(),
        };
        let planning = ZonePlanning { context, sites, zone, name, caches: &caches, link_kb_s, fence };
        let step = self.step_planner(&planning, &mut zone_planner, &mut notices);
        for notice in notices {
            info!(context.log, "planner notice"; "zone" => name, "notice" => ?notice);
        }
        self.planners.insert(zone, zone_planner);
        if let Some(step) = step {
            self.submit_planner_step(context, zone, step);
        }
        if let Some(fence) = fence {
            self.submit_forecast(context, name, writes, fence);
        }
    }

    /// Passes the map and the moves of the registry to the planner if it needs them.
    fn pass_documents(
        &self,
        context: &FleetContext,
        planner: &mut Planner,
        zone: Zone,
        fence: Option<i64>,
        notices: &mut Vec<Notice>,
    ) {
        if fence.is_some() && self.driver.is_current(context.now) && planner.needs_documents() {
            let document = |key: &str| self.driver.get(key).map(|d| (d.value.as_slice(), d.mod_revision));
            let (map, moves) = (map_key("", zone as u16), moves_key("", zone as u16));
            planner.update_documents(document(&map), document(&moves), notices);
        }
    }

    /// Begins a forecast if one is due, and returns the documents that the last forecast has to write.
    fn forecast(
        &self,
        context: &FleetContext,
        zone_planner: &mut ZonePlanner,
        zone: Zone,
        caches: &[EndpointCapacity],
        link_kb_s: f64,
    ) -> ForecastWrites {
        let document = self.driver.get(&map_key("", zone as u16));
        let map = document.and_then(|document| ShardMap::decode(&document.value, zone as u16).ok());
        let (Some(forecast), Some(map)) = (&mut zone_planner.forecast, map) else {
            return ForecastWrites::default();
        };
        let name = context.zone_name(zone);
        let schedule_key = GrowthPlanner::schedule_key(name);
        let last = zone_planner.last_forecast;
        if forecast.is_idle() && last.is_none_or(|at| context.now >= at + self.forecast_interval) {
            zone_planner.last_forecast = Some(context.now);
            let until_ms = context.unix_ms.saturating_add(LOOKAHEAD_MS);
            let windows = self.calendar.windows(name, context.unix_ms, until_ms);
            let schedule = self.driver.get(&schedule_key).map(|document| document.value.as_slice());
            let counts = self
                .driver
                .with_prefix(&Work::key_prefix(name))
                .map(|(_, document)| document.value.as_slice());
            let work = Work::merged(counts, context.unix_ms);
            let warming_kb_s = max_warming_kb_s(self.settings.warm, link_kb_s, f64::INFINITY);
            if let Err(error) = forecast.begin(&map, caches, &windows, warming_kb_s, &work, schedule) {
                warn!(context.log, "split schedule rejected"; "zone" => name, "error" => %error);
            }
        }
        ForecastWrites {
            schedule: forecast.schedule().map(|value| (schedule_key, value)),
            compaction: forecast
                .compaction(self.driver.with_prefix(&GrowthPlanner::key_prefix(name)).map(|(key, _)| key)),
        }
    }

    /// Runs the planner and returns the transaction that it has to write.
    fn step_planner(
        &self,
        planning: &ZonePlanning,
        zone_planner: &mut ZonePlanner,
        notices: &mut Vec<Notice>,
    ) -> Option<PlannerTransaction> {
        let ZonePlanning { context, zone, .. } = *planning;
        let forecast = zone_planner.forecast.as_ref();
        let requested_changes = forecast.and_then(GrowthPlanner::requested_changes);
        let view = PlannerInput {
            settings: &self.settings,
            calendar: &self.calendar,
            zone: planning.name,
            now: context.now,
            unix_ms: context.unix_ms,
            skew_ms: planning.clock_skew_ms(),
            fence: planning.fence,
            sites: &planning.touched_sites(),
            instances: &self.applied_epochs(context, zone),
            max_instances: max_instances(context.settings, zone),
            local_map: self.follower.map().filter(|_| zone == self.zone).map(Arc::as_ref),
            link_kb_s: planning.link_kb_s,
            endpoints: planning.caches,
            loads: forecast.map_or(&[], GrowthPlanner::loads),
            requested_changes: requested_changes.as_deref(),
        };
        zone_planner.planner.step(&view, notices)
    }

    /// Returns the epoch of the map that each instance of a zone has applied, or `None` where it is unknown.
    fn applied_epochs(&self, context: &FleetContext, zone: Zone) -> Vec<Option<u32>> {
        let notes = context.peers.notes.iter().map(|peer| &peer.note);
        let in_zone = notes.filter(|note| usize::from(note.zone) == zone);
        let mut epochs: Vec<Option<u32>> = in_zone.map(|note| Some(note.map_epoch)).collect();
        // A reachable peer whose note is missing may belong to any zone and may not have the map, so it holds
        // back the plans of all zones.
        epochs.extend(std::iter::repeat_n(None, context.peers.without_note));
        if zone == self.zone {
            epochs.push(Some(self.follower.epoch()));
        }
        epochs
    }

    fn submit_planner_step(&mut self, context: &FleetContext, zone: Zone, step: PlannerTransaction) {
        let compares = step.compares.into_iter();
        let transaction = Transaction {
            compares: compares.map(|(key, revision)| (key, Condition::ModRevision(revision))).collect(),
            puts: step.puts,
            deletes: Vec::new(),
        };
        let purpose = PendingTransaction::PlannerStep { zone, step: step.id };
        self.submit(context, purpose, fenced(transaction, step.fence));
    }

    fn submit_forecast(&mut self, context: &FleetContext, zone: &str, writes: ForecastWrites, fence: i64) {
        if let Some(schedule) = writes.schedule {
            self.submit(context, PendingTransaction::Superseded, fenced(put(schedule), fence));
        }
        if let Some(Compaction { base, keys }) = writes.compaction {
            debug!(context.log, "growth buckets compacted"; "zone" => zone, "keys" => keys.len());
            let transaction = Transaction { deletes: keys, ..put(base) };
            self.submit(context, PendingTransaction::Superseded, fenced(transaction, fence));
        }
    }
}

/// Inputs of one step of a zone's planner.
struct ZonePlanning<'a> {
    context: &'a FleetContext<'a>,
    sites: &'a SiteView<'a>,
    zone: Zone,
    name: &'a str,
    caches: &'a [EndpointCapacity],
    link_kb_s: f64,
    fence: Option<i64>,
}

impl ZonePlanning<'_> {
    /// Returns the states of the sites that a plan for this zone affects: the zone itself, and those of the
    /// parent caches that its fills come from.
    fn touched_sites(&self) -> Vec<SiteState> {
        let endpoints = self.sites.endpoints.values();
        let parents = endpoints.filter(|endpoint| endpoint.role == Role::Parent).map(|parent| parent.zone);
        parents.chain([self.zone]).map(|zone| self.sites.state(zone)).collect()
    }

    /// Returns the largest difference between a peer's clock, as given in its note, and this instance's
    /// clock, in milliseconds.
    fn clock_skew_ms(&self) -> u64 {
        let skew_ms =
            |peer: &PeerNote| (peer.note.clock_ms + peer.age / MICROS_PER_MS).abs_diff(self.context.unix_ms);
        self.context.peers.notes.iter().map(skew_ms).max().unwrap_or(0)
    }
}
