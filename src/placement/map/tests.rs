//! Tests of encoding and decoding maps, and of splits and merges.

use super::*;
use proptest::prelude::*;

/// Generates valid maps.
pub fn any_map() -> impl Strategy<Value = ShardMap> {
    let entries = proptest::collection::vec((any::<u64>(), 0u8..5, 0u8..9), 1..40);
    (entries, any::<u32>()).prop_map(|(shards, epoch)| {
        let name = |n: u8| (n < 4).then(|| Id::from(format!("box{n}")));
        let shard = |(start, home, to): (u64, u8, u8)| {
            let warming = name(to).filter(|_| to != home);
            Shard { start, home: name(home), warming }
        };
        let mut shards: Vec<Shard> = shards.into_iter().map(shard).collect();
        shards.sort_by_key(|s| s.start);
        shards[0].start = 0;
        shards.dedup_by_key(|s| s.start);
        ShardMap { zone: 3, epoch, shards }
    })
}

proptest! {
    /// An encoded map decodes to itself. Another zone's, a truncated or a corrupt map is refused without a panic.
    #[test]
    fn a_map_survives_encoding_and_a_damaged_one_is_refused(map in any_map(), at in any::<usize>(), bit in 0u8..8) {
        let bytes = map.encode();
        let decoded = ShardMap::decode(&bytes, 3);
        prop_assert_eq!(decoded.as_ref(), Ok(&map));
        prop_assert!(ShardMap::decode(&bytes, 4).is_err());
        prop_assert!(ShardMap::decode(&bytes[..at % bytes.len()], 3).is_err());
        let mut corrupt = bytes.clone();
        corrupt[at % bytes.len()] ^= 1 << bit;
        prop_assert!(ShardMap::decode(&corrupt, 3).is_err());
    }

    /// A document with any body and a correct checksum decodes to a valid map or an error.
    #[test]
    fn any_body_decodes_to_a_valid_map_or_an_error(body in proptest::collection::vec(any::<u8>(), 0..200)) {
        let mut bytes = vec![KIND.tag, 1];
        bytes.extend(crc32fast::hash(&body).to_be_bytes());
        bytes.extend(body);
        if let Ok(map) = ShardMap::decode(&bytes, 3) {
            prop_assert_eq!(map.check(), Ok(()));
        }
    }

    /// Splits and merges move no data: each position keeps its home.
    #[test]
    fn splits_and_merges_keep_every_home(
        map in any_map(),
        changes in proptest::collection::vec((any::<prop::sample::Index>(), any::<u64>(), any::<bool>()), 1..30),
    ) {
        let mut changed = map.clone();
        for (which, at, split) in changes {
            let index = which.index(changed.shards.len());
            let start = changed.shards[index].start;
            let next = changed.shards.get(index + 1).map_or(at, |s| s.start);
            let _ = if split { changed.split(start, at, 60) } else { changed.merge(start, next) };
            prop_assert_eq!(changed.check(), Ok(()));
            prop_assert!(changed.shards.len() <= 60);
            let shard_at = |m: &ShardMap, p: u64| m.shards[m.shards.partition_point(|s| s.start <= p) - 1].clone();
            for p in map.shards.iter().map(|s| s.start).chain([at, start]) {
                let (a, b) = (shard_at(&map, p), shard_at(&changed, p));
                prop_assert_eq!((a.home, a.warming), (b.home, b.warming));
            }
        }
    }
}

#[test]
fn a_newer_format_is_reported_invalid_starts_are_refused_and_the_largest_map_can_be_decoded() {
    let mut bytes = ShardMap::first(3, 1, 4).encode();
    bytes[1] = 2;
    let decoded = ShardMap::decode(&bytes, 3);
    assert!(matches!(decoded, Err(PlacementError::Format { format: 2, known: 1, .. })), "{decoded:?}");
    for starts in [vec![], vec![1], vec![0, 5, 5]] {
        let shard = |start| Shard { start, home: None, warming: None };
        let shards = starts.into_iter().map(shard).collect();
        let decoded = ShardMap::decode(&ShardMap { zone: 3, epoch: 1, shards }.encode(), 3);
        assert!(matches!(decoded, Err(PlacementError::Broken { .. })), "{decoded:?}");
    }
    let mut map = ShardMap::first(3, 1, MAX_SHARDS);
    for (n, shard) in map.shards.iter_mut().enumerate() {
        shard.home = Some(format!("a-box-with-a-long-name-{}", n % 200).into());
    }
    assert_eq!(ShardMap::decode(&map.encode(), 3), Ok(map));
}
