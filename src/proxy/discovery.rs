//! Where the endpoint list comes from, and its way to the pool and the router.
//!
//! The list itself is [`crate::endpoints`]. It is fed by the command channel or, where the product names a registry,
//! by the registry's driver.

use super::timers::TimerEvent;
use super::Proxy;
use crate::config::product::Registry;
use crate::config::settings::Document;
use crate::endpoints::{Connections, EndpointList, Entry};
use crate::lifecycle;
use crate::net::command_channel::CommandChannel;
use crate::net::event_loop::{EventLoop, Ready};
use crate::net::protocol::command_channel::{self, Record};
use crate::registry::driver::Driver;
use crate::registry::record;
use crate::registry::session::{StartTime, Update};
use crate::routing::events::{EndpointState, Event, Id, Micros};
use crate::timestamps::{Heard, Timestamps};
use mio::Token;
use slog::{info, warn};
use std::net::SocketAddr;

/// Most endpoints that the list may hold.
const MAX_ENDPOINTS: usize = 65_536;
/// Updates taken from the registry in one turn.
const MAX_UPDATES_PER_TURN: usize = 512;
/// Changes of the list announced to the router in one turn.
const MAX_ANNOUNCEMENTS_PER_TURN: usize = 256;

/// The sources of the endpoint list, and the list.
pub(super) struct Discovery {
    pub(super) command_channel: CommandChannel,
    /// The timer that is set for the channel.
    pub(super) command_channel_timer: Option<Micros>,
    registry: Option<Box<Driver>>,
    /// The timer that is set for the registry.
    registry_timer: Option<Micros>,
    /// One turn did not take all that the registry has, or did not announce all that changed.
    pub(super) has_more: bool,
    pub(super) membership: EndpointList,
    /// What was known before the start has been taken: what comes from now on has just happened.
    is_started: bool,
}

impl Discovery {
    /// Begins with a channel that has the events up to `cursor`, and an empty list.
    pub(super) fn new(channel: SocketAddr, cursor: u64) -> Self {
        Discovery {
            command_channel: CommandChannel::new(channel, cursor),
            command_channel_timer: None,
            registry: None,
            registry_timer: None,
            has_more: false,
            membership: EndpointList::new(MAX_ENDPOINTS),
            is_started: false,
        }
    }

    /// Takes the list from a registry from now on.
    pub(super) fn use_registry(&mut self, driver: Driver) {
        self.registry = Some(Box::new(driver));
    }

    pub(super) fn has_registry(&self) -> bool {
        self.registry.is_some()
    }

    pub(super) fn note_started(&mut self) {
        self.is_started = true;
    }

    /// Hands an event to the registry's driver if it is its own; whether it was.
    pub(super) fn registry_ready(&mut self, event: Ready) -> bool {
        let Some(registry) = &mut self.registry else { return false };
        let is_own = registry.token() == Some(event.token);
        if is_own {
            registry.ready(event);
        }
        is_own
    }

    /// Notes that a timer of the registry's has fired; an earlier one may have replaced it.
    pub(super) fn registry_timer_fired(&mut self, at: Micros) {
        if self.registry_timer == Some(at) {
            self.registry_timer = None;
        }
    }

    /// Lets the registry's driver do what is due; gives a portion of its updates, or `None` without a registry.
    fn poll_registry(&mut self, now: Micros, event_loop: &mut EventLoop) -> Option<Vec<Update>> {
        let registry = self.registry.as_mut()?;
        registry.turn(now, event_loop);
        Some(registry.take_updates(MAX_UPDATES_PER_TURN).collect())
    }

    /// Looks whether there is more to do at once. If not, gives the moment of the next turn, if a timer is to be set.
    fn schedule_registry(&mut self) -> Option<Micros> {
        let registry = self.registry.as_ref()?;
        self.has_more = registry.wants_turn() || self.membership.has_changes();
        let next = registry.next_due();
        if self.has_more || self.registry_timer.is_some_and(|set| next >= set) {
            return None;
        }
        self.registry_timer = Some(next);
        Some(next)
    }

    /// Whether a token is of a source of the list.
    pub(super) fn owns(&self, token: Token) -> bool {
        self.is_command_channel(token)
            || self.registry.as_ref().is_some_and(|registry| registry.token() == Some(token))
    }

    /// Whether a token is the command channel's.
    pub(super) fn is_command_channel(&self, token: Token) -> bool {
        self.command_channel.token() == Some(token)
    }

