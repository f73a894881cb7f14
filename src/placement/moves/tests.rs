//! Tests of encoding and decoding the plan of moves, and of its limits.

use super::*;

#[test]
fn a_plan_survives_encoding_and_its_limits_are_enforced() {
    let active_move = |start| Move {
        start,
        from: None,
        to: "b".into(),
        kb: 9,
        step: Step::Warming { epoch: 4, since_ms: 5, needs_ms: 6 },
    };
    let mut moves = Moves {
        moves: vec![active_move(1)],
        changes: vec![Change::Merge { start: 7, next: 8 }],
        ..Moves::default()
    };
    (0..5_000).for_each(|n| moves.rest(n, 10 + n, 0));
    assert_eq!(moves.resting.len(), MAX_RESTING);
    assert_eq!(Moves::decode(&moves.encode()), Ok(moves.clone()));
    moves.moves.push(active_move(2));
    assert!(matches!(Moves::decode(&moves.encode()), Err(PlacementError::Broken { .. })));
    let map = super::super::map::ShardMap::first(0, 1, 1).encode();
    assert!(matches!(Moves::decode(&map), Err(PlacementError::Torn { .. })));
}
