//! Connects the command channel to the event loop: dials and reads its connections, and executes its commands.
//!
//! [`crate::net::command_channel`] decides when to dial, which connections to keep and from which event the
//! channel resumes.

use super::message_buffer::MessageBuffer;
use super::timers::{TimerEvent, MILLISECOND};
use super::Proxy;
use crate::net::accept::is_out_of_descriptors;
use crate::net::command_channel::connections::Lateness;
use crate::net::command_channel::{Failure, FrameOutcome};
use crate::net::connection::Connection;
use crate::net::event_loop::Ready;
use crate::net::protocol::command_channel::{decode, Command, NumberedCommand, Purge};
use crate::purges::channel_delivery::Disruption;
use crate::routing::events::{Event, Micros};
use mio::Token;
use slog::{debug, info, warn};

/// Remedy if the channel is unreachable or silent.
const UNREACHABLE_REMEDY: &str =
    "the channel is dialed again, and a silent connection is kept until one delivers; if this persists, check that \
     discovery is running and reachable, or set another 'channel' in the configuration and send SIGHUP";
/// Remedy if an event is missing.
const GAP_REMEDY: &str =
    "the events are requested again; if this happens often, compare the numbers of the events that discovery sent";
/// Remedy if an event is still missing after it was requested again.
const LOST_EVENTS_REMEDY: &str =
    "a drain or a purge may not have been received: check which events discovery sent under the missing numbers, and \
     restart this instance if they are not known";
/// Remedy if a frame can't be decoded.
const MALFORMED_REMEDY: &str =
    "the endpoint list is unchanged and the channel is dialed again; check what discovery sends after this event, and \
     that it uses this version of the protocol";
/// Remedy if no descriptor is free.
const NO_DESCRIPTOR_REMEDY: &str =
    "the oldest idle connection was closed; raise the limit of open files of the process, or lower 'limits.sockets' in \
     the configuration to that limit";

impl Proxy {
    /// Handles readiness of one of the channel's connections.
    pub(super) fn command_channel_ready(&mut self, event: Ready) {
        let token = event.token;
        let mut buffer = MessageBuffer::new(decode);
        let channel = &mut self.discovery.command_channel;
        if channel.ready(self.now, self.polled_before, event, &mut buffer) {
            self.discovery.delivery.reconnected(self.now);
        }
        let received = buffer.into_received();
        for numbered in received.messages {
            if !self.apply_command(token, numbered) {
                // The messages after the gap are discarded, because they are sent again as well.
                self.discovery.command_channel.reconnect_after_gap(self.now, token);
                self.discovery.delivery.disrupted(Disruption::Lost { at: self.polled_before });
                return self.run_command_channel();
            }
        }
        if let Some(error) = received.error {
            self.discovery.command_channel.close_malformed(self.now, token);
            self.discovery.delivery.disrupted(Disruption::Lost { at: self.polled_before });
            let channel = &self.discovery.command_channel;
            warn!(self.log, "command channel frame malformed"; "channel" => %channel.address(),
                  "after" => channel.cursor(), "reason" => %error, "remedy" => MALFORMED_REMEDY,
                  "times" => channel.metrics().malformed);
        } else if self.discovery.command_channel.needs_read(token) {
            self.unfinished_reads.push(token);
        }
        self.run_command_channel();
    }

    /// Executes a command unless it was executed before. Returns `false` if events before it are missing, so
    /// that it must be sent again.
    fn apply_command(&mut self, token: Token, numbered: NumberedCommand) -> bool {
        let cursor = self.discovery.command_channel.cursor();
        let outcome = self.discovery.command_channel.handle_frame(self.now, token, &numbered);
        let (number, command) = numbered;
        let channel = &self.discovery.command_channel;
        match outcome {
            FrameOutcome::Known | FrameOutcome::New => {}
            FrameOutcome::NewAfterSkip => {
                info!(self.log, "command channel list supersedes events, purges may be among them";
                      "channel" => %channel.address(), "after" => cursor, "list" => number);
            }
            FrameOutcome::NewAfterGap => {
                warn!(self.log, "command channel events lost"; "channel" => %channel.address(), "after" => cursor,
                      "before" => number, "remedy" => LOST_EVENTS_REMEDY, "times" => channel.metrics().accepted_gaps);
            }
            FrameOutcome::Gap => {
                warn!(self.log, "command channel events missing"; "channel" => %channel.address(), "after" => cursor,
                      "before" => number, "remedy" => GAP_REMEDY, "times" => channel.metrics().gaps);
                return false;
            }
        }
        if matches!(outcome, FrameOutcome::NewAfterGap | FrameOutcome::NewAfterSkip) {
            self.channel_events_lost();
        }
        let is_new = outcome != FrameOutcome::Known;
        if let Some(command) = command.filter(|_| is_new) {
            self.execute(command);
            self.process_events();
        }
        if let Some(at) = self.discovery.command_channel.confirmed_at(token) {
            self.discovery.delivery.confirm(at);
        }
        true
    }