    /// Writes the registry's metrics into the log.
    pub(super) fn report(&self, now: Micros) {
        if let Some(registry) = &self.registry {
            registry.report(now, &self.membership.counts());
        }
    }

    /// An endpoint as the command channel describes it.
    fn entry_of_record(
        &self,
        now: Micros,
        record: Record,
        settings: &Document,
        timestamps: &mut Timestamps,
    ) -> Entry {
        let id: Id = record.id.as_str().into();
        let received = if self.is_started {
            Heard::AfterSilence(self.command_channel.silence(now))
        } else {
            Heard::AtStart
        };
        let started = timestamps.start(now, &id, record.started_ms, received);
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

/// An endpoint as the registry describes it.
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
        StartTime::RecordedOrNow => Heard::AfterSilence(0),
        StartTime::Unknown | StartTime::Recorded => Heard::AtStart,
    };
    let recorded = timestamps.start(now, &id, endpoint.started_ms, received);
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
        // Where the record does not say when its endpoint started, it counts as cold from now.
        started_at: match started {
            StartTime::Unknown => now,
            StartTime::RecordedOrNow if endpoint.started_ms == 0 => now,
            StartTime::RecordedOrNow | StartTime::Recorded => recorded,
        },
        incarnation: process,
    }
}

impl Proxy {
    /// Lets the registry's driver do what is due, and takes over what follows for the list, in portions.
    pub(super) fn run_registry(&mut self) {
        let Some(updates) = self.discovery.poll_registry(self.now, &mut self.event_loop) else { return };
        for update in updates {
            self.take_registry_update(update);
        }
        self.announce_endpoints(MAX_ANNOUNCEMENTS_PER_TURN);
        if let Some(next) = self.discovery.schedule_registry() {
            self.timers.set(next, TimerEvent::Registry(next));
        }
    }

    fn take_registry_update(&mut self, update: Update) {
        let (now, membership) = (self.now, &mut self.discovery.membership);
        match update {
            Update::Removed(id) => membership.remove(now, &id),
            Update::Unreadable(id) => membership.close(now, &id),
            Update::Put { id, endpoint, process, start: started } => {
                let (settings, timestamps) = (&self.settings, &mut self.timestamps);
                let entry = entry_of_registry(now, id, &endpoint, process, started, settings, timestamps);
                if let Err(error) = membership.upsert(now, entry) {
                    warn!(self.log, "endpoint not taken"; "reason" => %error);
                }
            }
        }
    }

    /// Takes new settings of the registry.
    pub(super) fn reconfigure_registry(&mut self, settings: Option<&Registry>) {
        let (Some(registry), Some(new)) = (&mut self.discovery.registry, settings) else {
            if self.discovery.has_registry() || settings.is_some() {
                warn!(self.log, "takes a restart to change"; "what" => "whether there is a registry");
            }
            return;
        };
        if !registry.reconfigure(self.now, new) {
            warn!(self.log, "takes a restart to change"; "what" => "prefix, snapshot or bounds of the registry");
        }
        info!(self.log, "settings read again"; "endpoints" => ?new.endpoints);
        self.run_registry();
    }

    /// Takes the endpoints that the command channel lists; `is_complete`: there are no others.
    pub(super) fn take_endpoints(&mut self, is_complete: bool, records: Vec<Record>) {
        let now = self.now;
        let (settings, timestamps) = (&self.settings, &mut self.timestamps);
        let entry = |record| self.discovery.entry_of_record(now, record, settings, timestamps);
        let entries: Vec<Entry> = records.into_iter().map(entry).collect();
        let membership = &mut self.discovery.membership;
        let taken = if is_complete {
            membership.replace_all(now, entries)
        } else {
            entries.into_iter().try_for_each(|entry| membership.upsert(now, entry))
        };
        if let Err(error) = taken {
            warn!(self.log, "endpoint list not taken"; "reason" => %error);
        }
        self.announce_endpoints(usize::MAX);
    }

    /// Carries up to `limit` changes of the list on to the pool and the router.
    pub(super) fn announce_endpoints(&mut self, limit: usize) {
        let mut changes = Vec::new();
        self.discovery.membership.take_changes(limit, &mut changes);
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
        // The lifecycle refuses it in a phase in which the list makes no difference.
        let _ = self.advance_lifecycle(lifecycle::Event::EndpointsListed(self.pool.has_endpoints()));
    }
}
