//! Fixtures in `tests/fixtures`: bytes that an earlier version of the program wrote. Binary data is stored as
//! hexadecimal digits, 32 bytes per line, in files whose names end in `.hex`.
//!
//! If the environment variable `LARCHDALE_WRITE_FIXTURES` is set, the files are written by the current program. Use it
//! only to add a fixture: a changed fixture means that existing data or messages are no longer readable.

use std::path::{Path, PathBuf};

/// Number of bytes per line of a `.hex` file.
const BYTES_PER_LINE: usize = 32;

fn path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(name)
}

fn to_hex(bytes: &[u8]) -> String {
    let digits = |line: &[u8]| line.iter().map(|byte| format!("{byte:02x}")).collect::<String>() + "\n";
    bytes.chunks(BYTES_PER_LINE).map(digits).collect()
}

fn from_hex(text: &str) -> Vec<u8> {
    let digits: Vec<u8> = text.bytes().filter(|byte| !byte.is_ascii_whitespace()).collect();
    let byte = |pair: &[u8]| u8::from_str_radix(std::str::from_utf8(pair).unwrap(), 16).unwrap();
    digits.chunks(2).map(byte).collect()
}

/// Checks that `written_now` equals the fixture, and returns the bytes of the fixture.
pub fn same_as_stored(name: &str, written_now: &[u8]) -> Vec<u8> {
    let (path, is_hex) = (path(name), name.ends_with(".hex"));
    if std::env::var_os("LARCHDALE_WRITE_FIXTURES").is_some() {
        let content = if is_hex { to_hex(written_now).into_bytes() } else { written_now.to_vec() };
        std::fs::create_dir_all(path.parent().unwrap()).unwrap();
        std::fs::write(&path, content).unwrap();
    }
    let content = std::fs::read(&path).unwrap_or_else(|e| panic!("{}: {e}", path.display()));
    let stored = if is_hex { from_hex(std::str::from_utf8(&content).unwrap()) } else { content };
    assert!(
        stored == written_now,
        "{name} differs from the fixture:\nfixture {}\nnow     {}",
        String::from_utf8_lossy(&stored).escape_debug(),
        String::from_utf8_lossy(written_now).escape_debug()
    );
    stored
}
