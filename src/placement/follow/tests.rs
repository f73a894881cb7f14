//! Tests of an instance that follows the map of its zone.

use super::super::map::tests::any_map;
use super::*;
use proptest::prelude::*;

proptest! {
    /// With any sequence of valid, truncated and missing documents, the last good map stays, epochs only increase, and
    /// a problem is logged once while it lasts.
    #[test]
    fn any_sequence_of_documents_keeps_the_last_good_map_and_increasing_epochs(
        maps in proptest::collection::vec((any_map(), 0u32..6, 0u8..4), 1..40),
    ) {
        let mut follower = Follower::new(3);
        for (mut map, epoch, damage) in maps {
            map.epoch = epoch + 1;
            let before = follower.clone();
            let mut bytes = map.encode();
            bytes.truncate(if damage == 0 { 5 } else { bytes.len() });
            let document = (damage != 1).then_some(&bytes[..]);
            let update = follower.apply(document);
            if let Some(MapUpdate::Applied(epoch)) = update {
                prop_assert!(epoch > before.epoch() && damage > 1);
                prop_assert_eq!(follower.map().map(|m| m.as_ref()), Some(&map));
            } else {
                prop_assert_eq!(follower.map(), before.map());
                prop_assert!(damage > 1 || update.is_some() || before.logged.is_some() || before.map().is_none());
            }
            prop_assert_eq!(follower.apply(document), None, "logged once");
            if let Some(snapshot) = follower.snapshot() {
                let restored = Follower::restore(3, &snapshot).unwrap();
                prop_assert_eq!(restored.map(), follower.map());
                prop_assert!(Follower::restore(3, &snapshot[1..]).is_err());
            }
        }
    }
}
