//! What the command channel tells: the list of depots, and purges.

use super::*;

impl Doorman {
    pub(super) fn feed_ready(&mut self, event: Ready) {
        let mut inbound = Inbound::new(command_channel::decode);
        self.feed.ready(self.now, event.readable, event.writable, &mut inbound);
        for numbered in inbound.messages {
            if self.feed.takes(&numbered) {
                if let Some(command) = numbered.1 {
                    self.command(command);
                    self.settle();
                }
            }
        }
        if self.feed.is_dead(self.now) {
            warn!(self.log, "command channel lost"; "error" => ?inbound.error);
            self.feed.drop_link(self.now);
        } else if self.feed.has_unread() {
            self.again.push(event.token);
        }
    }

    pub(super) fn tend_feed(&mut self) {
        if self.feed.is_dead(self.now) {
            warn!(self.log, "command channel silent");
            self.feed.drop_link(self.now);
        }
        if !self.feed.wants_dial(self.now) {
            return;
        }
        match self.connect(self.feed.address()) {
            Ok((token, stream)) => self.feed.dialed(token, Connection::dialing(stream, self.now)),
            Err(_) => self.feed.drop_link(self.now),
        }
    }

    /// Takes up the configuration file as it is now, if it can be used; else all stays as it is.
    pub(super) fn reload(&mut self) {
        let new = match Config::read(self.config_path.clone()) {
            Ok(new) => new,
            Err(e) => return warn!(self.log, "new configuration not used"; "error" => %e),
        };
        let fixed = [
            ("name", new.name == self.name),
            ("listen", new.listen == self.listen),
            ("settings", new.settings == self.settings),
        ];
        for (what, _) in fixed.iter().filter(|f| !f.1) {
            warn!(self.log, "takes a restart to change"; "what" => what);
        }
        info!(self.log, "configuration read again"; "channel" => %new.channel);
        self.bounds = Bounds::of(&new.limits);
        self.pool.most = self.bounds.upstream;
        if new.channel != self.feed.address() {
            self.feed.move_to(new.channel);
            self.tend_feed();
        }
    }

    pub(super) fn command(&mut self, command: Command) {
        match command {
            Command::Depots { whole, records } => self.depots(whole, records),
            Command::Purge { what, when_ms } => {
                let age = self.now.saturating_sub(self.clock.of_unix_ms(when_ms));
                self.purges.push_back((self.now, what));
                let (object, group) = match what {
                    Purge::Object(object) => (Some(object), 0),
                    Purge::Group(group) => (None, group),
                };
                self.events.push_back(Event::Purged { object, group, age });
            }
        }
    }

    pub(super) fn depots(&mut self, whole: bool, records: Vec<Record>) {
        if whole {
            let named = |id: &Id| records.iter().any(|r| *r.id == **id);
            let gone: Vec<Id> = self.pool.depots().filter(|id| !named(id)).cloned().collect();
            gone.iter().for_each(|id| self.pool.unlist(id));
        }
        let mut members = Vec::with_capacity(records.len());
        for record in records {
            let member = self.member(&record);
            if member.listed == Listed::Gone {
                self.pool.unlist(&member.id);
            } else {
                let (address, listed, started) = (record.address, member.listed, member.started);
                // Guards against asking a process that is no more: connections to it may look open.
                for old in self.pool.list(&member.id, Depot { address, listed, started }) {
                    self.lose_link(old);
                }
            }
            members.push(member);
        }
        self.events.push_back(Event::Members { complete: whole, members });
    }

    fn member(&self, record: &Record) -> Member {
        Member {
            id: record.id.as_str().into(),
            role: self.settings.role(record.kind as i64),
            listed: match record.state {
                command_channel::State::Ready => Listed::Healthy,
                command_channel::State::Draining => Listed::Draining,
                command_channel::State::Gone => Listed::Gone,
            },
            zone: record.zone,
            cell: record.cell,
            kind: record.kind as u32,
            weight: record.weight,
            started: self.clock.of_unix_ms(record.started_ms),
        }
    }
}
