//! What an instance makes of its mirror where it follows the purge log: the real core, by the settings of
//! `larchdale::purges::log`.

use super::{Reader, Shows};
use crate::queue::Micros;
use larchdale::purges::log::{PurgeLog, Settings};
use larchdale::registry::documents::Documents;

/// The Unix millisecond at the begin of virtual time.
const EPOCH_MS: u64 = 1_800_000_000_000;
/// Copies older than a purge may linger for so long, in microseconds: twice what endpoints take to drop them.
const LINGERS: Micros = 12_000_000;

/// The Unix millisecond of a moment.
pub(super) fn unix_ms(now: Micros) -> u64 {
    EPOCH_MS + now / 1_000
}

/// The usual settings; nobody is dialed by them here.
pub(super) fn settings() -> Settings {
    Settings::new(Vec::new(), "")
}

/// One life of an instance.
#[derive(Default)]
pub struct PurgeReader {
    log: Option<PurgeLog>,
    read: bool,
}

impl Reader for PurgeReader {
    fn turn(&mut self, now: Micros, documents: &mut Documents) -> Shows {
        let log = self.log.get_or_insert_with(|| PurgeLog::new(&settings(), LINGERS, now));
        let mut actions = Vec::new();
        if documents.revision() > 0 {
            let changes = documents.take_changes();
            let documents = &*documents;
            let value = |key: &str| documents.get(key).map(|d| d.value.as_slice());
            let all = changes.all || !std::mem::replace(&mut self.read, true);
            let keys: Vec<&str> = match all {
                true => documents.with_prefix("").map(|d| d.0).collect(),
                false => changes.keys.iter().map(String::as_str).collect(),
            };
            if all || !keys.is_empty() {
                log.apply_changes(now, unix_ms(now), keys.into_iter().map(|k| (k, value(k))), &mut actions);
            }
        }
        log.update_confirmation(now, documents.confirmed(), &mut actions);
        // A floor without a cut holds old copies back as well: what is missed is covered by it.
        Shows { revision: documents.revision(), vouched: log.is_current() }
    }

    fn next(&self) -> Micros {
        self.log.as_ref().map_or(Micros::MAX, PurgeLog::next_deadline)
    }
}
