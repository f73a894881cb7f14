//! Snapshot of the last good map on disk, if a folder is set: after a restart, an instance uses it while the registry
//! is unreachable. Reading checks the checksum and the format. A dedicated thread writes, so that a slow disk does not
//! block the event loop.

#[cfg(test)]
mod tests;

use super::error::PlacementError;
use super::follow::Follower;
use super::map::ShardMap;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::mpsc::{sync_channel, SyncSender, TrySendError};
use std::sync::Arc;

/// Maximum number of maps that wait to be written; a map is dropped while the queue is full.
const QUEUE_CAPACITY: usize = 2;

/// Why a snapshot can't be loaded.
#[derive(Debug, thiserror::Error)]
pub enum SnapshotError {
    /// The file can't be read.
    #[error("{path}: {why}; the instance starts without a map and routes by hash until the registry answers: make the folder writable for it")]
    Io {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        why: io::Error,
    },
    /// The file has no usable map.
    #[error("{path} is not used: {why}")]
    Unusable {
        /// Path of the file.
        path: PathBuf,
        /// Error of the document.
        why: PlacementError,
    },
}

fn snapshot_path(folder: &Path, zone: u16) -> PathBuf {
    folder.join(format!("shards-{zone}.map"))
}

/// Loads the snapshot of a zone's map. Without a file, the follower has no map.
///
/// # Errors
/// The file can't be read, is corrupt, or has another format or zone.
pub fn load(folder: &Path, zone: u16) -> Result<Follower, SnapshotError> {
    let path = snapshot_path(folder, zone);
    match std::fs::read(&path) {
        Ok(bytes) => Follower::restore(zone, &bytes).map_err(|why| SnapshotError::Unusable { path, why }),
        Err(why) if why.kind() == io::ErrorKind::NotFound => Ok(Follower::new(zone)),
        Err(why) => Err(SnapshotError::Io { path, why }),
    }
}

/// Writes maps to disk, one after another.
#[derive(Debug)]
pub struct SnapshotWriter {
    maps: SyncSender<Arc<ShardMap>>,
}

impl SnapshotWriter {
    /// Starts the thread that writes a zone's maps into a folder; it ends when the `SnapshotWriter` is dropped.
    pub fn start(folder: PathBuf, zone: u16) -> io::Result<Self> {
        let (maps, queue) = sync_channel::<Arc<ShardMap>>(QUEUE_CAPACITY);
        std::thread::Builder::new().name("shards".to_owned()).spawn(move || {
            // A failed write is ignored: the map is still in the registry and in memory, and the next map is written.
            queue.iter().for_each(|map| drop(write(&folder, zone, &map)));
        })?;
        Ok(SnapshotWriter { maps })
    }

    /// Queues a map to be written; `false` if the queue is full and the map is dropped.
    pub fn save(&self, map: &Arc<ShardMap>) -> bool {
        !matches!(self.maps.try_send(map.clone()), Err(TrySendError::Full(_) | TrySendError::Disconnected(_)))
    }
}

/// Replaces the file atomically, by renaming a complete new file.
fn write(folder: &Path, zone: u16, map: &ShardMap) -> io::Result<()> {
    let (path, temporary) = (snapshot_path(folder, zone), folder.join(format!("shards-{zone}.new")));
    let mut file = std::fs::File::create(&temporary)?;
    file.write_all(&map.encode())?;
    file.sync_all()?;
    std::fs::rename(temporary, path)
}
