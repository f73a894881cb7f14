//! Files with which two processes of one instance find each other: the Unix socket and the state file in the
//! takeover folder. Several instances may use the same folder.

use crate::takeover::{Identity, TakeoverState, MAX_FILE_BYTES};
use std::io::{self, Read};
use std::path::{Path, PathBuf};
use xxhash_rust::xxh3::xxh3_64;

/// Takeover files of one instance.
pub(super) struct TakeoverFiles {
    folder: PathBuf,
    pub identity: Identity,
}

impl TakeoverFiles {
    pub fn new(folder: PathBuf, identity: Identity) -> Self {
        TakeoverFiles { folder, identity }
    }

    /// Returns the path of the socket on which a process awaits its successor.
    pub fn socket(&self) -> PathBuf {
        self.path("sock")
    }

    /// Returns the path of the state file for the successor.
    pub fn state(&self) -> PathBuf {
        self.path("state")
    }

    fn path(&self, extension: &str) -> PathBuf {
        let Identity { name, listen } = &self.identity;
        let instance = xxh3_64(format!("{name} {listen}").as_bytes());
        self.folder.join(format!("larchdale-{instance:016x}.{extension}"))
    }

    /// Reads the state that the predecessor left.
    ///
    /// # Errors
    /// The file does not exist, or it can't be read or used.
    pub fn read_state(&self) -> io::Result<TakeoverState> {
        let mut bytes = Vec::new();
        std::fs::File::open(self.state())?.take(MAX_FILE_BYTES as u64).read_to_end(&mut bytes)?;
        TakeoverState::decode(&bytes, &self.identity).map_err(io::Error::other)
    }

    /// Writes the state for the successor completely or not at all; if it fails, an older state file is
    /// removed too.
    ///
    /// # Errors
    /// The folder can't be written.
    pub fn write_state(&self, state: &TakeoverState) -> io::Result<()> {
        let path = self.state();
        let temporary = temporary_path(&path);
        let written =
            std::fs::write(&temporary, state.encode()).and_then(|()| std::fs::rename(&temporary, &path));
        if written.is_err() {
            // Usually there is nothing to remove; the error of the write is the one to report.
            let _ = (std::fs::remove_file(&temporary), std::fs::remove_file(&path));
        }
        written
    }
}

/// Returns a path next to `path` that is unique to this process, for a file that is renamed to `path` once it
/// is complete.
pub(super) fn temporary_path(path: &Path) -> PathBuf {
    let extension = path.extension().unwrap_or_default().to_string_lossy();
    path.with_extension(format!("{extension}.{}", std::process::id()))
}
