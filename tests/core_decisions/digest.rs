//! The hash over the decisions of a simulated state machine.

use xxhash_rust::xxh3::Xxh3;

/// Hashes values in a fixed encoding: integers as little-endian bytes, floats by their bits, texts prefixed by their
/// length.
pub struct Digest(Xxh3);

impl Digest {
    pub fn new() -> Self {
        Digest(Xxh3::new())
    }

    /// Hashes the number of a kind of action or state. The assignment of these numbers must never change.
    pub fn tag(&mut self, tag: u8) {
        self.0.update(&[tag]);
    }

    pub fn flag(&mut self, flag: bool) {
        self.tag(u8::from(flag));
    }

    pub fn number(&mut self, number: u64) {
        self.0.update(&number.to_le_bytes());
    }

    pub fn count(&mut self, count: usize) {
        self.number(count as u64);
    }

    pub fn signed(&mut self, number: i64) {
        self.0.update(&number.to_le_bytes());
    }

    pub fn float(&mut self, value: f64) {
        self.number(value.to_bits());
    }

    pub fn floats(&mut self, values: &[f64]) {
        self.count(values.len());
        values.iter().for_each(|&value| self.float(value));
    }

    pub fn bytes(&mut self, bytes: &[u8]) {
        self.count(bytes.len());
        self.0.update(bytes);
    }

    pub fn text(&mut self, text: &str) {
        self.bytes(text.as_bytes());
    }

    /// Hashes whether a value is present, and then the value itself.
    pub fn option<T>(&mut self, value: Option<T>, write: impl FnOnce(&mut Digest, T)) {
        self.flag(value.is_some());
        if let Some(value) = value {
            write(self, value);
        }
    }

    pub fn finish(&self) -> u64 {
        self.0.digest()
    }
}

/// Compares the hash of the simulation with each seed with the expected one. On a difference, the message lists the
/// hashes of all seeds.
pub fn expect(core: &str, simulate: impl Fn(u64) -> u64, expected: &[u64]) {
    let found: Vec<u64> = (0..expected.len() as u64).map(simulate).collect();
    let formatted: Vec<String> = found.iter().map(|hash| format!("{hash:#018x}")).collect();
    assert!(
        found == expected,
        "{core}: decisions differ from the expected ones; the hashes are now [{}]",
        formatted.join(", ")
    );
}
