//! Sources of the endpoint list, and the propagation of its changes to the pool and the router.
//!
//! [`crate::endpoints`] holds the list. The command channel or, if the product configures a registry, the
//! registry's driver updates it.

use super::timers::{TaskTimer, TimerEvent};
use super::Proxy;
use crate::config::product::RegistrySettings;
use crate::config::settings::Document;
use crate::endpoints::{Connections, EndpointList, Entry};
use crate::lifecycle;
use crate::net::command_channel::CommandChannel;
use crate::net::event_loop::{EventLoop, Ready};
use crate::net::protocol::command_channel::{self, Record};
use crate::purges::channel_delivery::ChannelDelivery;
use crate::registry::driver::Driver;
use crate::registry::record;
use crate::registry::session::{StartTime, Update};
use crate::routing::events::{EndpointState, Event, Id, Micros};
use crate::timestamps::{StartReport, Timestamps};
use mio::Token;
use slog::{info, warn};
use std::net::SocketAddr;

/// Maximum number of endpoints in the list.
const MAX_ENDPOINTS: usize = 65_536;
/// Maximum number of registry updates handled in one turn.
const MAX_UPDATES_PER_TURN: usize = 512;
/// Maximum number of changes of the list passed to the router in one turn.
const MAX_ANNOUNCEMENTS_PER_TURN: usize = 256;

/// Sources of the endpoint list, and the list itself.
pub(super) struct Discovery {
    pub(super) command_channel: CommandChannel,
    /// Which purges of the channel may be missing.
    pub(super) delivery: ChannelDelivery,
    /// The timer of the channel's next check.
    pub(super) command_channel_timer: TaskTimer,
    registry: Option<Box<Driver>>,
    /// The timer of the registry driver's next turn.
    registry_timer: TaskTimer,
    /// Whether updates of the registry, or changes of the list, are left for the next turn.
    pub(super) has_more: bool,
    pub(super) endpoint_list: EndpointList,
    /// Whether the endpoints known before the start have been applied. Records received from then on count as
    /// events that have just happened.
    is_started: bool,
}

impl Discovery {
    /// Creates an empty list, and a channel that resumes after the event `cursor`.
    pub(super) fn new(channel: SocketAddr, cursor: u64, delivery: ChannelDelivery) -> Self {
        Discovery {
            command_channel: CommandChannel::new(channel, cursor),
            delivery,
            command_channel_timer: TaskTimer::default(),
            registry: None,
            registry_timer: TaskTimer::default(),
            has_more: false,
            endpoint_list: EndpointList::new(MAX_ENDPOINTS),
            is_started: false,
        }
    }

    /// Makes a registry the source of the list.
    pub(super) fn use_registry(&mut self, driver: Driver) {
        self.registry = Some(Box::new(driver));
    }

    pub(super) fn has_registry(&self) -> bool {
        self.registry.is_some()
    }

    pub(super) fn note_started(&mut self) {
        self.is_started = true;
    }

    /// Passes an event to the registry's driver if it belongs to its connection; returns whether it did.
    pub(super) fn registry_ready(&mut self, event: Ready) -> bool {
        let Some(registry) = &mut self.registry else { return false };
        let is_own = registry.token() == Some(event.token);
        if is_own {
            registry.ready(event);
        }
        is_own
    }

    /// Clears the registry's timer after it has fired, unless an earlier timer has replaced it.
    pub(super) fn registry_timer_fired(&mut self, at: Micros) {
        self.registry_timer.fired(at);
    }

    /// Runs a turn of the registry's driver. Returns its next updates, up to the maximum for one turn, or
    /// `None` without a registry.
    fn poll_registry(&mut self, now: Micros, event_loop: &mut EventLoop) -> Option<Vec<Update>> {
        let registry = self.registry.as_mut()?;
        registry.turn(now, event_loop);
        Some(registry.take_updates(MAX_UPDATES_PER_TURN).collect())
    }

    /// Checks whether work is left for the next turn. If not, returns the time for which a timer is to be
    /// set, or `None` if a timer that is early enough is set.
    fn schedule_registry(&mut self) -> Option<Micros> {
        let registry = self.registry.as_ref()?;
        self.has_more = registry.wants_turn() || self.endpoint_list.has_changes();
        let next = registry.next_due();
        (!self.has_more && self.registry_timer.advance_to(next)).then_some(next)
    }

    /// Returns whether a token belongs to a source of the list.
    pub(super) fn owns(&self, token: Token) -> bool {
        self.is_command_channel(token)
            || self.registry.as_ref().is_some_and(|registry| registry.token() == Some(token))
    }

    /// Returns whether a token belongs to the command channel.
    pub(super) fn is_command_channel(&self, token: Token) -> bool {
        self.command_channel.owns(token)
    }

    /// Logs the registry's metrics.
    pub(super) fn report(&self, now: Micros) {
        if let Some(registry) = &self.registry {
            registry.report(now, &self.endpoint_list.counts());
        }
    }

    /// Converts an endpoint record of the command channel.
    fn entry_of_record(
        &self,
        now: Micros,
        record: Record,
        settings: &Document,
        timestamps: &mut Timestamps,
    ) -> Entry {
        let id: Id = record.id.as_str().into();
        let received = if self.is_started {
            StartReport::AfterSilence(self.command_channel.silence(now))
        } else {
            StartReport::Initial
        };
        let started = timestamps.start_time(now, &id, record.started_ms, received);
        Entry {
            id,
            address: record.address,
            state: match record.state {
                command_channel::State::Ready => EndpointState::Healthy,
                command_channel::State::Draining => EndpointState::Draining,
                command_channel::State::Gone => EndpointState::Removed,
            },
            role: settings.role(record.kind as i64),
            zone: record.zone,
            cell: record.cell,
            kind: record.kind as u32,
            weight: record.weight,
            started_at: started,
            incarnation: 0,
        }
    }
}

