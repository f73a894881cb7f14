//! Keys below a prefix: their range and the endpoint ids that they contain.

use crate::routing::events::Id;

/// Maximum length of an id, in bytes.
const MAX_ID_BYTES: usize = 64;

/// Returns the id in a key, which is the part after the prefix; `None` if that part is not a valid id (see
/// [`is_valid_id`]). Ids are used in other protocols too, so other characters are not accepted.
pub fn id_of(key: &[u8], prefix: &str) -> Option<Id> {
    let id = std::str::from_utf8(key.strip_prefix(prefix.as_bytes())?).ok()?;
    is_valid_id(id).then(|| id.into())
}

/// Returns whether an id consists of 1 to 64 ASCII letters, digits and `. _ : -`.
pub fn is_valid_id(id: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"._:-".contains(&byte);
    (1..=MAX_ID_BYTES).contains(&id.len()) && id.bytes().all(allowed)
}

/// Returns the exclusive end of the range of keys that begin with a prefix. If no key can follow that range, returns a
/// single zero byte, which stands for the end of all keys.
pub fn range_end(prefix: &[u8]) -> Vec<u8> {
    let mut end = prefix.to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return end;
        }
    }
    vec![0]
}

/// Returns the smallest key that is greater than this one.
pub fn key_after(key: &[u8]) -> Vec<u8> {
    [key, &[0]].concat()
}
