//! Tests of maps on disk.

use super::*;

#[test]
fn a_written_map_can_be_loaded_and_a_truncated_or_another_zones_map_is_refused() {
    let folder = std::env::temp_dir().join(format!("larchdale-shards-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    assert_eq!(load(&folder, 3).unwrap().epoch(), 0, "no snapshot yet");
    let map = ShardMap::first(3, 7, 16);
    write(&folder, 3, &map).unwrap();
    assert_eq!(load(&folder, 3).unwrap().map().map(|m| m.as_ref()), Some(&map));
    let bytes = std::fs::read(snapshot_path(&folder, 3)).unwrap();
    std::fs::write(snapshot_path(&folder, 4), &bytes).unwrap();
    assert!(matches!(load(&folder, 4), Err(SnapshotError::Unusable { .. })), "of another zone");
    std::fs::write(snapshot_path(&folder, 3), &bytes[..bytes.len() - 1]).unwrap();
    assert!(load(&folder, 3).unwrap_err().to_string().contains("shards-3.map"));
    std::fs::remove_dir_all(&folder).unwrap();
}