/// Converts an endpoint record of the registry.
fn entry_of_registry(
    now: Micros,
    id: Id,
    endpoint: &record::EndpointRecord,
    process: u64,
    started: StartTime,
    settings: &Document,
    timestamps: &mut Timestamps,
) -> Entry {
    let received = match started {
        StartTime::RecordedOrNow => StartReport::AfterSilence(0),
        StartTime::Unknown | StartTime::Recorded => StartReport::Initial,
    };
    let recorded = timestamps.start_time(now, &id, endpoint.started_ms, received);
    Entry {
        id,
        address: endpoint.address,
        state: match endpoint.state {
            record::State::Ready => EndpointState::Healthy,
            record::State::Draining => EndpointState::Draining,
        },
        role: settings.role(i64::from(endpoint.kind)),
        zone: endpoint.zone,
        cell: endpoint.cell,
        kind: endpoint.kind,
        weight: endpoint.weight,
        // An endpoint whose record contains no start time counts as started now, which means cold.
        started_at: match started {
            StartTime::Unknown => now,
            StartTime::RecordedOrNow if endpoint.started_ms == 0 => now,
            StartTime::RecordedOrNow | StartTime::Recorded => recorded,
        },
        incarnation: process,
    }
}

impl Proxy {
    /// Runs a turn of the registry's driver, and applies its updates to the list up to the maximum for one
    /// turn.
    pub(super) fn run_registry(&mut self) {
        let Some(updates) = self.discovery.poll_registry(self.now, &mut self.event_loop) else { return };
        for update in updates {
            self.apply_registry_update(update);
        }
        self.announce_endpoints(MAX_ANNOUNCEMENTS_PER_TURN);
        if let Some(next) = self.discovery.schedule_registry() {
            self.timers.set(next, TimerEvent::Registry(next));
        }
    }

    fn apply_registry_update(&mut self, update: Update) {
        let (now, endpoint_list) = (self.now, &mut self.discovery.endpoint_list);
        match update {
            Update::Removed(id) => endpoint_list.remove(now, &id),
            Update::Unreadable(id) => endpoint_list.close(now, &id),
            Update::Put { id, endpoint, process, start: started } => {
                let (settings, timestamps) = (&self.settings, &mut self.timestamps);
                let entry = entry_of_registry(now, id, &endpoint, process, started, settings, timestamps);
                if let Err(error) = endpoint_list.upsert(now, entry) {
                    warn!(self.log, "endpoint rejected"; "reason" => %error);
                }
            }
        }
    }

    /// Applies reloaded settings of the registry.
    pub(super) fn reconfigure_registry(&mut self, settings: Option<&RegistrySettings>) {
        let (Some(registry), Some(new)) = (&mut self.discovery.registry, settings) else {
            if self.discovery.has_registry() || settings.is_some() {
                warn!(self.log, "setting change requires a restart"; "what" => "presence of a registry");
            }
            return;
        };
        if !registry.reconfigure(self.now, new) {
            warn!(self.log, "setting change requires a restart";
                  "what" => "prefix, snapshot or bounds of the registry");
        }
        info!(self.log, "registry settings reloaded"; "endpoints" => ?new.endpoints);
        self.run_registry();
    }

    /// Applies endpoint records of the command channel; with `is_complete` all other endpoints are removed.
    pub(super) fn apply_endpoints(&mut self, is_complete: bool, records: Vec<Record>) {
        let now = self.now;
        let (settings, timestamps) = (&self.settings, &mut self.timestamps);
        let entry = |record| self.discovery.entry_of_record(now, record, settings, timestamps);
        let entries: Vec<Entry> = records.into_iter().map(entry).collect();
        let endpoint_list = &mut self.discovery.endpoint_list;
        let applied = if is_complete {
            endpoint_list.replace_all(now, entries)
        } else {
            entries.into_iter().try_for_each(|entry| endpoint_list.upsert(now, entry))
        };
        if let Err(error) = applied {
            warn!(self.log, "endpoint list rejected"; "reason" => %error);
        }
        self.announce_endpoints(usize::MAX);
    }

    /// Passes up to `limit` changes of the list to the pool and the router.
    pub(super) fn announce_endpoints(&mut self, limit: usize) {
        let mut changes = Vec::new();
        self.discovery.endpoint_list.take_changes(limit, &mut changes);
        if changes.is_empty() {
            return;
        }
        let mut endpoints = Vec::with_capacity(changes.len());
        for change in changes {
            let id = &change.endpoint.id;
            match change.connections {
                Connections::End => self.pool.remove_endpoint(id),
                Connections::Keep => self.pool.set_address(id, change.address),
                Connections::ReplaceBefore(moment) => {
                    self.pool.set_address(id, change.address);
                    for old in self.pool.dialed_before(id, moment) {
                        self.close_upstream(old);
                    }
                }
            }
            endpoints.push(change.endpoint);
        }
        self.fleet_endpoints_changed(&endpoints);
        self.events.push_back(Event::Endpoints { complete: false, endpoints });
        // The lifecycle refuses this event in phases to which the list makes no difference.
        let _ = self.advance_lifecycle(lifecycle::Event::EndpointsListed(self.pool.has_endpoints()));
    }
}