    /// Handles the connections that have failed since the last check.
    fn handle_channel_failures(&mut self) {
        while let Some(failure) = self.discovery.command_channel.take_failure(self.now) {
            self.note_disruption(failure);
            let channel = &self.discovery.command_channel;
            let (what, times) = match failure {
                Failure::Lost | Failure::Refused => ("command channel lost", channel.metrics().lost),
                Failure::Late(Lateness::Dial) => ("command channel unreachable", channel.metrics().timeouts),
                Failure::Late(Lateness::Silent) => ("command channel silent", channel.metrics().timeouts),
            };
            warn!(self.log, "{}", what; "channel" => %channel.address(), "after" => channel.cursor(),
                  "connections" => channel.connection_count(), "remedy" => UNREACHABLE_REMEDY, "times" => times);
        }
    }

    fn note_disruption(&mut self, failure: Failure) {
        let last_frame_at = self.discovery.command_channel.last_frame_at();
        let disruption = match failure {
            Failure::Lost => Some(Disruption::Lost { at: self.polled_before }),
            Failure::Late(Lateness::Silent) => {
                last_frame_at.map(|at| Disruption::Silent { last_frame_at: at })
            }
            Failure::Refused | Failure::Late(Lateness::Dial) => None,
        };
        if let Some(disruption) = disruption {
            self.discovery.delivery.disrupted(disruption);
        }
    }

    /// Handles failed connections, dials if a dial is due, and sets the timer for the next check.
    pub(super) fn run_command_channel(&mut self) {
        self.handle_channel_failures();
        if self.discovery.command_channel.should_dial(self.now) {
            self.dial_command_channel();
        }
        self.schedule_command_channel();
    }

    /// Sets a timer for the next check. If only the sweep checked the channel, each of several failures in a
    /// row would be noticed up to one interval late, which together is too late for drains and purges.
    fn schedule_command_channel(&mut self) {
        let at = self.discovery.command_channel.next_check().max(self.now + MILLISECOND);
        if self.discovery.command_channel_timer.advance_to(at) {
            self.timers.set(at, TimerEvent::CommandChannel(at));
        }
    }

    /// Handles a timer of the command channel, unless an earlier timer has replaced it.
    pub(super) fn command_channel_due(&mut self, at: Micros) {
        if self.discovery.command_channel_timer.fired(at) {
            self.run_command_channel();
        }
    }

    fn dial_command_channel(&mut self) {
        self.discovery.command_channel.make_room(self.now);
        let address = self.discovery.command_channel.address();
        let mut dial = self.event_loop.connect(address);
        if dial.as_ref().is_err_and(is_out_of_descriptors) && self.free_descriptor_for_channel() {
            // The freed descriptor is used at once, because the next client connection would take it.
            dial = self.event_loop.connect(address);
        }
        match dial {
            Ok((token, stream)) => {
                let connection = Connection::dialing(stream, self.now);
                self.discovery.command_channel.add_connection(self.now, token, connection);
            }
            Err(error) => {
                warn!(self.log, "command channel dial failed"; "channel" => %address, "error" => %error,
                      "remedy" => UNREACHABLE_REMEDY);
                self.discovery.command_channel.schedule_retry(self.now);
            }
        }
    }

    /// Closes a late connection of the channel or, if it has none to spare, an idle connection; returns whether
    /// a descriptor was freed.
    fn free_descriptor_for_channel(&mut self) -> bool {
        if self.discovery.command_channel.close_least_useful(self.now) {
            return true;
        }
        let is_freed = self.free_descriptor();
        if is_freed {
            warn!(self.log, "command channel: no descriptor was free"; "remedy" => NO_DESCRIPTOR_REMEDY);
        }
        is_freed
    }

    /// Executes a command of the channel.
    pub(super) fn execute(&mut self, command: Command) {
        match command {
            // With a registry the channel's endpoint list is ignored, because two sources would undo each
            // other's drains.
            Command::Endpoints { .. } if self.discovery.has_registry() => {}
            Command::Endpoints { complete, records } => self.apply_endpoints(complete, records),
            Command::Purge { scope, when_ms } => self.purge(scope, when_ms),
        }
    }

    /// Applies a purge that was made at `made_unix_ms`, by the clock of its sender, to the local cache and
    /// the router.
    fn purge(&mut self, scope: Purge, made_unix_ms: u64) {
        let age = self.now - self.timestamps.event_time(self.now, made_unix_ms);
        debug!(self.log, "purge"; "scope" => ?scope, "age_ms" => age / MILLISECOND);
        self.purges.add(self.now, scope, made_unix_ms);
        self.purge_local_cache(scope);
        let (object, purge_group) = match scope {
            Purge::Object(object) => (Some(object), 0),
            Purge::Group(group) => (None, group),
        };
        self.events.push_back(Event::Purged { object, purge_group, age });
    }
}
